#ifndef EELGRASSTRACK_PROXY_RUN_QUEUE_H_
#define EELGRASSTRACK_PROXY_RUN_QUEUE_H_

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "proxy/request-rate-limiter.h"

namespace eelgrasstrack {

/// Identifies a request in one `run_queue`; chosen by its user.
using run_id = std::uint64_t;

/// A request for a slot of an instance.
struct run_entry
{
  run_id id = 0;
  /// Groups requests that take a similar time, such as those of one route.
  std::string key;
  /// 0 is the highest priority.
  unsigned priority = 0;
  /// An answer after this time counts as late.
  time_point soft_deadline{};
  /// The caller does not wait for an answer after this time.
  time_point deadline{};
};

/// Whether a new request runs, waits or is refused.
enum class run_decision
{
  run,
  wait,
  refuse,
};

/// Result of `run_queue::Admit`.
struct run_admission
{
  run_decision decision = run_decision::refuse;
  /// Waiting requests removed because they can no longer finish in time.
  std::vector<run_id> evicted;
  /// If refused: estimated time until a slot is free for such a request.
  duration retry_after{ 0 };
};

/// Load of an instance, as reported to other nodes.
struct run_load
{
  /// Running requests.
  unsigned busy = 0;
  unsigned waiting = 0;
  unsigned slots = 1;
  /// Moving average of the time that a request takes; zero if unknown.
  duration average_duration{ 0 };
  /// Time until the host's link has sent the large answers that are waiting or
  /// expected.
  duration link_wait{ 0 };
  /// Time until the limit that the instance announced allows one more request.
  duration limit_wait{ 0 };
};

/// Queue of requests for the slots of one instance, which may also limit the
/// rate at which they start.
///
/// A request waits only if it is expected to finish by its soft deadline or, if
/// few requests are waiting, by its deadline: under overload, answers that just
/// miss their soft deadlines would take the slots of those that meet them.
///
/// Requests that can still meet their soft deadline go first, then those of
/// higher priority, then those that take much less time than others, then those
/// with the earlier soft deadline. A new request evicts waiting ones that
/// cannot finish in time behind it.
///
/// A request that takes much less time than others also keeps its place after
/// its soft deadline: it delays them little, and it is often a call on which a
/// request that holds a slot of another instance waits.
class run_queue
{
public:
  explicit run_queue(unsigned aSlots);

  void SetSlots(unsigned aSlots);

  /// Sets the limit that the instance announced, in requests per second;
  /// nothing if it announced none. Requests start no faster.
  void SetRequestLimit(std::optional<double> aLimit, time_point aNow);
  /// Time until the limit allows a request that waits behind all others.
  duration LimitWait(time_point aNow) const;

  /// Takes a free slot for a new request, queues it or refuses it.
  run_admission Admit(const run_entry& aEntry, time_point aNow);

  /// Frees the slot of a running request. `aDuration` updates the averages;
  /// pass zero if the request must not count, e.g. because it failed.
  void Finish(const std::string& aKey, duration aDuration);

  /// Removes a waiting request. Returns false if it was not waiting.
  bool Remove(run_id aId);

  struct next_run
  {
    /// The request to run now, if a slot is free.
    std::optional<run_id> run;
    /// Requests removed because they can no longer meet their deadline.
    std::vector<run_id> expired;
  };
  /// Removes waiting requests that can no longer meet their deadline, then
  /// moves the next one to a free slot.
  next_run StartNext(time_point aNow);

  /// Removes and returns all waiting requests.
  std::vector<run_id> RemoveAll();

  run_load Load() const;
  /// Average duration of the requests of a key; if none is known, that of all
  /// requests; if none is known either, a default.
  duration AverageDuration(const std::string& aKey) const;

private:
  /// Time within which most requests of a key finish.
  duration LikelyDuration(const std::string& aKey) const;
  /// Whether a request will miss its soft deadline.
  bool IsLate(const run_entry& aEntry, time_point aNow) const;
  /// Whether requests of a key take much less time than those of others.
  bool IsShort(const std::string& aKey) const;
  /// Whether `aLeft` runs before `aRight`.
  bool RunsBefore(const run_entry& aLeft,
                  const run_entry& aRight,
                  time_point aNow) const;
  /// Expected time until a request starts, in microseconds.
  double ExpectedWait(const run_entry& aEntry, time_point aNow) const;
  /// Expected time until a request starts behind `aCount` waiting requests that
  /// take `aMicroseconds` together, in microseconds.
  double ExpectedWaitBehind(std::size_t aCount,
                            double aMicroseconds,
                            time_point aNow) const;
  /// Whether a slot is free and the limit allows a request to start now.
  bool MayStart(time_point aNow) const;
  /// Whether a request that waits `aWait` microseconds is expected to finish by
  /// its soft deadline, or by its deadline with some time in reserve.
  bool FinishesInTime(const run_entry& aEntry,
                      double aWait,
                      time_point aNow) const;
  /// Whether a request that waits `aWait` microseconds is likely to miss its
  /// soft deadline while many others wait.
  bool IsTooLateToWait(const run_entry& aEntry,
                       double aWait,
                       time_point aNow) const;
  /// Removes and returns waiting requests that cannot finish in time.
  std::vector<run_id> EvictLate(time_point aNow);
  void Insert(const run_entry& aEntry, time_point aNow);

  unsigned mSlots;
  unsigned mBusy = 0;
  request_rate_limiter mLimiter;
  std::list<run_entry> mWaiting;
  /// Moving average of the duration by key, in microseconds.
  std::map<std::string, double> mAverages;
  /// Largest value of `mAverages`.
  double mLongestAverage = 0;
  /// Moving average over all keys, in microseconds; 0 if unknown.
  double mOverallAverage = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_RUN_QUEUE_H_
