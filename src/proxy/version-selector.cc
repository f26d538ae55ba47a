#include "proxy/version-selector.h"

#include "base/name-table.h"

namespace eelgrasstrack {

namespace {

constexpr name_table<canary_phase, 4> kPhaseNames{ {
  { canary_phase::canary, "trial" },
  { canary_phase::promoted, "widened" },
  { canary_phase::complete, "complete" },
  { canary_phase::rolled_back, "reverted" },
} };

/// New instances are slow for some seconds after their start.
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
version_selector::Merge(const canary_rollout& aMove)
{
  canary_rollout& known = mMoves[aMove.service];
  bool laterOrder = aMove.order_id > known.order_id;
  bool ended = known.phase == canary_phase::complete ||
               known.phase == canary_phase::rolled_back;
  bool laterPhase =
    aMove.order_id == known.order_id && !ended && aMove.phase > known.phase;
  if (!laterOrder && !laterPhase) {
    return false;
  }
  if (laterOrder) {
    mTrialCredit[aMove.service] = 0;
  }
  known = aMove;
  if (known.phase == canary_phase::complete) {
    mEstablished[aMove.service].version = aMove.target_version;
  }
  return true;
}

const canary_rollout*
version_selector::CanaryOf(const std::string& aService) const
{
  auto found = mMoves.find(aService);
  return found == mMoves.end() ? nullptr : &found->second;
}

void
version_selector::RecordVersion(const std::string& aService,
                                const std::string& aVersion,
                                std::int64_t aBornMs)
{
  const canary_rollout* move = CanaryOf(aService);
  if (move != nullptr && move->target_version == aVersion) {
    return;
  }
  established& known = mEstablished[aService];
  if (known.version.empty() || aBornMs < known.born_ms) {
    known = { aVersion, aBornMs };
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
  const canary_rollout* move = CanaryOf(aService);
  if (move == nullptr || move->phase != canary_phase::canary) {
    return {};
  }
  if (std::optional<unsigned> burst = CanaryBurst(aNow - move->started_at)) {
    return { true, burst };
  }
  double& credit = mTrialCredit[aService];
  credit += move->share;
  if (credit < 1) {
    return {};
  }
  credit -= 1;
  return { true, std::nullopt };
}

bool
version_selector::ServesOrdinaryRequests(const std::string& aService,
                                         const std::string& aVersion) const
{
  const canary_rollout* move = CanaryOf(aService);
  if (move == nullptr) {
    auto known = mEstablished.find(aService);
    return known == mEstablished.end() || known->second.version == aVersion;
  }
  bool moved = move->phase == canary_phase::promoted ||
               move->phase == canary_phase::complete;
  return moved == (aVersion == move->target_version);
}

} // namespace eelgrasstrack
