#include "proxy/request-rate-limiter.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Time without requests that is saved up for later ones. It covers the period
/// at which waiting requests are checked.
constexpr duration kMaxSavedTime = std::chrono::milliseconds(50);
constexpr duration kMaxInterval = std::chrono::seconds(2);
constexpr double kMicrosecondsPerSecond = 1e6;

duration
IntervalOf(std::optional<double> aLimit)
{
  if (!aLimit) {
    return duration(0);
  }
  double longest = static_cast<double>(kMaxInterval.count());
  double interval = *aLimit > 0 ? kMicrosecondsPerSecond / *aLimit : longest;
  return duration(static_cast<std::int64_t>(std::min(interval, longest)));
}

} // namespace

void
request_rate_limiter::SetLimit(std::optional<double> aLimit, time_point aNow)
{
  duration interval = IntervalOf(aLimit);
  if (interval == mInterval) {
    return;
  }
  // The wait that is left is the same number of intervals as before.
  double intervalsLeft = 0;
  if (mInterval > duration(0) && mNextAt > aNow) {
    intervalsLeft = static_cast<double>((mNextAt - aNow).count()) /
                    static_cast<double>(mInterval.count());
  }
  mInterval = interval;
  mNextAt = aNow + duration(static_cast<std::int64_t>(
                     intervalsLeft * static_cast<double>(interval.count())));
}

time_point
request_rate_limiter::DueAt(time_point aNow) const
{
  return std::max(mNextAt, aNow - kMaxSavedTime);
}

duration
request_rate_limiter::TimeUntilAllowed(std::size_t aAhead,
                                       time_point aNow) const
{
  time_point due = DueAt(aNow) + mInterval * static_cast<std::int64_t>(aAhead);
  return mInterval > duration(0) ? std::max(due - aNow, duration(0))
                                 : duration(0);
}

void
request_rate_limiter::RecordSent(time_point aNow)
{
  mNextAt = DueAt(aNow) + mInterval;
}

} // namespace eelgrasstrack
