#ifndef EELGRASSTRACK_MESH_GOSSIP_H_
#define EELGRASSTRACK_MESH_GOSSIP_H_

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "config/config-knowledge.h"
#include "mesh/evacuation-table.h"
#include "mesh/gossip-codec.h"
#include "mesh/host-directory.h"
#include "proxy/crash-table.h"
#include "proxy/proxy-counters.h"
#include "proxy/version-selector.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// The node's interface to its gossip.
class gossip_delegate
{
public:
  virtual ~gossip_delegate() = default;
  /// What this node knows of its configuration.
  virtual const config_knowledge& Configuration() const = 0;
  /// Another host announces the version that it holds, which was the latest one
  /// in the store `aStoreAge` ago; nothing if it does not know.
  virtual void OnConfigAnnounced(const host_record& aFrom,
                                 std::uint64_t aVersion,
                                 std::optional<duration> aStoreAge) = 0;
  /// The directory changed: a record, or whether a host is reachable.
  virtual void OnHostsChanged() = 0;
  /// Another node knows that this instance of this host has left.
  virtual void OnInstanceLeft(const instance_incarnation& aInstance) = 0;
  /// Another node holds a record of this host that is newer than this node's
  /// own: it is of an earlier process, whose clock was ahead.
  virtual void OnNewerOwnRecord(const host_record& aRecord) = 0;
  /// The set of evacuated failure domains changed.
  virtual void OnEvacuationsChanged() = 0;
  /// Another node had removed this node from its directory. This node's entry
  /// in the store may have been removed as well.
  virtual void OnRemovedByOthers() = 0;
  /// Rollout states arrived that are newer than the known ones.
  virtual void OnCanaryUpdates(
    const std::vector<canary_rollout>& aCanaries) = 0;
};

/// Exchanges host records, rollout states and configuration versions between
/// nodes. An update goes to the sender's failure domain and to two nodes of
/// each other domain, which forward it inside theirs: traffic between failure
/// domains costs money. Anti-entropy repairs lost updates: pairs of nodes
/// periodically compare their full state (Demers et al., "Epidemic algorithms
/// for replicated database maintenance", 1987).
class gossip
{
public:
  gossip(loop& aLoop,
         control_client& aClient,
         host_directory& aDirectory,
         const version_selector& aVersions,
         crash_table& aCrashes,
         evacuation_table& aEvacuations,
         proxy_counters& aCounters,
         gossip_delegate& aDelegate);

  /// Starts the periodic probes and comparisons.
  void Start();

  /// Sends the record of a host to all failure domains.
  void SpreadHost(const host_record& aRecord);
  /// Announces the version of the configuration held here to the own failure
  /// domain; in a large one, to a part of it, and to the next part the next
  /// time. A watcher also announces it to one host of another domain, and
  /// repeats the announcement periodically, even without a change.
  void SpreadConfigVersion(bool aWatcher);
  /// Announces a configuration fetched from `aFrom` to the own failure domain,
  /// unless `aFrom` has announced it there already.
  void ForwardConfigVersion(const std::string& aFrom);
  /// Sends the state of a rollout to all failure domains.
  void SpreadCanary(const canary_rollout& aCanary);

  /// Sends evidence on requests that crash instances to all failure domains.
  void SpreadCrashes(const std::vector<crash_record>& aRecords);

  /// Sends the evacuated failure domains to all failure domains. Every other
  /// message carries them as well, so that a lost one is soon made up for.
  void SpreadEvacuations();

  /// Tells a host that its entry in the store is missing or out of date.
  void ReportLostEntry(const std::string& aName);

  /// Compares the full state after a start: with a random host of the own
  /// failure domain and one of another.
  void CompareAtStart();
  /// Latest configuration version that another host has announced, 0 if it
  /// holds none; nothing before the first message.
  std::optional<std::uint64_t> LatestPeerConfig() const
  {
    return mLatestPeerConfig;
  }

  /// Compares the full state with a host.
  void CompareWith(const std::string& aName);

  /// Compares the full state with a host unless this function did so within the
  /// last 300 ms.
  void CompareUnlessRecent(const std::string& aName);

