#include "proxy/version-selector.h"

#include "base/name-table.h"

namespace eelgrasstrack {

namespace {

/// These names are sent between nodes and must not change.
constexpr name_table<canary_phase, 4> kPhaseNames{ {
  { canary_phase::canary, "trial" },
  { canary_phase::promoted, "widened" },
  { canary_phase::complete, "complete" },
  { canary_phase::rolled_back, "reverted" },
} };

/// Time from the order to the first burst. New instances are slow for some
/// seconds after their start.
constexpr duration kFirstBurst = std::chrono::milliseconds(4500);
constexpr duration kBurstPeriod = std::chrono::milliseconds(2500);
constexpr duration kBurstLength = std::chrono::milliseconds(120);

} // namespace

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
  bool laterOrder = aCanary.order_id > known.order_id;
  bool ended = known.phase == canary_phase::complete ||
               known.phase == canary_phase::rolled_back;
  bool laterPhase =
    aCanary.order_id == known.order_id && !ended && aCanary.phase > known.phase;
  if (!laterOrder && !laterPhase) {
    return false;
  }
  if (laterOrder) {
    // A random start makes the nodes' first canary requests come at different
    // times, and some come even if no node earns a whole credit.
    std::uniform_real_distribution<double> start(0, 1);
    mCanaryCredits[aCanary.service] = { start(mRandom), aCanary.started_at };
  }
  known = aCanary;
  if (known.phase == canary_phase::complete) {
    mEstablished[aCanary.service].version = aCanary.target_version;
  }
  return true;
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

std::optional<unsigned>
CanaryBurst(duration aSinceOrder)
{
  if (aSinceOrder < kFirstBurst ||
      (aSinceOrder - kFirstBurst) % kBurstPeriod >= kBurstLength) {
    return std::nullopt;
  }
  return static_cast<unsigned>((aSinceOrder - kFirstBurst) / kBurstPeriod);
}

canary_decision
version_selector::DecideCanary(const std::string& aService, time_point aNow)
{
  const canary_rollout* canary = CanaryOf(aService);
  if (canary == nullptr || canary->phase != canary_phase::canary) {
    return {};
  }
  if (std::optional<unsigned> burst = CanaryBurst(aNow - canary->started_at)) {
    return { true, burst };
  }
  canary_credit& credit = mCanaryCredits[aService];
  credit.requests += canary->share;
  if (canary->time_limit > duration(0) && aNow > credit.updated_at) {
    credit.requests += mExtraCanaryRequests *
                       static_cast<double>((aNow - credit.updated_at).count()) /
                       static_cast<double>(canary->time_limit.count());
    credit.updated_at = aNow;
  }
  if (credit.requests < 1) {
    return {};
  }
  credit.requests -= 1;
  return { true, std::nullopt };
}

bool
version_selector::ServesOrdinaryRequests(const std::string& aService,
                                         const std::string& aVersion) const
{
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
