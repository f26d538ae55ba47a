#ifndef EELGRASSTRACK_HTTP_LOOP_H_
#define EELGRASSTRACK_HTTP_LOOP_H_

#include <functional>
#include <map>
#include <memory>

#include "base/clock.h"

struct lws_context;

namespace eelgrasstrack {

using timer_id = std::uint64_t;

/// The one loop of a process: sockets, timers and signals on one thread.
class loop final : public clock_source
{
public:
  /// `aMaxConnections` bounds the file descriptors and parsed headers that
  /// the loop holds at one time.
  explicit loop(unsigned aMaxConnections);
  ~loop() override;
  loop(const loop&) = delete;
  loop& operator=(const loop&) = delete;

  time_point Now() const override;
  std::int64_t UnixMilliseconds() const override;

  /// Runs `aTask` once after `aDelay`.
  timer_id RunAfter(duration aDelay, std::function<void()> aTask);

  /// Runs `aTask` every `aPeriod` for as long as the loop runs.
  void RunEvery(duration aPeriod, std::function<void()> aTask);

  void Cancel(timer_id aTimer);

  /// How late the last timer ran: how far the process is behind its work.
  duration Lag() const { return mLag; }

  /// Runs until `Stop`.
  void Run();

  /// Ends `Run` after the current turn.
  void Stop();

  /// Calls `aTask` on the loop after SIGTERM or SIGINT.
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
