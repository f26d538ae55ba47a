#ifndef EELGRASSTRACK_PROXY_CALLER_WAIT_ESTIMATOR_H_
#define EELGRASSTRACK_PROXY_CALLER_WAIT_ESTIMATOR_H_

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace eelgrasstrack {

/// Tells how long a caller has waited already when its request comes in.
///
/// A caller that was refused comes back under a new id and announces the rest
/// of its waiting time. Waiting times of first requests lie close together, so
/// one that is much shorter than the longest seen on its route began earlier.
class caller_wait_estimator
{
public:
  /// Notes an announced waiting time; returns how long the caller has waited.
  duration EstimateTimeWaited(const std::string& aRoute,
                              duration aAnnounced,
                              time_point aNow);

private:
  struct route_waits
  {
    duration longest_in_window{ 0 };
    duration longest_in_previous_window{ 0 };
    time_point window_start{};
  };

  std::unordered_map<std::string, route_waits> mRouteWaits;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_CALLER_WAIT_ESTIMATOR_H_
