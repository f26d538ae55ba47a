#ifndef EELGRASSTRACK_HARNESS_VIRTUAL_TIME_H_
#define EELGRASSTRACK_HARNESS_VIRTUAL_TIME_H_

#include <functional>
#include <map>

#include "base/clock.h"
#include "distribution/config-writer.h"

namespace eelgrasstrack::harness {

/// A virtual clock and its event queue. Time advances only between events.
class virtual_time final
  : public clock_source
  , public task_scheduler
{
public:
  time_point Now() const override { return mNow; }
  std::int64_t UnixMilliseconds() const override
  {
    return kUnixStartMs + Milliseconds(mNow.time_since_epoch());
  }
  void RunAfter(duration aDelay, std::function<void()> aTask) override
  {
    mEvents.emplace(mNow + aDelay, std::move(aTask));
  }

  /// Runs all events due within `aTime` and advances the clock by `aTime`.
  void Advance(duration aTime)
  {
    time_point end = mNow + aTime;
    while (!mEvents.empty() && mEvents.begin()->first <= end) {
      auto first = mEvents.begin();
      mNow = std::max(mNow, first->first);
      std::function<void()> task = std::move(first->second);
      mEvents.erase(first);
      task();
    }
    mNow = end;
  }

private:
  static constexpr std::int64_t kUnixStartMs = 1800000000000;

  time_point mNow = time_point(std::chrono::hours(1));
  std::multimap<time_point, std::function<void()>> mEvents;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_VIRTUAL_TIME_H_
