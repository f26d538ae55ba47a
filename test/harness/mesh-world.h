#ifndef EELGRASSTRACK_TEST_HARNESS_MESH_WORLD_H_
#define EELGRASSTRACK_TEST_HARNESS_MESH_WORLD_H_

#include "mesh/mesh-node.h"

namespace eelgrasstrack::test {

class store_access;

/// What a store holds that all nodes of a test share.
struct memory_store
{
  void SetTable(accepted_table aTable);
  void SetOrder(const canary_order& aOrder);

  /// Whether no call is answered.
  bool unavailable = false;
  std::optional<accepted_table> table;
  std::map<std::string, host_record> hosts;
  std::vector<store_access*> accesses;
};

/// One node's way to the store.
class store_access final : public control_store
{
public:
  store_access(loop& aLoop, memory_store& aStore);

  /// The store turns this node away, and no other.
  void SetRejected(bool aRejected) { mRejected = aRejected; }

  void NotifyTable();
  void NotifyOrder(const canary_order& aOrder);

  void SetObserver(control_store_observer& aObserver) override;
  void SetWatching(bool) override {}
  bool AnsweredSince(time_point) const override { return IsReachable(); }
  result<accepted_table> ParseTable(std::string aText) override;
  void PublishHost(const host_record& aRecord, done_callback aDone) override;
  void ListHosts(hosts_callback aDone) override;
  void RemoveHost(const std::string& aName, std::int64_t aIncarnation) override;
  void RecordProgress(const canary_order& aOrder, done_callback aDone) override;

private:
  bool IsReachable() const { return !mStore.unavailable && !mRejected; }

  loop& mLoop;
  memory_store& mStore;
  control_store_observer* mObserver = nullptr;
  bool mRejected = false;
};

/// How an instance of a test answers.
struct instance_behaviour
{
  int status = 200;
  /// The answer is held back for as long.
  duration delay{ 0 };
  /// It says that it did not run the request.
  bool refuses = false;
  /// It closes the connection in the middle of the answer.
  bool sends_invalid_answer = false;
};

/// Nodes and instances on loopback addresses, on one loop.
class mesh_world
{
public:
  mesh_world();
  ~mesh_world();

  /// Starts a node and its instance; returns its index.
  std::size_t AddHost(const std::string& aService, const std::string& aVersion);

  /// Hosts that are added from now on join a mesh that runs already; their
  /// instances are not announced.
  void EndFirstStart() { mFirstStart = false; }

  /// Announces an instance in a state.
  void Announce(std::size_t aHost, instance_state aState);

  /// Sends a request to a node as a caller and waits for the answer.
  result<buffered_response> SendRequest(std::size_t aHost,
                                        const std::string& aMethod,
                                        const std::string& aTarget,
                                        const std::string& aBody = "");

  /// Runs the loop for a while.
  void RunFor(duration aTime);

  /// Runs the loop until every node knows the instances of all hosts.
  void RunUntilInstancesKnown();

  /// Offers a configuration with one route to a service.
  void SetRoute(std::uint64_t aVersion,
                const std::string& aPrefix,
                const std::string& aService,
                bool aIdempotent);

  loop& Loop() { return mLoop; }
  memory_store& Store() { return mStore; }
  /// Whether the store turns a node away.
  void SetStoreRejects(std::size_t aHost, bool aRejected)
  {
    mHosts[aHost]->store.SetRejected(aRejected);
  }
  mesh_node& Node(std::size_t aHost) { return *mHosts[aHost]->node; }
  instance_behaviour& Behaviour(std::size_t aHost)
  {
    return mHosts[aHost]->behaviour;
  }
  /// Requests that the instance of a host ran.
  unsigned RunCount(std::size_t aHost) const
  {
    return mHosts[aHost]->run_count;
  }

private:
  struct world_host
  {
    world_host(loop& aLoop, memory_store& aStore)
      : store(aLoop, aStore)
    {
    }

    store_access store;
    mesh_settings settings;
    instance_record instance;
    instance_behaviour behaviour;
    proxy_counters counters;
    std::unique_ptr<mesh_node> node;
    unsigned run_count = 0;
    std::int64_t sequence = 0;
  };

  void ServeInstance(world_host& aHost);
  bool KnowsAll(const mesh_node& aNode) const;

  loop mLoop;
  socket_host mSockets;
  control_client mCaller;
  memory_store mStore;
  header_names mNames;
  std::vector<std::unique_ptr<world_host>> mHosts;
  bool mFirstStart = true;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_MESH_WORLD_H_
