#ifndef EELGRASSTRACK_MESH_CANARY_SCHEDULE_H_
#define EELGRASSTRACK_MESH_CANARY_SCHEDULE_H_

#include "base/clock.h"

namespace eelgrasstrack {

/// Times of the phase changes of a canary rollout, counted from the order.
struct canary_schedule
{
  /// All requests go to the new version from then on, unless it has been judged
  /// bad and rolled back.
  duration promote_at{ 0 };
  /// The rollout is recorded as complete from then on, unless it was promoted
  /// later.
  duration complete_at{ 0 };
};

/// Returns the schedule of a rollout with the given time limit. The canary
/// phase lasts as long as possible, since a fault may show late. The time left
/// after promotion is enough for requests on the old version to finish.
canary_schedule
ScheduleFor(duration aTimeLimit);

/// What a new version has received since the order, and may receive until the
/// deadline.
struct canary_exposure
{
  /// Allowed share of all requests of the service, 0 to 1.
  double allowed_share = 0;
  /// Allowed number of requests beyond that share.
  double allowed_slack = 0;
  /// Requests of the service since the order, on all versions.
  double requests = 0;
  double canary_requests = 0;
};

/// Returns the schedule of a rollout after `aElapsed`, in which the promotion
/// is so late that even a fault that stays undetected keeps to the allowed
/// exposure until the deadline, if requests keep coming at the same rate.
canary_schedule
ScheduleFor(duration aTimeLimit,
            duration aElapsed,
            const canary_exposure& aExposure);

/// Returns when a rollout that was promoted `aPromotedAt` after the order is
/// recorded as complete.
duration
CompletionTime(duration aTimeLimit, duration aPromotedAt);

/// Returns whether a decider may promote a rollout `aElapsed` after the order.
/// A decider that has known the order for a short time only, for example after
/// a restart, first waits for the counts of the other nodes.
bool
MayPromote(const canary_schedule& aSchedule,
           duration aElapsed,
           duration aKnownFor);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_CANARY_SCHEDULE_H_
