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

/// Identifies a call in one `admission_queue`; chosen by its user.
using admission_id = std::uint64_t;

/// Limits on the calls that one upstream handles at a time.
struct admission_limits
{
  /// Calls that may run at the same time.
  std::uint32_t slots = 8;
  /// Calls that may wait for a slot.
  std::uint32_t max_queued = 32;
};

/// Whether a new call runs, waits or is rejected.
enum class admission_decision
{
  run,
  queued,
  /// Rejected: the queue is full or the deadline cannot be met.
  shed,
};

/// Result of `admission_queue::Offer`.
struct admission_outcome
{
  admission_decision decision = admission_decision::shed;
  /// Queued calls removed to make room for the new one; at most one.
  std::vector<admission_id> evicted;
};

/// Limits the running calls of one upstream and queues a bounded number of
/// further calls. The next call to run comes from the caller with the fewest
/// running calls; among these, the call with the earliest deadline goes first.
/// When the queue is full, a new call evicts the newest call of the caller with
/// the most queued calls, but only if that caller would still have at least as
/// many queued as the new call's caller. A call that is not expected to finish
/// before its deadline is shed at once.
class admission_queue
{
public:
  explicit admission_queue(admission_limits aLimits);

  void SetLimits(admission_limits aLimits) { mLimits = aLimits; }

  /// Runs, queues or sheds a new call.
  admission_outcome Offer(admission_id aCall,
                          const std::string& aCaller,
                          time_point aDeadline,
                          time_point aNow);

  /// Frees the slot of a running call. `aServiceTime` updates the mean service
  /// time; pass zero if the call must not count, e.g. because it was cancelled.
  void Finish(const std::string& aCaller, duration aServiceTime);

  /// Removes a call from the queue. Returns false if it was not queued.
  bool RemoveQueued(admission_id aCall);

  struct next_result
  {
    /// The call to run now, if a slot is free.
    std::optional<admission_id> run;
    /// Calls removed because they can no longer meet their deadline.
    std::vector<admission_id> expired;
  };
  /// Removes queued calls that can no longer meet their deadline, then moves
  /// the next call from the queue to a free slot.
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

  /// Estimates from the mean service time whether a call with `aCallsAhead`
  /// calls before it can finish by `aDeadline`.
  bool CanMeetDeadline(time_point aDeadline,
                       std::size_t aCallsAhead,
                       time_point aNow) const;
  /// Returns the queued call that a new call of `aNewCaller` evicts, or
  /// `end()`.
  std::list<queued_call>::iterator FindCallToEvict(
    const std::string& aNewCaller);
  void MarkRunning(const std::string& aCaller);

  admission_limits mLimits;
  std::list<queued_call> mQueued;
  std::map<std::string, std::uint32_t> mRunningByCaller;
  std::uint32_t mRunningCount = 0;
  /// Moving average of the service time, in microseconds; 0 before the first
  /// sample.
  double mMeanServiceMicroseconds = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_ADMISSION_QUEUE_H_
