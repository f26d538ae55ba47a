#include "rollout/rollout-plan.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "rollout/rollout-state.h"

namespace eelgrasstrack {

namespace {

/// From `from` (a part of the planned time) on, the plan wants `share`.
struct plan_stage
{
  double from;
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
  { 0.90, kWholeShare },
  { 1.00, kWholeShare },
} };

constexpr std::array<std::string_view, 6> kStepNames{
  "hold",  "raise", "complete", "waiting_for_upstreams", "waiting_for_evidence",
  "paused"
};

/// Part of the time until the set time that the plan uses.
constexpr double kUsedPart = 0.9;
/// The small shares end here; by then a route wants `kWantedTrials`.
constexpr double kProofEnd = 0.66;
constexpr double kWantedTrials = 30;
/// A quiet route widens no further than this before `kProofEnd`.
constexpr std::uint32_t kWidestEarlyShare = 2000;
/// The share grows at most by this factor at once, and not faster than this.
constexpr std::uint32_t kGreatestGrowth = 4;
constexpr std::uint32_t kFirstShare = 100;
constexpr std::int64_t kLeastStepMs = 1000;
/// A raise waits for this many trials at the present share, enough to show a
/// version that always fails, but for no more than this part of the time.
constexpr double kTrialsPerRaise = 12;
constexpr double kLongestWaitPart = 0.06;
/// Part of the new version's slots that may be busy.
constexpr double kUsableCapacity = 0.75;
/// Suspicion holds the share until this part of the planned time.
constexpr double kSuspicionPatience = 0.90;

double
Progress(const plan_input& aInput)
{
  double whole = static_cast<double>(aInput.by_ms - aInput.start_ms);
  double passed = static_cast<double>(aInput.now_ms - aInput.start_ms);
  return whole <= 0 ? 1.0 : std::max(0.0, passed / (whole * kUsedPart));
}

std::int64_t
TimeOf(const plan_input& aInput, double aProgress)
{
  double whole = static_cast<double>(aInput.by_ms - aInput.start_ms);
  return aInput.start_ms +
         static_cast<std::int64_t>(std::ceil(whole * kUsedPart * aProgress));
}

const plan_stage&
StageAt(double aProgress)
{
  auto after =
    std::find_if(kStages.begin(), kStages.end(), [&](const plan_stage& aStage) {
      return aStage.from > aProgress;
    });
  return *std::prev(after);
}

/// Whether the present share has shown enough to go on.
bool
Settled(const plan_input& aInput)
{
  if (aInput.share == 0) {
    return true;
  }
  std::int64_t since = aInput.now_ms - aInput.raised_ms;
  if (since < kLeastStepMs) {
    return false;
  }
  double whole = static_cast<double>(aInput.by_ms - aInput.start_ms);
  return aInput.trials_since_raise >= kTrialsPerRaise ||
         static_cast<double>(since) >= whole * kLongestWaitPart;
}

double
NextStageFrom(double aProgress)
{
  auto after =
    std::find_if(kStages.begin(), kStages.end(), [&](const plan_stage& aStage) {
      return aStage.from > aProgress;
    });
  return after == kStages.end() ? 1.0 : after->from;
}

/// The share at which the quietest route sees enough trials in time.
std::uint32_t
WideningFor(const plan_input& aInput, double aProgress)
{
  bool observing = aProgress < kStages[1].from;
  if (observing || aProgress >= kProofEnd || aInput.quiet_route_rate <= 0) {
    return 0;
  }
  double secondsLeft =
    static_cast<double>(TimeOf(aInput, kProofEnd) - aInput.now_ms) / 1000;
  double calls = aInput.quiet_route_rate * secondsLeft;
  double missing = kWantedTrials - aInput.quiet_route_trials;
  if (missing <= 0) {
    return 0;
  }
  double share = calls <= missing ? 1.0 : missing / calls;
  return std::min(kWidestEarlyShare,
                  static_cast<std::uint32_t>(share * kWholeShare));
}

std::uint32_t
WantedShare(const plan_input& aInput, double aProgress)
{
  std::uint32_t staged = StageAt(std::min(aProgress, 1.0)).share;
  std::uint32_t wanted = std::max(staged, WideningFor(aInput, aProgress));
  std::uint32_t growth = std::max(kFirstShare, aInput.share * kGreatestGrowth);
  return std::min({ wanted, growth, CapacityShare(aInput) });
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
    return kWholeShare;
  }
  double carried = aInput.new_slots * kUsableCapacity;
  double byDemand =
    aInput.busy_slots <= carried ? 1.0 : carried / aInput.busy_slots;
  double bySlots = static_cast<double>(aInput.new_slots) /
                   (aInput.new_slots + aInput.old_slots);
  return static_cast<std::uint32_t>(std::max(byDemand, bySlots) * kWholeShare);
}

plan_output
PlanNext(const plan_input& aInput)
{
  plan_output output;
  double progress = Progress(aInput);
  output.share = aInput.share;
  output.next_ms = TimeOf(aInput, NextStageFrom(progress));
  output.on_time = aInput.now_ms <= aInput.by_ms;
  if (aInput.paused) {
    output.step = plan_step::paused;
    output.on_time = output.on_time && progress < kStages[7].from;
    return output;
  }
  if (aInput.new_slots == 0) {
    output.step = plan_step::waiting_for_upstreams;
    return output;
  }
  bool soaked =
    progress >= 1.0 && aInput.now_ms - aInput.raised_ms >= kLeastStepMs;
  if (aInput.share >= kWholeShare) {
    output.step = soaked ? plan_step::complete : plan_step::hold;
    return output;
  }
  if (aInput.suspicious && progress < kSuspicionPatience) {
    output.step = plan_step::waiting_for_evidence;
    return output;
  }
  std::uint32_t wanted = WantedShare(aInput, progress);
  if (wanted > aInput.share && Settled(aInput)) {
    output.step = plan_step::raise;
    output.share = wanted;
    return output;
  }
  bool heldByCapacity = CapacityShare(aInput) <= aInput.share;
  output.step =
    heldByCapacity ? plan_step::waiting_for_upstreams : plan_step::hold;
  return output;
}

} // namespace eelgrasstrack
