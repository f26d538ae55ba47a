#ifndef EELGRASSTRACK_PROXY_REQUEST_RATE_LIMITER_H_
#define EELGRASSTRACK_PROXY_REQUEST_RATE_LIMITER_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"

namespace eelgrasstrack {

/// Spaces the requests to one instance so that they keep to a rate. Unused time
/// is saved up for 50 ms only, so that any span of `t` seconds sees at most
/// `limit * (t + 0.05) + 1` requests.
///
/// This is the generic cell rate algorithm (ITU-T I.371).
class request_rate_limiter
{
public:
  /// Sets the limit in requests per second; without one nothing is held back.
  /// A limit of less than one request in 2 s counts as that rate: only an
  /// answer tells that the instance has lifted its limit.
  void SetLimit(std::optional<double> aLimit, time_point aNow);

  /// Time until the request behind `aAhead` others may be sent; 0 if it may be
  /// sent now.
  duration TimeUntilAllowed(std::size_t aAhead, time_point aNow) const;

  /// Counts a request that is sent now.
  void RecordSent(time_point aNow);

private:
  /// When the next request is due, if unused time were saved up for ever.
  time_point DueAt(time_point aNow) const;

  /// Time between two requests; 0 without a limit.
  duration mInterval{ 0 };
  time_point mNextAt{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_REQUEST_RATE_LIMITER_H_
