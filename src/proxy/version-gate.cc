#include "proxy/version-gate.h"

#include <array>

namespace eelgrasstrack {

namespace {

struct phase_name
{
  move_phase phase;
  std::string_view name;
};

constexpr std::array<phase_name, 4> kPhaseNames{ {
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
  for (const phase_name& row : kPhaseNames) {
    if (row.phase == aPhase) {
      return row.name;
    }
  }
  return "unknown";
}

move_phase
MovePhaseFromName(std::string_view aName)
{
  for (const phase_name& row : kPhaseNames) {
    if (row.name == aName) {
      return row.phase;
    }
  }
  return move_phase::trial;
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

std::string
version_gate::EstablishedVersion(const std::string& aService) const
{
  auto known = mEstablished.find(aService);
  return known == mEstablished.end() ? std::string() : known->second.version;
}

} // namespace eelgrasstrack