  /// Probes a host that may be unreachable. The `OnUnreachable` handler is
  /// called if it does not answer.
  void Probe(const std::string& aName);
  /// Same for a host without a sign of failure: only two missed probes in a row
  /// count, since a host under full load answers late.
  void ProbeTwice(const std::string& aName);
  /// Sets the handler that is called with the name of a host that has become
  /// unreachable.
  void OnUnreachable(std::function<void(const std::string&)> aHandler);

  /// Handles a message of another node and returns the body of the answer.
  /// Fails with `invalid_argument`.
  result<std::string> HandleMessage(const std::string& aBody);

private:
  void Probe(const std::string& aName, unsigned aMissesAllowed);
  void Send(const std::string& aName, const std::string& aBody);
  /// Sends an update of this node to all failure domains.
  void Broadcast(const nlohmann::json& aMessage);
  /// Forwards an update of another node inside the own failure domain.
  void Forward(const nlohmann::json& aMessage, const std::string& aFrom);
  /// Names of the other hosts that are not known to be unreachable.
  std::vector<std::string> ReachableHosts() const;
  /// Reachable hosts of the own failure domain.
  std::vector<std::string> OwnDomainHosts() const;
  /// Hosts of the own failure domain that this node sends updates to.
  std::vector<std::string> OwnDomainTargets();
  /// Hosts of the own failure domain that the next announcement goes to.
  std::vector<std::string> NextAnnounceTargets();
  /// Random reachable hosts, at most `aPerDomain` of each other failure domain.
  std::vector<std::string> OtherDomainTargets(std::size_t aPerDomain);
  bool IsInOwnDomain(const std::string& aName) const;
  bool IsNewerCanary(const canary_rollout& aCanary) const;
  std::vector<host_record> MergeHosts(const nlohmann::json& aMessage);
  /// Handles a copy of this node's own record.
  void HandleOwnRecord(const host_record& aCopy);
  /// Passes the rollout states that are newer than the known ones to the
  /// delegate and returns them.
  std::vector<canary_rollout> MergeCanaries(const nlohmann::json& aMessage);
  /// Merges the evidence on requests that crash instances and returns what was
  /// news.
  std::vector<crash_record> MergeCrashes(const nlohmann::json& aMessage);
  /// Records the departures of instances and returns what was news.
  std::vector<host_departure> MergeDepartures(const nlohmann::json& aMessage);
  /// Takes over a later set of evacuated failure domains. Returns whether the
  /// set changed.
  bool MergeEvacuations(const nlohmann::json& aMessage);
  /// Sends on what was news in a message of another node.
  void ForwardNews(const std::vector<host_record>& aHosts,
                   const std::vector<canary_rollout>& aCanaries,
                   const std::vector<crash_record>& aCrashes,
                   const std::vector<host_departure>& aDepartures,
                   bool aEvacuationsChanged,
                   const std::string& aFrom);
  nlohmann::json EncodeCrashes(const std::vector<crash_record>& aRecords) const;
  nlohmann::json MessageHeader() const;
  /// Encodes the records that are newer than those in the digest, which maps
  /// host names to incarnation and sequence, the evidence on crashes if its
  /// digest is another, and the departures that hosts do not report.
  std::string AnswerToDigest(const nlohmann::json& aMessage,
                             bool aWasRemoved) const;
  std::string EncodeMessage(bool aWithDigest) const;
  /// Merges a message. Returns what the sender lacks: by its digest, if the
  /// message has one, and that its instance has left; otherwise an empty text.
  std::string ProcessMessage(const nlohmann::json& aMessage);
  void CompareWithRandomHost();
  /// Compares the full state with a random one of these hosts, if there is one.
  void CompareWithOneOf(const std::vector<std::string>& aNames);
  void ProbeUnreachable();

  loop& mLoop;
  control_client& mClient;
  host_directory& mDirectory;
  const version_selector& mVersions;
  crash_table& mCrashes;
  evacuation_table& mEvacuations;
  proxy_counters& mCounters;
  gossip_delegate& mDelegate;
  std::function<void(const std::string&)> mOnUnreachable;
  std::set<std::string> mProbing;
  std::map<std::string, time_point> mLastCompared;
  /// Position in the own failure domain after which the next announcement goes
  /// on.
  std::size_t mNextAnnounced = 0;
  std::optional<std::uint64_t> mLatestPeerConfig;
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_GOSSIP_H_
