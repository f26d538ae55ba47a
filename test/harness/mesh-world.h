#ifndef EELGRASSTRACK_TEST_HARNESS_MESH_WORLD_H_
#define EELGRASSTRACK_TEST_HARNESS_MESH_WORLD_H_

#include "mesh/mesh-node.h"

namespace eelgrasstrack::test {

class store_access;

/// Contents of the store that all nodes of a test share.
struct memory_store
{
  /// Stores a configuration and notifies all nodes.
  void SetTable(accepted_table aTable);
  /// Notifies all nodes of the evacuated failure domains.
  void SetEvacuated(const std::set<std::string>& aDomains);
  /// Notifies all nodes of a canary order.
  void SetOrder(const canary_order& aOrder);

  /// Reading, publishing and removing hosts fails, and no node is notified.
  bool unavailable = false;
  std::optional<accepted_table> table;
  evacuation_snapshot evacuations;
  std::map<std::string, host_record> hosts;
  std::vector<store_access*> accesses;
};

/// Access of one node to the shared store.
class store_access final : public control_store
{
public:
  store_access(loop& aLoop, memory_store& aStore);

  /// Sets whether the store rejects this node.
  void SetRejected(bool aRejected) { mRejected = aRejected; }

  /// Passes the stored configuration to the node.
  void NotifyTable();
  void NotifyOrder(const canary_order& aOrder);
  void NotifyEvacuations();

  void SetObserver(control_store_observer& aObserver) override;
  void SetFollowsEvacuations(bool) override {}
  void SetWatching(bool) override {}
  void SetConfigWatchWait(duration) override {}
  void ReadConfig(done_callback aDone) override;
  std::uint64_t Era() const override { return 1; }
  bool AnsweredSince(time_point) const override { return IsReachable(); }
  result<accepted_table> ParseTable(std::string aText) override;
  void PublishHost(const host_record& aRecord, done_callback aDone) override;
  void ReadHost(const std::string& aName, host_callback aDone) override;
  void ListHosts(hosts_callback aDone) override;
  void RemoveHost(const std::string& aName, std::int64_t aIncarnation) override;
  void RecordProgress(const canary_order& aOrder, done_callback aDone) override;

private:
  bool IsReachable() const { return !mStore.unavailable && !mRejected; }

  loop& mLoop;
  memory_store& mStore;
  /// Names of the entries that the node has read or written.
  std::set<std::string> mKnownHosts;
  control_store_observer* mObserver = nullptr;
  bool mRejected = false;
};

/// How the instance of a test host answers.
struct instance_behaviour
{
  int status = 200;
  /// Delay of the answer.
  duration delay{ 0 };
  /// Answers 503 with the field that marks the request as not run.
  bool refuses = false;
  /// Sends a head that is not valid HTTP.
  bool sends_invalid_answer = false;
  /// Requests per second that its answers name as its limit; empty for none.
  std::string request_limit;
  /// Its answers say that it is leaving.
  bool leaving = false;
  /// A request to this target crashes it after the delay; empty for none.
  std::string crash_target;
  /// A crashed instance starts again, as a new incarnation, after this time.
  duration restart_time{ std::chrono::milliseconds(20) };
};

/// A request of a caller in progress.
using pending_answer =
  std::shared_ptr<std::optional<result<buffered_response>>>;

/// Nodes and instances on loopback addresses that share one event loop.
class mesh_world
{
public:
  mesh_world();
  ~mesh_world();

  /// Starts a node and its instance and returns the index of the host.
  std::size_t AddHost(const std::string& aService, const std::string& aVersion);

  /// Hosts added after this call join a running mesh; their instances are not
  /// announced automatically.
  void EndFirstStart() { mFirstStart = false; }

  /// Starts the node of a host of another world, in which all nodes were
  /// killed, beside its instance, which is not announced. `aEntry` is the
  /// host's entry in the store; it gets the addresses that the host has here.
  /// Returns the index of the host.
  std::size_t AddRestartedHost(host_record aEntry);

  /// Replaces the node of a host by a new process that knows nothing, while the
  /// instance keeps running. The new node listens on other addresses, since
  /// those of the old one stay open in this process.
  void RestartNode(std::size_t aHost);

  /// Starts the instance of a host again with its former id and announces it.
  void RestartInstance(std::size_t aHost);

  /// Replaces the instance of a host by one at another address, which the test
  /// serves itself.
  void ReplaceInstance(std::size_t aHost, const endpoint& aAddress);

  /// Announces the instance of a host in a state to its node.
  void Announce(std::size_t aHost, instance_state aState);

  /// Sends a request to a node as a caller and waits for the answer.
  result<buffered_response> SendRequest(std::size_t aHost,
                                        const std::string& aMethod,
                                        const std::string& aTarget,
                                        const std::string& aBody = "",
                                        const header_fields& aFields = {});

