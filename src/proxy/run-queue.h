#ifndef EELGRASSTRACK_PROXY_RUN_QUEUE_H_
#define EELGRASSTRACK_PROXY_RUN_QUEUE_H_

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace eelgrasstrack {

using run_id = std::uint64_t;

/// A request that asks for a slot of an instance.
struct run_entry
{
  run_id id = 0;
  /// Requests of one key take similar time.
  std::string key;
  /// 0 is the most urgent.
  unsigned priority = 0;
  /// An answer after this is worth less.
  time_point soft_deadline{};
  /// An answer after this is worth nothing.
  time_point deadline{};
};

enum class run_decision
{
  run,
  wait,
  refuse,
};

struct run_admission
{
  run_decision decision = run_decision::refuse;
  /// Waiting requests that lost their place to this one.
  std::vector<run_id> evicted;
  /// When refused: about how long until there is room.
  duration retry_after{ 0 };
};

/// Load as other nodes learn it.
struct run_load
{
  unsigned busy = 0;
  unsigned waiting = 0;
  unsigned slots = 1;
  /// Moving average of the time a request takes.
  duration average_duration{ 0 };
};

/// Who runs next at one instance, and who is refused.
///
/// A request waits only while it is expected to be answered by its goal, or,
/// while nobody waits who can reach the goal, by its deadline. The more urgent
/// rank goes first, then the earlier goal. A more urgent request takes the
/// place of less urgent ones that can't be served in time any more.
class run_queue
{
public:
  explicit run_queue(unsigned aSlots);

  void SetSlots(unsigned aSlots);

  run_admission Admit(const run_entry& aEntry, time_point aNow);

  /// A running request ended after `aTook`; zero says nothing about the time.
  void Finish(const std::string& aKey, duration aDuration);

  /// Removes a waiting request; returns whether it was waiting.
  bool Remove(run_id aId);

  struct next_run
  {
    std::optional<run_id> run;
    std::vector<run_id> expired;
  };
  /// Takes the next request, if a slot is free, and those that are too late.
  next_run StartNext(time_point aNow);

  /// Refuses all that wait.
  std::vector<run_id> RemoveAll();

  run_load Load() const;
  duration AverageDuration(const std::string& aKey) const;

private:
  /// Time within which most requests of a key end.
  duration LikelyDuration(const std::string& aKey) const;
  bool RunsBefore(const run_entry& aLeft,
                  const run_entry& aRight,
                  time_point aNow) const;
  double ExpectedWait(const run_entry& aEntry, time_point aNow) const;
  bool FinishesInTime(const run_entry& aEntry,
                      double aWait,
                      time_point aNow) const;
  bool IsTooLateToWait(const run_entry& aEntry, time_point aNow) const;
  std::vector<run_id> EvictLate(time_point aNow);
  void Insert(const run_entry& aEntry, time_point aNow);

  unsigned mSlots;
  unsigned mBusy = 0;
  std::list<run_entry> mWaiting;
  /// Moving average of the time a request takes, in microseconds.
  std::map<std::string, double> mAverages;
  double mOverallAverage = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_RUN_QUEUE_H_
