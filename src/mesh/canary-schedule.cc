#include "mesh/canary-schedule.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Time for which a decider must have known an order before it promotes: every
/// node repeats its counts several times within it.
constexpr duration kMinKnownTime = std::chrono::milliseconds(1000);
/// Time between promotion and the deadline of a rollout with a short time
/// limit, if the allowed exposure has room for it.
constexpr duration kPromotedTime = std::chrono::milliseconds(2000);
/// Minimum time between promotion and the deadline: the rollout must be
/// recorded before the deadline, and requests on the old version need time to
/// finish.
constexpr duration kMinPromotedTime = std::chrono::milliseconds(800);
/// Part of the time limit between promotion and the deadline.
constexpr double kPromotedTimeFraction = 0.12;
/// Time before the deadline at which the rollout is recorded as complete.
constexpr duration kRecordingTime = std::chrono::milliseconds(800);
/// The same after a late promotion.
constexpr duration kMinRecordingTime = std::chrono::milliseconds(450);
/// Part of the time between promotion and the deadline that is for recording.
constexpr double kRecordingFraction = 0.25;
/// Part of the allowed exposure that is planned for. The rest is for requests
/// that arrive late, and for changes of the request rate.
constexpr double kPlannedExposure = 0.95;

} // namespace

canary_schedule
ScheduleFor(duration aTimeLimit)
{
  auto fraction = duration(static_cast<std::int64_t>(
    static_cast<double>(aTimeLimit.count()) * kPromotedTimeFraction));
  duration promotedTime = std::max(fraction, kPromotedTime);
  canary_schedule schedule;
  schedule.promote_at = std::max(aTimeLimit / 2, aTimeLimit - promotedTime);
  schedule.complete_at = CompletionTime(aTimeLimit, schedule.promote_at);
  return schedule;
}

canary_schedule
ScheduleFor(duration aTimeLimit,
            duration aElapsed,
            const canary_exposure& aExposure)
{
  canary_schedule schedule = ScheduleFor(aTimeLimit);
  if (aExposure.requests <= 0 || aElapsed <= duration(0)) {
    return schedule;
  }
  double perMicrosecond =
    aExposure.requests / static_cast<double>(aElapsed.count());
  double expected = perMicrosecond * static_cast<double>(aTimeLimit.count());
  double allowed = kPlannedExposure * (aExposure.allowed_share * expected +
                                       aExposure.allowed_slack);
  double room = std::max(0.0, allowed - aExposure.canary_requests);
  auto promotedTime =
    std::max(duration(static_cast<std::int64_t>(room / perMicrosecond)),
             std::min(kMinPromotedTime, aTimeLimit / 2));
  schedule.promote_at =
    std::max(schedule.promote_at, aTimeLimit - promotedTime);
  schedule.complete_at = CompletionTime(aTimeLimit, schedule.promote_at);
  return schedule;
}

duration
CompletionTime(duration aTimeLimit, duration aPromotedAt)
{
  auto left = static_cast<double>((aTimeLimit - aPromotedAt).count());
  auto recording =
    std::clamp(duration(static_cast<std::int64_t>(left * kRecordingFraction)),
               kMinRecordingTime,
               kRecordingTime);
  return std::max(aTimeLimit / 2, aTimeLimit - recording);
}

bool
MayPromote(const canary_schedule& aSchedule,
           duration aElapsed,
           duration aKnownFor)
{
  return aElapsed >= aSchedule.promote_at && aKnownFor >= kMinKnownTime;
}

} // namespace eelgrasstrack
