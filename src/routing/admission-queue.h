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
  std::uint32_t queue = 32;
};

/// What became of a call at the door.
enum class admission
{
  run,
  queued,
  /// No room in the queue, or the deadline can't be met.
  shed,
};

struct admission_outcome
{
  admission verdict = admission::shed;
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
  bool Withdraw(admission_id aCall);

  /// Takes the next call to run, if a slot is free, and names those that
  /// can't meet their deadline any more.
  struct next_call
  {
    std::optional<admission_id> run;
    std::vector<admission_id> expired;
  };
  next_call Next(time_point aNow);

  std::uint32_t Busy() const { return mBusy; }
  std::uint32_t Queued() const
  {
    return static_cast<std::uint32_t>(mWaiting.size());
  }

private:
  struct waiting_call
  {
    admission_id id;
    std::string caller;
    time_point deadline;
  };

  bool DeadlineInReach(time_point aDeadline,
                       std::size_t aAhead,
                       time_point aNow) const;
  std::list<waiting_call>::iterator LastOfGreediest(
    const std::string& aNewcomer);
  void Run(const std::string& aCaller);

  admission_limits mLimits;
  std::list<waiting_call> mWaiting;
  std::map<std::string, std::uint32_t> mRunning;
  std::uint32_t mBusy = 0;
  /// Moving average of the time a call takes, in microseconds.
  double mServiceMicroseconds = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_ADMISSION_QUEUE_H_
