#ifndef EELGRASSTRACK_MESH_GOSSIP_H_
#define EELGRASSTRACK_MESH_GOSSIP_H_

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "mesh/host-directory.h"
#include "proxy/proxy-counters.h"
#include "proxy/version-selector.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// What the gossip reports to the node.
class gossip_delegate
{
public:
  virtual ~gossip_delegate() = default;
  virtual std::uint64_t ConfigVersion() const = 0;
  /// A host holds a later configuration than this node.
  virtual void OnNewerConfig(const host_record& aFrom,
                             std::uint64_t aVersion) = 0;
  virtual void OnHostsChanged() = 0;
  /// Others had dropped this node, and its entry may have been removed.
  virtual void OnRemovedByOthers() = 0;
  virtual void OnCanaryUpdates(const std::vector<canary_rollout>& aMoves) = 0;
};

/// Spreads what nodes know of each other. News goes to the own failure domain
/// and to two nodes of each other one, which pass it on inside theirs: bytes
/// between failure domains are paid for. Now and then two nodes compare all
/// they know, so that what was lost on the way arrives too (Demers et al.,
/// "Epidemic algorithms for replicated database maintenance", 1987).
class gossip
{
public:
  gossip(loop& aLoop,
         control_client& aCaller,
         host_directory& aDirectory,
         const version_selector& aVersions,
         proxy_counters& aCounters,
         gossip_delegate& aOwner);

  void Start();

  /// Spreads the record of a host.
  void SpreadHost(const host_record& aRecord);
  /// Tells the failure domain, and a few others, which configuration is held
  /// here. A watcher does so even without news.
  void SpreadConfigVersion(bool aWatcher);
  /// Tells the failure domain of a configuration that came from a host, unless
  /// that host has told it.
  void ForwardConfigVersion(const std::string& aFrom);
  /// When a watcher that reaches the store was last heard.
  time_point LastWatcherMessage() const { return mLastWatcherMessage; }

  /// Spreads the progress of a move.
  void SpreadCanary(const canary_rollout& aMove);

  /// Compares all with a host, as after the node's start.
  void CompareWith(const std::string& aName);

  /// Compares all with a host unless that was done a moment ago.
  void CompareUnlessRecent(const std::string& aName);

  /// Probes a host that may be lost; `aLost` is called if it does not answer.
  void Probe(const std::string& aName);
  void OnLost(std::function<void(const std::string&)> aHandler);

  /// Handles a message of another node and returns the answer's body.
  result<std::string> HandleMessage(const std::string& aBody);

private:
  void Send(const std::string& aName, const std::string& aBody);
  /// Begins to spread news.
  void Broadcast(const nlohmann::json& aMessage);
  /// Passes news on that came from another node.
  void Forward(const nlohmann::json& aMessage, const std::string& aFrom);
  /// Reachable hosts of the own failure domain.
  std::vector<std::string> OwnDomainHosts() const;
  /// Those of them that hear news from this node.
  std::vector<std::string> OwnDomainTargets();
  std::vector<std::string> OtherDomainTargets(std::size_t aPerDomain);
  bool IsInOwnDomain(const std::string& aName) const;
  bool IsNewerCanary(const canary_rollout& aMove) const;
  std::vector<host_record> MergeHosts(const nlohmann::json& aMessage,
                                      const std::string& aFrom);
  std::vector<canary_rollout> MergeCanaries(const nlohmann::json& aMessage);
  nlohmann::json MessageHeader() const;
  std::string AnswerToDigest(const nlohmann::json& aKnown,
                             bool aWasDropped) const;
  std::string EncodeMessage(bool aCompare) const;
  /// Returns records that the other side lacks.
  std::string ProcessMessage(const std::string& aBody);
  void CompareWithRandomHost();
  nlohmann::json EncodeCanary(const canary_rollout& aMove) const;
  result<canary_rollout> DecodeCanary(const nlohmann::json& aJson) const;
  void ProbeUnreachable();
  std::vector<std::string> ReachableHosts() const;

  loop& mLoop;
  control_client& mClient;
  host_directory& mDirectory;
  const version_selector& mVersions;
  proxy_counters& mCounters;
  gossip_delegate& mDelegate;
  std::function<void(const std::string&)> mOnLost;
  std::set<std::string> mProbing;
  std::map<std::string, time_point> mLastCompared;
  time_point mLastWatcherMessage{};
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_GOSSIP_H_
