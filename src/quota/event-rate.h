#ifndef EELGRASSTRACK_QUOTA_EVENT_RATE_H_
#define EELGRASSTRACK_QUOTA_EVENT_RATE_H_

#include <cmath>

#include "base/clock.h"

namespace eelgrasstrack {

/// Exponentially weighted moving rate of events.
class event_rate
{
public:
  explicit event_rate(duration aTimeConstant)
    : mTimeConstant(aTimeConstant)
  {
  }

  void Record(double aEvents, time_point aNow)
  {
    mPerSecond = PerSecond(aNow) + aEvents / Seconds(mTimeConstant);
    mUpdatedAt = aNow;
  }

  double PerSecond(time_point aNow) const
  {
    return mPerSecond *
           std::exp(-Seconds(aNow - mUpdatedAt) / Seconds(mTimeConstant));
  }

private:
  static double Seconds(duration aTime)
  {
    constexpr double kMicrosecondsPerSecond = 1e6;
    return static_cast<double>(aTime.count()) / kMicrosecondsPerSecond;
  }

  duration mTimeConstant;
  double mPerSecond = 0;
  time_point mUpdatedAt{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_EVENT_RATE_H_
