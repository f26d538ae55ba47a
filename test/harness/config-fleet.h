#ifndef EELGRASSTRACK_TEST_HARNESS_CONFIG_FLEET_H_
#define EELGRASSTRACK_TEST_HARNESS_CONFIG_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include "harness/platform-store.h"
#include "harness/silence.h"
#include "mesh/mesh-node.h"
#include "platform/store-client.h"

namespace eelgrasstrack::test {

/// Size of a fleet.
struct fleet_size
{
  std::size_t domains = 4;
  std::size_t hosts_per_domain = 4;
};

/// Which connections a fault affects.
enum class link_kind
{
  store,
  nodes,
  all,
};

/// A fleet of nodes on one store, for measuring how soon a configuration is in
/// force. Each node has an event loop, sockets and connections of its own, as
/// in a process of its own, so it can stand still or end by itself. All loops
/// run in turn on the calling thread.
class config_fleet
{
public:
  /// Starts the nodes and runs until all hold the first configuration and know
  /// each other.
  explicit config_fleet(fleet_size aSize);
  ~config_fleet();
  config_fleet(const config_fleet&) = delete;
  config_fleet& operator=(const config_fleet&) = delete;

  void RunFor(duration aTime);
  /// Runs until the condition holds. Returns whether it does before the limit.
  bool RunUntil(const std::function<bool()>& aCondition, duration aLimit);
  time_point Now() const { return mStoreLoop.Now(); }

  /// Number of nodes.
  std::size_t Size() const { return mMachines.size(); }
  const std::string& NameOf(std::size_t aNode) const;
  /// Indices of the nodes of a failure domain, counted from 0.
  std::vector<std::size_t> NodesOf(std::size_t aDomain) const;
  /// Indices of the nodes of a failure domain that watch the store.
  std::vector<std::size_t> WatchersOf(std::size_t aDomain) const;
  bool Watches(std::size_t aNode) const;

  /// The store, and its history, from which faults are injected.
  platform_store& Store() { return *mStore; }
  const endpoint& StoreAddressOf(std::size_t aNode) const;

  /// Confirms the next version of the configuration.
  void ConfirmNextVersion();
  std::uint64_t ConfirmedVersion() const { return mVersion; }
  time_point ConfirmedAt() const { return mConfirmedAt; }
  /// When a node had the confirmed version in force; nothing before that.
  std::optional<time_point> InForceAt(std::size_t aNode) const;
  /// Whether all nodes but these have the confirmed version in force.
  bool InForceExcept(const std::vector<std::size_t>& aNodes) const;

  /// Announces two starts of each instance at once. The messages about them
  /// leave each node with as many open connections to the others as it keeps,
  /// and the write of its entry leaves one to the store.
  void RestartInstances();

  /// Silences the connections that are open now.
  void Silence(link_kind aLinks, silence_kind aKind = silence_kind::stalled);
  /// Cuts a node's path to the store, for new connections too, or restores it.
  void SetStoreCutOff(std::size_t aNode, bool aCutOff);
  /// Stops a node as if its process were suspended, or lets it go on.
  void SetFrozen(std::size_t aNode, bool aFrozen);
  /// Ends a node as if its process were killed.
  void Kill(std::size_t aNode);
  /// Starts a killed node again.
  void Restart(std::size_t aNode);

  /// Sum of a counter over all nodes.
  std::uint64_t Count(proxy_event aEvent) const;
  std::uint64_t CountAt(std::size_t aNode, proxy_event aEvent) const;

private:
  struct machine;

  std::unique_ptr<machine> StartMachine(std::size_t aIndex, bool aFirstStart);
  /// Lets each loop handle what is due, once.
  void RunOnce();
  void RecordVersions();
  bool AllKnowEachOther() const;

  fleet_size mSize;
  std::vector<std::string> mNames;
  std::vector<endpoint> mStoreAddresses;
  loop mStoreLoop;
  tcp_transport mStoreTransport;
  std::unique_ptr<platform_store> mStore;
  std::vector<std::unique_ptr<machine>> mMachines;
  std::uint64_t mVersion = 1;
  time_point mConfirmedAt{};
  /// Sequence number of the last announcements of instances.
  std::int64_t mAnnouncements = 0;
  connection_silencer mSilencer;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_CONFIG_FLEET_H_
