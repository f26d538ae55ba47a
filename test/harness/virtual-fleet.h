#ifndef EELGRASSTRACK_HARNESS_VIRTUAL_FLEET_H_
#define EELGRASSTRACK_HARNESS_VIRTUAL_FLEET_H_

#include <memory>
#include <set>

#include "fleet/fleet-node.h"
#include "harness/fake-store.h"

namespace eelgrasstrack::harness {

/// Messages and bytes that a node sent, by kind of message.
struct message_traffic
{
  std::array<std::uint64_t, kPeerMessageKinds> messages{};
  std::array<std::uint64_t, kPeerMessageKinds> bytes{};
};

struct virtual_fleet_options
{
  std::size_t nodes = 12;
  std::size_t domains = 4;
  std::uint64_t seed = 1;
  distribution_mode mode = distribution_mode::overlay;
  /// Minimum one-way latency of a message. The maximum is twice as long.
  duration latency = std::chrono::microseconds(1500);
  /// Encode each message to count its bytes.
  bool count_bytes = false;
};

/// Many fleet nodes in one process on virtual time. Their fake network delays
/// and loses messages and can be partitioned. Nodes can be killed, paused and
/// restarted.
class virtual_fleet
{
public:
  explicit virtual_fleet(virtual_fleet_options aOptions);
  ~virtual_fleet();

  void Start(std::size_t aNode);
  void StartAll();
  /// Ends the process of a node without notice.
  void Kill(std::size_t aNode);
  /// Ends the process of a node 200 ms after the node announced that it leaves.
  void Leave(std::size_t aNode);
  /// Suspends the process of a node for a time.
  void Pause(std::size_t aNode, duration aTime);
  /// All open links fall silent: they carry no more messages and stay open.
  /// New links work.
  void SilenceOpenLinks();
  /// Separates a failure domain from all others, or reconnects it.
  void SetDomainPartitioned(std::size_t aDomain, bool aCut);

  /// Cuts a node off from the store, or reconnects it: its calls get no answer.
  void SetStoreCut(std::size_t aNode, bool aCut)
  {
    mHosts[aNode].store_cut = aCut;
  }

  void Advance(duration aTime) { mTime.Advance(aTime); }

  bool Running(std::size_t aNode) const
  {
    return mHosts[aNode].node != nullptr;
  }
  fleet_node& Node(std::size_t aNode) { return *mHosts[aNode].node; }
  std::size_t Size() const { return mHosts.size(); }
  std::size_t DomainOf(std::size_t aNode) const
  {
    return aNode % mOptions.domains;
  }
  virtual_time& Time() { return mTime; }
  fake_store& Store() { return mStore; }
  const message_traffic& TrafficOf(std::size_t aNode) const
  {
    return mHosts[aNode].sent;
  }

  /// Advances the time until every running node has the version, at most by
  /// `aLongest`. Returns the time that passed.
  duration MeasureConvergenceTime(std::uint64_t aVersion, duration aLongest);

  /// Describes the first difference found between the running nodes, or returns
  /// an empty string if all are ready, have the same configuration and rollout
  /// states, and see exactly the running nodes alive.
  std::string FindDisagreement();

  /// Descriptions of the invariant violations found so far.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  class node_environment;

  struct host
  {
    std::unique_ptr<node_environment> environment;
    std::unique_ptr<fleet_node> node;
    /// Incremented when a process starts or is killed on this host, so that
    /// tasks of earlier processes are dropped.
    std::uint64_t generation = 0;
    time_point paused_until{};
    /// Highest version that a ready process of this host has had.
    std::uint64_t highest_served_version = 0;
    bool store_cut = false;
    std::set<std::size_t> links;
    std::set<std::size_t> connecting;
    message_traffic sent;
  };

  void Tick(std::size_t aNode, std::uint64_t aGeneration);
  /// Records a violation if a ready node has a lower version than an earlier
  /// one on its host.
  void CheckServedVersion(std::size_t aNode);
  bool Reachable(std::size_t aFrom, std::size_t aTo) const;
  void Connect(std::size_t aFrom, std::size_t aTo);
  /// Opens a link that replaces one that may be open.
  void Reconnect(std::size_t aFrom, std::size_t aTo);
  void Send(std::size_t aFrom, std::size_t aTo, const peer_message& aMessage);
  void BreakLinks(std::size_t aNode);
  /// Both nodes, the lower one first.
  using link_ends = std::pair<std::size_t, std::size_t>;
  static link_ends EndsOf(std::size_t aOne, std::size_t aOther)
  {
    return { std::min(aOne, aOther), std::max(aOne, aOther) };
  }
  /// Runs a task on a node after a delay. The task waits while the node is
  /// paused and is dropped if the process has ended.
  void RunOnNode(std::size_t aNode,
                 std::uint64_t aGeneration,
                 duration aDelay,
                 std::function<void()> aTask);
  duration Latency();
  static node_id NameOf(std::size_t aNode);
  static std::size_t IndexOf(const node_id& aNode);

  virtual_fleet_options mOptions;
  virtual_time mTime;
  fake_store mStore;
  std::mt19937_64 mRandom;
  std::vector<host> mHosts;
  std::set<std::size_t> mPartitionedDomains;
  std::set<link_ends> mSilentLinks;
  std::vector<std::string> mViolations;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_VIRTUAL_FLEET_H_
