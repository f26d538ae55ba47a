#ifndef EELGRASSTRACK_PROXY_REQUEST_RATE_LIMITER_H_
#define EELGRASSTRACK_PROXY_REQUEST_RATE_LIMITER_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"

namespace eelgrasstrack {

/// Spaces the requests to one instance so that they do not exceed a rate. At
/// most 50 ms of unused time are saved up, so any span of `t` seconds has at
/// most `limit * (t + 0.05) + 1` requests.
///
/// This is the generic cell rate algorithm (ITU-T I.371).
class request_rate_limiter
{
public:
  /// Sets the limit in requests per second; without one nothing is delayed.
  /// A limit of less than one request in 2 s counts as that rate, since only an
  /// answer shows that the instance has lifted its limit.
  void SetLimit(std::optional<double> aLimit, time_point aNow);

  /// Time until the request behind `aAhead` others may be sent; 0 if it may be
  /// sent now.
  duration TimeUntilAllowed(std::size_t aAhead, time_point aNow) const;

  /// Counts a request that is sent now.
  void RecordSent(time_point aNow);

private:
  /// When the next request is due; in the past by the unused time that is saved
  /// up.
  time_point DueAt(time_point aNow) const;

  /// Time between two requests; 0 without a limit.
  duration mInterval{ 0 };
  /// When the next request would be due if all unused time were saved up.
  time_point mNextAt{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_REQUEST_RATE_LIMITER_H_
