#include "proxy/version-selector.h"

#include <algorithm>

#include "base/name-table.h"

namespace eelgrasstrack {

namespace {

/// These names are sent between nodes and must not change.
constexpr name_table<canary_phase, 4> kPhaseNames{ {
  { canary_phase::canary, "trial" },
  { canary_phase::promoted, "widened" },
  { canary_phase::rolled_back, "reverted" },
  { canary_phase::complete, "complete" },
} };

/// Time from the order to the first burst. New instances are slow for some
/// seconds after their start.
constexpr duration kFirstBurst = std::chrono::milliseconds(3600);
constexpr duration kBurstPeriod = std::chrono::milliseconds(2800);
/// Time at the start of a burst in which all requests go to one instance. It
/// fills the instance's slots, which shows a fault even in a service whose
/// instances are mostly idle.
constexpr duration kPeakLength = std::chrono::milliseconds(120);
/// Length of a burst if the service has `kFewInstances`. With more instances
/// one burst takes a smaller share of the requests, and may last longer.
constexpr duration kBurstLength = std::chrono::milliseconds(370);
constexpr std::size_t kFewInstances = 4;

} // namespace

bool
IsFinal(canary_phase aPhase)
{
  return aPhase == canary_phase::complete ||
         aPhase == canary_phase::rolled_back;
}

std::string_view
NameOf(canary_phase aPhase)
{
  return NameIn(kPhaseNames, aPhase);
}

std::optional<canary_phase>
CanaryPhaseFromName(std::string_view aName)
{
  return ValueIn(kPhaseNames, aName);
}

bool
version_selector::Merge(const canary_rollout& aCanary)
{
  canary_rollout& known = mCanaries[aCanary.service];
  canary_rollout update = aCanary;
  bool restored = IsKnownOrderRestored(known, update);
  if (restored) {
    known.order_id = update.order_id;
    update.started_at = known.started_at;
  }
  bool laterOrder = update.order_id > known.order_id;
  bool laterPhase =
    update.order_id == known.order_id && update.phase > known.phase;
  if (!laterOrder && !laterPhase) {
    return restored;
  }
  if (laterOrder) {
    // A random start makes the nodes' first canary requests come at different
    // times, and some come even if no node earns a whole credit.
    std::uniform_real_distribution<double> start(0, 1);
    canary_credit& credit = mCanaryCredits[aCanary.service];
    credit = {};
    credit.requests = start(mRandom);
    credit.updated_at = aCanary.started_at;
    RememberRolledBack(known, update);
  }
  known = std::move(update);
  if (known.phase == canary_phase::complete) {
    mEstablished[aCanary.service].version = aCanary.target_version;
  }
  return true;
}

void
version_selector::RememberRolledBack(const canary_rollout& aEnded,
                                     const canary_rollout& aNext)
{
  std::set<std::string>& versions = mRolledBack[aNext.service];
  if (aEnded.phase == canary_phase::rolled_back) {
    versions.insert(aEnded.target_version);
  }
  versions.erase(aNext.target_version);
}

bool
version_selector::IsRolledBack(const std::string& aService,
                               const std::string& aVersion) const
{
  const canary_rollout* canary = CanaryOf(aService);
  if (canary != nullptr && canary->target_version == aVersion) {
    return canary->phase == canary_phase::rolled_back;
  }
  auto versions = mRolledBack.find(aService);
  return versions != mRolledBack.end() && versions->second.count(aVersion) != 0;
}

const canary_rollout*
version_selector::CanaryOf(const std::string& aService) const
{
  auto found = mCanaries.find(aService);
  return found == mCanaries.end() ? nullptr : &found->second;
}

void
version_selector::RecordVersion(const std::string& aService,
                                const std::string& aVersion,
                                std::int64_t aStartedUnixMs)
{
  const canary_rollout* canary = CanaryOf(aService);
  if (canary != nullptr && canary->target_version == aVersion) {
    return;
  }
  established_version& known = mEstablished[aService];
  if (known.version.empty() || aStartedUnixMs < known.started_unix_ms) {
    known = { aVersion, aStartedUnixMs };
  }
}

std::optional<canary_burst>
CanaryBurst(duration aSinceOrder, std::size_t aInstances)
{
  if (aSinceOrder < kFirstBurst) {
    return std::nullopt;
  }
  std::size_t instances = aInstances == 0 ? kFewInstances : aInstances;
  duration length =
    std::clamp(kBurstLength * static_cast<std::int64_t>(instances) /
                 static_cast<std::int64_t>(kFewInstances),
               kBurstLength,
               kBurstPeriod);
  duration sinceFirst = aSinceOrder - kFirstBurst;
  duration sinceStart = sinceFirst % kBurstPeriod;
  if (sinceStart >= length) {
    return std::nullopt;
  }
  canary_burst burst;
  burst.number = static_cast<unsigned>(sinceFirst / kBurstPeriod);
  bool isPeak = sinceStart < kPeakLength;
  burst.share =
    isPeak ? 1.0
           : 1.0 / static_cast<double>(std::max(instances, kFewInstances));
  return burst;
}

canary_decision
version_selector::DecideCanary(const std::string& aService, time_point aNow)
{
  const canary_rollout* canary = CanaryOf(aService);
  if (canary == nullptr || canary->phase != canary_phase::canary) {
    return {};
  }
  auto count = mInstanceCounts.find(aService);
  std::optional<canary_burst> burst =
    CanaryBurst(aNow - canary->started_at,
                count == mInstanceCounts.end() ? 0 : count->second);
  canary_credit& credit = mCanaryCredits[aService];
  credit.requests += burst ? burst->share : canary->share;
  if (canary->time_limit > duration(0) && aNow > credit.updated_at) {
    double part = static_cast<double>((aNow - credit.updated_at).count()) /
                  static_cast<double>(canary->time_limit.count());
    credit.updated_at = aNow;
    credit.wanted += mWantedCanaryRequests * part;
    if (credit.sent < credit.wanted) {
      credit.requests += mExtraCanaryRequests * part;
    }
  }
  if (credit.requests < 1) {
    return {};
  }
  credit.requests -= 1;
  credit.sent += 1;
  if (burst) {
    return { true, burst->number };
  }
  return { true, std::nullopt };
}

bool
version_selector::ServesOrdinaryRequests(const std::string& aService,
                                         const std::string& aVersion) const
{
  if (IsRolledBack(aService, aVersion)) {
    return false;
  }
  const canary_rollout* canary = CanaryOf(aService);
  if (canary == nullptr) {
    auto known = mEstablished.find(aService);
    return known == mEstablished.end() || known->second.version == aVersion;
  }
  bool promoted = canary->phase == canary_phase::promoted ||
                  canary->phase == canary_phase::complete;
  return promoted == (aVersion == canary->target_version);
}

} // namespace eelgrasstrack
