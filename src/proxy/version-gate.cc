#include "proxy/version-gate.h"

#include "base/name-table.h"

namespace eelgrasstrack {

namespace {

constexpr name_table<move_phase, 4> kPhaseNames{ {
  { move_phase::trial, "trial" },
  { move_phase::widened, "widened" },
  { move_phase::complete, "complete" },
  { move_phase::reverted, "reverted" },
} };

/// New instances are slow for some seconds after their start.
constexpr duration kFirstBurst = std::chrono::milliseconds(4500);
constexpr duration kBurstPeriod = std::chrono::milliseconds(2500);
constexpr duration kBurstLength = std::chrono::milliseconds(120);

} // namespace

std::string_view
NameOf(move_phase aPhase)
{
  return NameIn(kPhaseNames, aPhase);
}

std::optional<move_phase>
MovePhaseFromName(std::string_view aName)
{
  return ValueIn(kPhaseNames, aName);
}

bool
version_gate::Take(const version_move& aMove)
{
  version_move& known = mMoves[aMove.service];
  bool laterOrder = aMove.order > known.order;
  bool ended =
    known.phase == move_phase::complete || known.phase == move_phase::reverted;
  bool laterPhase =
    aMove.order == known.order && !ended && aMove.phase > known.phase;
  if (!laterOrder && !laterPhase) {
    return false;
  }
  if (laterOrder) {
    mTrialCredit[aMove.service] = 0;
  }
  known = aMove;
  if (known.phase == move_phase::complete) {
    mEstablished[aMove.service].version = aMove.to;
  }
  return true;
}

const version_move*
version_gate::MoveOf(const std::string& aService) const
{
  auto found = mMoves.find(aService);
  return found == mMoves.end() ? nullptr : &found->second;
}

void
version_gate::SeeVersion(const std::string& aService,
                         const std::string& aVersion,
                         std::int64_t aBornMs)
{
  const version_move* move = MoveOf(aService);
  if (move != nullptr && move->to == aVersion) {
    return;
  }
  established& known = mEstablished[aService];
  if (known.version.empty() || aBornMs < known.born_ms) {
    known = { aVersion, aBornMs };
  }
}

std::optional<unsigned>
TrialBurst(duration aSinceOrder)
{
  if (aSinceOrder < kFirstBurst ||
      (aSinceOrder - kFirstBurst) % kBurstPeriod >= kBurstLength) {
    return std::nullopt;
  }
  return static_cast<unsigned>((aSinceOrder - kFirstBurst) / kBurstPeriod);
}

trial_draw
version_gate::DrawTrial(const std::string& aService, time_point aNow)
{
  const version_move* move = MoveOf(aService);
  if (move == nullptr || move->phase != move_phase::trial) {
    return {};
  }
  if (std::optional<unsigned> burst = TrialBurst(aNow - move->began)) {
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
version_gate::Ordinary(const std::string& aService,
                       const std::string& aVersion) const
{
  const version_move* move = MoveOf(aService);
  if (move == nullptr) {
    auto known = mEstablished.find(aService);
    return known == mEstablished.end() || known->second.version == aVersion;
  }
  bool moved =
    move->phase == move_phase::widened || move->phase == move_phase::complete;
  return moved == (aVersion == move->to);
}

} // namespace eelgrasstrack
