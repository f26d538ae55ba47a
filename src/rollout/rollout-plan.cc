#include "rollout/rollout-plan.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "rollout/rollout-state.h"

namespace eelgrasstrack {

namespace {

/// The target share from a time on. `start` is a fraction of the planned time,
/// and `share` is in ten-thousandths.
struct plan_stage
{
  double start;
  std::uint32_t share;
};

constexpr std::array<plan_stage, 9> kStages{ {
  { 0.00, 0 },
  { 0.03, 100 },
  { 0.15, 200 },
  { 0.30, 500 },
  { 0.66, 1000 },
  { 0.74, 2500 },
  { 0.82, 5000 },
  { 0.90, kFullShare },
  { 1.00, kFullShare },
} };

constexpr std::array<std::string_view, 6> kStepNames{
  "hold",  "raise", "complete", "waiting_for_upstreams", "waiting_for_evidence",
  "paused"
};

/// The plan uses this fraction of the time between start and deadline.
constexpr double kPlannedFraction = 0.9;
/// The stages with small shares end at this fraction of the planned time. By
/// then, each route should have `kMinRouteTrials` trials of the new version.
constexpr double kSmallShareEnd = 0.66;
constexpr double kMinRouteTrials = 30;
/// A route with few calls raises the share up to this limit before
/// `kSmallShareEnd`.
constexpr std::uint32_t kMaxEarlyShare = 2000;
/// The greatest factor by which one step raises the share.
constexpr std::uint32_t kMaxGrowthFactor = 4;
/// A raise may always reach this share, so that the share can grow from zero.
constexpr std::uint32_t kFirstShare = 100;
/// The least time between a raise and the next step, in milliseconds.
constexpr std::int64_t kMinStepMs = 1000;
/// A raise waits for `kMinTrialsPerRaise` trials at the current share, which is
/// enough to detect a version that always fails. The wait is limited to
/// `kMaxWaitFraction` of the time between start and deadline.
constexpr double kMinTrialsPerRaise = 12;
constexpr double kMaxWaitFraction = 0.06;
/// Fraction of the new version's slots that may be busy.
constexpr double kMaxUtilisation = 0.75;
/// Suspicious evidence holds the share until this fraction of the planned time.
constexpr double kSuspicionHoldEnd = 0.90;

/// The elapsed fraction of the planned time.
double
Progress(const plan_input& aInput)
{
  double totalMs = static_cast<double>(aInput.deadline_ms - aInput.start_ms);
  double elapsedMs = static_cast<double>(aInput.now_ms - aInput.start_ms);
  return totalMs <= 0 ? 1.0
                      : std::max(0.0, elapsedMs / (totalMs * kPlannedFraction));
}

/// The time at a fraction of the planned time, in Unix milliseconds.
std::int64_t
TimeAt(const plan_input& aInput, double aProgress)
{
  double totalMs = static_cast<double>(aInput.deadline_ms - aInput.start_ms);
  return aInput.start_ms + static_cast<std::int64_t>(
                             std::ceil(totalMs * kPlannedFraction * aProgress));
}

const plan_stage&
StageAt(double aProgress)
{
  auto after =
    std::find_if(kStages.begin(), kStages.end(), [&](const plan_stage& aStage) {
      return aStage.start > aProgress;
    });
  return *std::prev(after);
}

/// Whether the current share has lasted long enough and has had enough trials.
bool
IsReadyToRaise(const plan_input& aInput)
{
  if (aInput.share == 0) {
    return true;
  }
  std::int64_t sinceRaiseMs = aInput.now_ms - aInput.raised_ms;
  if (sinceRaiseMs < kMinStepMs) {
    return false;
  }
  double totalMs = static_cast<double>(aInput.deadline_ms - aInput.start_ms);
  return aInput.trials_since_raise >= kMinTrialsPerRaise ||
         static_cast<double>(sinceRaiseMs) >= totalMs * kMaxWaitFraction;
}

double
NextStageStart(double aProgress)
{
  auto after =
    std::find_if(kStages.begin(), kStages.end(), [&](const plan_stage& aStage) {
      return aStage.start > aProgress;
    });
  return after == kStages.end() ? 1.0 : after->start;
}

/// The share at which the route with the fewest calls gets enough trials before
/// `kSmallShareEnd`. Zero if no early raise is needed.
std::uint32_t
EarlyShareFor(const plan_input& aInput, double aProgress)
{
  bool observing = aProgress < kStages[1].start;
  if (observing || aProgress >= kSmallShareEnd ||
      aInput.least_called_route_rate <= 0) {
    return 0;
  }
  double secondsLeft =
    static_cast<double>(TimeAt(aInput, kSmallShareEnd) - aInput.now_ms) / 1000;
  double calls = aInput.least_called_route_rate * secondsLeft;
  double missing = kMinRouteTrials - aInput.least_called_route_trials;
  if (missing <= 0) {
    return 0;
  }
  double share = calls <= missing ? 1.0 : missing / calls;
  return std::min(kMaxEarlyShare,
                  static_cast<std::uint32_t>(share * kFullShare));
}

std::uint32_t
TargetShare(const plan_input& aInput, double aProgress)
{
  std::uint32_t stageShare = StageAt(std::min(aProgress, 1.0)).share;
  std::uint32_t target = std::max(stageShare, EarlyShareFor(aInput, aProgress));
  std::uint32_t growthLimit =
    std::max(kFirstShare, aInput.share * kMaxGrowthFactor);
  return std::min({ target, growthLimit, CapacityShare(aInput) });
}

} // namespace

std::string_view
NameOf(plan_step aStep)
{
  return kStepNames[static_cast<std::size_t>(aStep)];
}

std::uint32_t
CapacityShare(const plan_input& aInput)
{
  if (aInput.new_slots == 0) {
    return 0;
  }
  if (aInput.old_slots == 0) {
    return kFullShare;
  }
  double usableSlots = aInput.new_slots * kMaxUtilisation;
  double byDemand =
    aInput.busy_slots <= usableSlots ? 1.0 : usableSlots / aInput.busy_slots;
  double bySlots = static_cast<double>(aInput.new_slots) /
                   (aInput.new_slots + aInput.old_slots);
  return static_cast<std::uint32_t>(std::max(byDemand, bySlots) * kFullShare);
}

plan_output
PlanNext(const plan_input& aInput)
{
  plan_output output;
  double progress = Progress(aInput);
  output.share = aInput.share;
  output.next_ms = TimeAt(aInput, NextStageStart(progress));
  output.on_time = aInput.now_ms <= aInput.deadline_ms;
  if (aInput.paused) {
    output.step = plan_step::paused;
    output.on_time = output.on_time && progress < kStages[7].start;
    return output;
  }
  if (aInput.new_slots == 0) {
    output.step = plan_step::waiting_for_upstreams;
    return output;
  }
  bool soakIsOver =
    progress >= 1.0 && aInput.now_ms - aInput.raised_ms >= kMinStepMs;
  if (aInput.share >= kFullShare) {
    output.step = soakIsOver ? plan_step::complete : plan_step::hold;
    return output;
  }
  if (aInput.suspicious && progress < kSuspicionHoldEnd) {
    output.step = plan_step::waiting_for_evidence;
    return output;
  }
  std::uint32_t target = TargetShare(aInput, progress);
  if (target > aInput.share && IsReadyToRaise(aInput)) {
    output.step = plan_step::raise;
    output.share = target;
    return output;
  }
  bool limitedByCapacity = CapacityShare(aInput) <= aInput.share;
  output.step =
    limitedByCapacity ? plan_step::waiting_for_upstreams : plan_step::hold;
  return output;
}

} // namespace eelgrasstrack
