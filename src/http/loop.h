#ifndef EELGRASSTRACK_HTTP_LOOP_H_
#define EELGRASSTRACK_HTTP_LOOP_H_

#include <functional>
#include <map>
#include <memory>

#include "base/clock.h"

struct lws_context;

namespace eelgrasstrack {

using timer_id = std::uint64_t;

/// The event loop of a process: runs sockets, timers and signals on one thread.
class loop final : public clock_source
{
public:
  /// `aMaxConnections` limits the number of file descriptors and of parsed
  /// headers that the loop holds at a time; for headers, the limit is at most
  /// 2048.
  explicit loop(unsigned aMaxConnections);
  ~loop() override;
  loop(const loop&) = delete;
  loop& operator=(const loop&) = delete;

  time_point Now() const override;
  std::int64_t UnixMilliseconds() const override;

  /// Runs `aTask` once after `aDelay`.
  timer_id RunAfter(duration aDelay, std::function<void()> aTask);

  /// Runs `aTask` every `aPeriod` while the loop runs.
  void RunEvery(duration aPeriod, std::function<void()> aTask);

  /// Cancels a timer of `RunAfter`. Does nothing if the task has already run.
  void Cancel(timer_id aTimer);

  /// How late the last timer ran, which shows how far the loop is behind.
  duration Lag() const { return mLag; }

  /// Runs until `Stop`.
  void Run();

  /// Makes `Run` return after the current iteration.
  void Stop();

  /// Sets the task that runs on the loop after SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> aTask);

  lws_context* Context() const { return mContext; }

private:
  struct timer_slot;

  void RunDueTimers();
  void ArmTimer();

  lws_context* mContext = nullptr;
  std::unique_ptr<timer_slot> mTimerSlot;
  std::map<std::pair<time_point, timer_id>, std::function<void()>> mTimers;
  std::map<timer_id, time_point> mDueTimes;
  std::function<void()> mOnTerminate;
  timer_id mNextTimer = 1;
  duration mLag{ 0 };
  bool mStopped = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_LOOP_H_
