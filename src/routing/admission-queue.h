#ifndef EELGRASSTRACK_ROUTING_ADMISSION_QUEUE_H_
#define EELGRASSTRACK_ROUTING_ADMISSION_QUEUE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace eelgrasstrack {

using admission_id = std::uint64_t;

struct admission_limits
{
  std::uint32_t slots = 8;
  std::uint32_t max_queued = 32;
};

/// What became of a call at the door.
enum class admission_decision
{
  run,
  queued,
  /// No room in the queue, or the deadline can't be met.
  shed,
};

struct admission_outcome
{
  admission_decision decision = admission_decision::shed;
  /// A call that lost its place in the queue to this one.
  std::vector<admission_id> evicted;
};

/// The limit of one upstream: calls in progress, and a bounded queue.
/// The call with the earliest deadline runs next, callers with fewer calls in
/// progress first. A full queue takes the last call of the caller that has
/// most in it, if that is more than the new call's caller has. A call that
/// can't finish before its deadline is shed at once.
class admission_queue
{
public:
  explicit admission_queue(admission_limits aLimits);

  void SetLimits(admission_limits aLimits) { mLimits = aLimits; }

  admission_outcome Offer(admission_id aCall,
                          const std::string& aCaller,
                          time_point aDeadline,
                          time_point aNow);

  /// A running call ended. `aServiceTime` is zero if it says nothing about the
  /// time a call takes.
  void Finish(const std::string& aCaller, duration aServiceTime);

  /// Removes a waiting call; returns whether it was waiting.
  bool RemoveQueued(admission_id aCall);

  /// Takes the next call to run, if a slot is free, and names those that
  /// can't meet their deadline any more.
  struct next_result
  {
    std::optional<admission_id> run;
    std::vector<admission_id> expired;
  };
  next_result StartNext(time_point aNow);

  std::uint32_t RunningCount() const { return mRunningCount; }
  std::uint32_t QueuedCount() const
  {
    return static_cast<std::uint32_t>(mQueued.size());
  }

private:
  struct queued_call
  {
    admission_id id;
    std::string caller;
    time_point deadline;
  };

  bool CanMeetDeadline(time_point aDeadline,
                       std::size_t aCallsAhead,
                       time_point aNow) const;
  std::list<queued_call>::iterator FindCallToEvict(
    const std::string& aNewCaller);
  void MarkRunning(const std::string& aCaller);

  admission_limits mLimits;
  std::list<queued_call> mQueued;
  std::map<std::string, std::uint32_t> mRunningByCaller;
  std::uint32_t mRunningCount = 0;
  /// Moving average of the time a call takes, in microseconds.
  double mMeanServiceMicroseconds = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_ADMISSION_QUEUE_H_