  /// Sends a request without waiting for the answer.
  pending_answer StartRequest(std::size_t aHost,
                              const std::string& aMethod,
                              const std::string& aTarget,
                              const std::string& aBody = "",
                              const header_fields& aFields = {});

  /// Sends a request to the instance of a host through its node, as another
  /// node does.
  pending_answer SendAsNode(std::size_t aHost,
                            const std::string& aMethod,
                            const std::string& aTarget);

  /// Sends a message to the control address of a node and returns the status of
  /// the answer, 0 if there was none.
  int PostToNode(std::size_t aHost,
                 const std::string& aPath,
                 const std::string& aBody);

  /// Waits for an answer and returns its status, 0 if there was none.
  int StatusOf(const pending_answer& aAnswer);

  /// Runs the loop for this time.
  void RunFor(duration aTime);

  /// Runs the loop until every node knows the instances of all hosts; fails the
  /// test after 10 s.
  void RunUntilInstancesKnown();

  /// Stores a configuration with one route to a service.
  void SetRoute(std::uint64_t aVersion,
                const std::string& aPrefix,
                const std::string& aService,
                bool aIdempotent);

  /// Stores a configuration with one route to a service.
  void SetConfiguration(traffic_configuration aConfiguration);

  /// A configuration with one idempotent route to a service.
  static traffic_configuration ConfigurationFor(std::uint64_t aVersion,
                                                const std::string& aPrefix,
                                                const std::string& aService);

  loop& Loop() { return mLoop; }
  tcp_transport& Sockets() { return mSockets; }
  memory_store& Store() { return mStore; }
  /// Sets whether the store rejects a node.
  void SetStoreRejects(std::size_t aHost, bool aRejected)
  {
    mHosts[aHost]->store.SetRejected(aRejected);
  }
  mesh_node& Node(std::size_t aHost) { return *mHosts[aHost]->node; }
  instance_behaviour& Behaviour(std::size_t aHost)
  {
    return mHosts[aHost]->behaviour;
  }
  /// Address at which the node of a host takes requests of callers.
  const endpoint& CallerAddress(std::size_t aHost) const
  {
    return mHosts[aHost]->settings.caller_listen;
  }
  /// Sets the time from the stop of a node until its process is killed.
  void SetShutdownGrace(std::size_t aHost, duration aGrace);
  /// Time that the last request to the instance of a host said it would wait.
  duration LastTimeout(std::size_t aHost) const
  {
    return mHosts[aHost]->last_timeout;
  }
  /// Fields of the last request that the instance of a host has run.
  const header_fields& LastFields(std::size_t aHost) const
  {
    return mHosts[aHost]->last_fields;
  }
  /// Sets how long the instance of a host says in its next announcements that
  /// it stays cold.
  void SetWarmUp(std::size_t aHost, duration aLeft)
  {
    mHosts[aHost]->instance.warmup_left = aLeft;
  }
  const header_names& Names() const { return mNames; }
  /// Number of requests that the instance of a host has run.
  unsigned RunCount(std::size_t aHost) const
  {
    return mHosts[aHost]->run_count;
  }
  /// Number of instances that the node of a host knows to be there.
  std::size_t KnownInstances(std::size_t aHost) const;
  /// State of the instance of host `aOf` as the node of `aHost` knows it; empty
  /// if it knows of none.
  std::string KnownState(std::size_t aHost, std::size_t aOf) const;
  /// Number of requests to the crash target that the instance of a host has
  /// begun to run.
  unsigned CrashCount(std::size_t aHost) const
  {
    return mHosts[aHost]->crash_count;
  }

private:
  /// A node, its instance and their dependencies.
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
    /// Connections of the instance; null while it is down.
    std::unique_ptr<tcp_transport> instance_sockets;
    unsigned run_count = 0;
    unsigned crash_count = 0;
    duration last_timeout{ 0 };
    header_fields last_fields;
    std::int64_t sequence = 0;
  };

  void ServeInstance(world_host& aHost);
  void HandleInstanceRequest(world_host& aHost,
                             const buffered_request& aRequest,
                             const respond_callback& aRespond);
  /// Ends all connections of the instance, and starts it again later.
  void CrashInstance(world_host& aHost);
  void StartNode(world_host& aHost);
  pending_answer Call(const endpoint& aAddress, buffered_request aRequest);
  void WaitFor(const pending_answer& aAnswer);

  loop mLoop;
  tcp_transport mSockets;
  control_client mCaller;
  memory_store mStore;
  header_names mNames;
  std::vector<std::unique_ptr<world_host>> mHosts;
  /// Nodes that were replaced. They drain and send nothing to the instances.
  std::vector<std::unique_ptr<mesh_node>> mReplacedNodes;
  bool mFirstStart = true;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_MESH_WORLD_H_
