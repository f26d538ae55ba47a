#ifndef EELGRASSTRACK_PROXY_VERSION_SELECTOR_H_
#define EELGRASSTRACK_PROXY_VERSION_SELECTOR_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/store-revision.h"

namespace eelgrasstrack {

/// Progress of a canary rollout. When nodes exchange phases, a later value
/// replaces an earlier one.
enum class canary_phase
{
  /// A small share of the requests goes to the new version.
  canary,
  /// All requests go to the new version; it can still be rolled back.
  promoted,
  /// All requests go to the old version again. Nodes decide this without the
  /// store, so the store may have recorded the completion before.
  rolled_back,
  /// The store has recorded that the new version is the established one;
  /// requests on the old version have had time to finish, and its instances
  /// end.
  complete,
};

/// Whether a rollout in this phase has ended for the nodes that are in it.
bool
IsFinal(canary_phase aPhase);

/// Name of the phase in messages between nodes, logs and the state dump.
std::string_view
NameOf(canary_phase aPhase);

/// Returns nothing for an unknown name.
std::optional<canary_phase>
CanaryPhaseFromName(std::string_view aName);

/// Canary rollout of one service; nodes exchange it until all have the same.
struct canary_rollout
{
  std::string service;
  std::string target_version;
  /// Revision of the operator's order; a later order replaces an earlier one.
  store_revision order_id;
  canary_phase phase = canary_phase::canary;
  /// Share of the requests that go to the new version in `canary`, 0 to 1.
  double share = 0;
  /// Time after the order by which the rollout must be complete.
  duration time_limit{ 0 };
  /// Time of the order by the clock of this process.
  time_point started_at{};
};

/// Whether `aOther` is the known order, read again after the store was restored
/// from a backup, where it has another id. Both have the members `order_id`,
/// `target_version` and `time_limit`.
template<typename KnownOrder, typename OtherOrder>
bool
IsKnownOrderRestored(const KnownOrder& aKnown, const OtherOrder& aOther)
{
  return aOther.order_id.era > aKnown.order_id.era &&
         aOther.target_version == aKnown.target_version &&
         aOther.time_limit == aKnown.time_limit;
}

/// A time in which one instance of the new version gets a short peak of all
/// requests and then the load that it would have after the promotion.
struct canary_burst
{
  /// Counted from 0; selects the instance of the new version.
  unsigned number = 0;
  /// Share of the requests of the service that go to that instance, 0 to 1.
  double share = 0;
};

/// Returns the burst in progress, or nothing between bursts.
///
/// Some faults show only under load. A part of the canary traffic is therefore
/// sent to one instance at a time, long enough for its requests to overlap as
/// they would after the promotion. Nodes derive the bursts from the time since
/// the order, so that they agree. `aInstances` is the number of instances that
/// the service needs; 0 if unknown.
std::optional<canary_burst>
CanaryBurst(duration aSinceOrder, std::size_t aInstances);

/// Whether and how a request takes part in a canary rollout.
struct canary_decision
{
  /// The request goes to the new version.
  bool uses_canary = false;
  /// Number that selects the instance of the new version (modulo the number of
  /// instances); empty for any instance.
  std::optional<unsigned> instance;
};

/// Decides which version of a service a request goes to.
class version_selector
{
public:
  explicit version_selector(std::uint64_t aSeed = 0)
    : mRandom(aSeed)
  {
  }

  /// Sets how many requests beyond the canary share this node may send to a new
  /// version, spread over the time limit of the rollout, while it has sent
  /// fewer than `aWanted` in the same proportion. A service with little traffic
  /// would otherwise show too little of a new version to judge it.
  void SetExtraCanaryRequests(double aExtra, double aWanted)
  {
    mExtraCanaryRequests = aExtra;
    mWantedCanaryRequests = aWanted;
  }

  /// Stores a rollout if its order is later than the known one, or if it is a
  /// later phase of the same order. An order
  /// that was restored with the store keeps its progress. Returns whether
  /// anything changed.
  bool Merge(const canary_rollout& aCanary);

  /// Sets the number of ready instances by service, without those of the target
  /// version of a rollout.
  void SetInstanceCounts(std::map<std::string, std::size_t> aCounts)
  {
    mInstanceCounts = std::move(aCounts);
  }

  /// Rollout of a service, or null.
  const canary_rollout* CanaryOf(const std::string& aService) const;
  const std::map<std::string, canary_rollout>& Canaries() const
  {
    return mCanaries;
  }

  /// Records that an instance of a service runs a version. The version of the
  /// instance that started first is the established one, except for the target
  /// of a rollout, which becomes established on completion.
  void RecordVersion(const std::string& aService,
                     const std::string& aVersion,
                     std::int64_t aStartedUnixMs);

  /// Decides whether a request that starts now goes to the new version.
  canary_decision DecideCanary(const std::string& aService, time_point aNow);

  /// Whether a rollout of the version was rolled back, and no later order names
  /// it. Instances of such a version get no requests.
  bool IsRolledBack(const std::string& aService,
                    const std::string& aVersion) const;

  /// Whether instances of the version serve requests outside the canary share.
  bool ServesOrdinaryRequests(const std::string& aService,
                              const std::string& aVersion) const;

private:
  /// The version that serves all requests if there is no rollout.
  struct established_version
  {
    std::string version;
    std::int64_t started_unix_ms = 0;
  };

  /// Remembers the version of a rollout that has ended, if it was rolled back.
  void RememberRolledBack(const canary_rollout& aEnded,
                          const canary_rollout& aNext);

  std::map<std::string, canary_rollout> mCanaries;
  /// Versions of earlier orders that were rolled back, by service. Their
  /// instances may still be there when the next order comes.
  std::map<std::string, std::set<std::string>> mRolledBack;
  std::map<std::string, established_version> mEstablished;
  /// Requests that may go to the new version of a service; each whole 1 sends
  /// one.
  struct canary_credit
  {
    double requests = 0;
    /// Requests that this node sent to the new version, and that it should have
    /// sent by now.
    double sent = 0;
    double wanted = 0;
    /// When the extra requests were last added.
    time_point updated_at{};
  };

  std::map<std::string, std::size_t> mInstanceCounts;
  double mExtraCanaryRequests = 0;
  double mWantedCanaryRequests = 0;
  std::mt19937_64 mRandom;
  std::map<std::string, canary_credit> mCanaryCredits;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_VERSION_SELECTOR_H_
