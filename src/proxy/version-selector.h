#ifndef EELGRASSTRACK_PROXY_VERSION_SELECTOR_H_
#define EELGRASSTRACK_PROXY_VERSION_SELECTOR_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// How far the move of a service to a new version has come. Later values
/// replace earlier ones when nodes exchange them.
enum class canary_phase
{
  /// A small share of requests tries the new version.
  canary,
  /// All requests go to the new version; it can still be taken back.
  promoted,
  /// Done: the old version has ended.
  complete,
  /// Taken back for good.
  rolled_back,
};

std::string_view
NameOf(canary_phase aPhase);

/// Returns `canary` for an unknown name.
std::optional<canary_phase>
CanaryPhaseFromName(std::string_view aName);

/// The move of one service, as all nodes agree on it.
struct canary_rollout
{
  std::string service;
  std::string target_version;
  /// Revision of the order; a later order replaces an earlier one.
  std::uint64_t order_id = 0;
  canary_phase phase = canary_phase::canary;
  /// Part of the requests that try the new version in `canary`, 0 to 1.
  double share = 0;
  /// Time from the order to the moment when it must be done.
  duration time_limit{ 0 };
  /// When the order was first seen, by the clock of this process.
  time_point started_at{};
};

/// Which instance of the new version is loaded by a burst of the trial, as
/// a number that counts up; empty between bursts.
///
/// Some faults show under load only. So a part of the trial comes in short
/// bursts, in which all requests of the service go to one new instance. Nodes
/// agree on the moments by the time since the order.
std::optional<unsigned>
CanaryBurst(duration aSinceOrder);

/// How a request takes part in a trial.
struct canary_decision
{
  /// It tries the new version.
  bool uses_canary = false;
  /// It goes to this instance of the new version; empty: to any.
  std::optional<unsigned> instance;
};

/// Which version of a service a request goes to.
class version_selector
{
public:
  /// Takes a move unless a later one, or a later phase, is known. Returns
  /// whether anything changed.
  bool Merge(const canary_rollout& aCanary);

  const canary_rollout* CanaryOf(const std::string& aService) const;
  const std::map<std::string, canary_rollout>& Canaries() const
  {
    return mCanaries;
  }

  /// Notes a version that serves a service. The first one, or the one of the
  /// oldest instance, is the established one.
  void RecordVersion(const std::string& aService,
                     const std::string& aVersion,
                     std::int64_t aStartedUnixMs);

  /// Whether a request that begins now tries the new version.
  canary_decision DecideCanary(const std::string& aService, time_point aNow);

  /// Whether instances of the version take ordinary requests of the service.
  bool ServesOrdinaryRequests(const std::string& aService,
                              const std::string& aVersion) const;

private:
  struct established_version
  {
    std::string version;
    std::int64_t started_unix_ms = 0;
  };

  std::map<std::string, canary_rollout> mCanaries;
  std::map<std::string, established_version> mEstablished;
  std::map<std::string, double> mCanaryCredits;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_VERSION_SELECTOR_H_
