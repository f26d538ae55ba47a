#ifndef EELGRASSTRACK_PROXY_CALLER_WAIT_ESTIMATOR_H_
#define EELGRASSTRACK_PROXY_CALLER_WAIT_ESTIMATOR_H_

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace eelgrasstrack {

/// Estimates how long a caller had already been waiting when its request
/// arrived.
///
/// A caller that was refused retries under a new request id and announces its
/// remaining timeout. The timeouts of first requests on a route are similar, so
/// a timeout much shorter than the longest one seen on the route indicates a
/// retry.
class caller_wait_estimator
{
public:
  /// Records the timeout that a caller announced and returns how long the
  /// caller has been waiting; 0 for a first request.
  duration EstimateTimeWaited(const std::string& aRoute,
                              duration aAnnounced,
                              time_point aNow);

private:
  /// The longest timeouts announced on one route.
  struct route_waits
  {
    duration longest_in_window{ 0 };
    duration longest_in_previous_window{ 0 };
    time_point window_start{};
  };

  /// Keyed by route name.
  std::unordered_map<std::string, route_waits> mRouteWaits;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_CALLER_WAIT_ESTIMATOR_H_
