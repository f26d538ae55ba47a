#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_PLAN_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <string_view>

namespace eelgrasstrack {

/// What the plan needs to know of a rollout at one moment.
struct plan_input
{
  std::int64_t start_ms = 0;
  std::int64_t deadline_ms = 0;
  std::int64_t now_ms = 0;
  std::uint32_t share = 0;
  /// Time of the last raise of the share.
  std::int64_t raised_ms = 0;
  bool paused = false;
  /// Slots of the upstreams that take work.
  std::uint32_t old_slots = 0;
  std::uint32_t new_slots = 0;
  /// Slots that the service's calls keep busy on average.
  double busy_slots = 0;
  /// Trials per second on the route with the fewest calls, over all callers.
  double least_called_route_rate = 0;
  /// Trials of the new version on that route so far.
  double least_called_route_trials = 0;
  /// Trials of the new version, on all routes, since the last raise.
  double trials_since_raise = 0;
  /// The evidence is suspicious, but not yet enough to halt.
  bool suspicious = false;
};

enum class plan_step
{
  /// The share stays until `next_ms`.
  hold,
  raise,
  /// Everything is done: all callers have moved and the soak time is over.
  complete,
  waiting_for_upstreams,
  waiting_for_evidence,
  paused,
};

std::string_view
NameOf(plan_step aStep);

struct plan_output
{
  plan_step step = plan_step::hold;
  std::uint32_t share = 0;
  /// When the next step is due, in Unix milliseconds.
  std::int64_t next_ms = 0;
  /// Whether the rollout can still make its time.
  bool on_time = true;
};

/// Works back from the set time. Most of the time is spent at small shares,
/// where a fault, also one that shows late, hurts few callers; then the share
/// grows in steps so that the last callers move before the set time.
/// A raise waits until the new version has answered some calls at the present
/// share, or for a part of the planned time where calls are few.
/// A route too quiet to prove the version at the small share widens earlier.
/// Capacity bounds the share at all times.
plan_output
PlanNext(const plan_input& aInput);

/// The greatest share that the new version's slots can carry.
std::uint32_t
CapacityShare(const plan_input& aInput);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_PLAN_H_
