#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_PLAN_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <string_view>

namespace eelgrasstrack {

/// The state of a rollout at one moment. Times are in Unix milliseconds.
struct plan_input
{
  std::int64_t start_ms = 0;
  std::int64_t deadline_ms = 0;
  std::int64_t now_ms = 0;
  /// Current share of the new version, in ten-thousandths.
  std::uint32_t share = 0;
  /// Time at which the share was last raised.
  std::int64_t raised_ms = 0;
  bool paused = false;
  /// Total slots of the upstreams that accept calls, by version.
  std::uint32_t old_slots = 0;
  std::uint32_t new_slots = 0;
  /// Average number of slots that are busy with calls of the service.
  double busy_slots = 0;
  /// Trials per second on the route with the fewest calls, on both versions.
  double least_called_route_rate = 0;
  /// Trials of the new version on that route so far.
  double least_called_route_trials = 0;
  /// Trials of the new version on all routes since the last raise.
  double trials_since_raise = 0;
  /// Whether the evidence is suspicious, but not strong enough to halt.
  bool suspicious = false;
};

/// The next step of a rollout. The names appear in the operator API.
enum class plan_step
{
  /// Keep the share until `next_ms`.
  hold,
  /// Raise the share.
  raise,
  /// All callers use the new version and the soak time is over.
  complete,
  /// The new version has too few slots for a greater share.
  waiting_for_upstreams,
  /// The evidence is suspicious.
  waiting_for_evidence,
  /// An operator has paused the rollout.
  paused,
};

std::string_view
NameOf(plan_step aStep);

/// The step that the plan selects.
struct plan_output
{
  plan_step step = plan_step::hold;
  std::uint32_t share = 0;
  /// When the next step is due, in Unix milliseconds.
  std::int64_t next_ms = 0;
  /// Whether the rollout can still complete by its deadline.
  bool on_time = true;
};

/// Selects the next step so that the rollout completes by its deadline. Most of
/// the time is spent at small shares, where a fault affects few callers even if
/// it appears late. Then the share grows in steps, and the last callers switch
/// before the deadline.
/// A raise waits until the new version has served some calls at the current
/// share or, if there are few calls, for a part of the planned time.
/// If a route has too few calls to test the version at the small share, the
/// share is raised earlier. Capacity always limits the share.
plan_output
PlanNext(const plan_input& aInput);

/// The greatest share that the new version's slots can serve.
std::uint32_t
CapacityShare(const plan_input& aInput);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_PLAN_H_
