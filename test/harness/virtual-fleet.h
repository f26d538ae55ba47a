#ifndef EELGRASSTRACK_HARNESS_VIRTUAL_FLEET_H_
#define EELGRASSTRACK_HARNESS_VIRTUAL_FLEET_H_

#include <memory>
#include <set>

#include "fleet/fleet-node.h"
#include "harness/fake-store.h"

namespace eelgrasstrack::harness {

/// Bytes and messages between nodes, by kind.
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
  /// Latency of a message one way.
  duration latency = std::chrono::microseconds(1500);
  /// Count bytes by encoding each message.
  bool count_bytes = false;
};

/// Many fleet nodes in one process on a virtual clock, with a fake network that
/// loses, delays and cuts, and the means to kill, pause and restart nodes.
class virtual_fleet
{
public:
  explicit virtual_fleet(virtual_fleet_options aOptions);
  ~virtual_fleet();

  void Start(std::size_t aNode);
  void StartAll();
  /// Ends the process at once.
  void Kill(std::size_t aNode);
  /// Ends it after it said that it leaves.
  void Leave(std::size_t aNode);
  /// The process does nothing for a while, then goes on.
  void Pause(std::size_t aNode, duration aTime);
  /// Cuts a failure domain off from all others, or joins it again.
  void SetDomainPartitioned(std::size_t aDomain, bool aCut);

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

  /// Time from now until every running node has the version, or `aLongest`.
  duration MeasureConvergenceTime(std::uint64_t aVersion, duration aLongest);

  /// Whether all running nodes have the same configuration and the same view
  /// of who is alive, which is those that run.
  std::string FindDisagreement();

  /// Broken promises seen so far, in words.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  class node_environment;

  struct host
  {
    std::unique_ptr<node_environment> environment;
    std::unique_ptr<fleet_node> node;
    /// Rises with each process on this host.
    std::uint64_t generation = 0;
    time_point paused_until{};
    /// Highest version that any process of this host served.
    std::uint64_t highest_served_version = 0;
    std::set<std::size_t> links;
    std::set<std::size_t> connecting;
    message_traffic sent;
  };

  void Tick(std::size_t aNode, std::uint64_t aGeneration);
  void CheckServedVersion(std::size_t aNode);
  bool Reachable(std::size_t aFrom, std::size_t aTo) const;
  void Connect(std::size_t aFrom, std::size_t aTo);
  void Send(std::size_t aFrom, std::size_t aTo, const peer_message& aMessage);
  void BreakLinks(std::size_t aNode);
  /// Runs a task on a node's loop: not while it is paused, nor in another life.
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
  std::vector<std::string> mViolations;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_VIRTUAL_FLEET_H_
