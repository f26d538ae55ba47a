#include "proxy/caller-wait-estimator.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// The longest timeout is the maximum over the current and the previous window,
/// that is, over one to two windows.
constexpr duration kWindow = std::chrono::seconds(10);
/// A request whose timeout is at least this share of the longest timeout counts
/// as a first request.
constexpr double kFirstRequestShare = 0.8;
/// Share of the longest timeout that an average caller announces in its first
/// request.
constexpr double kAverageShare = 0.9;

duration
Scaled(duration aTime, double aShare)
{
  return duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aShare));
}

} // namespace

duration
caller_wait_estimator::EstimateTimeWaited(const std::string& aRoute,
                                          duration aAnnounced,
                                          time_point aNow)
{
  route_waits& waits = mRouteWaits[aRoute];
  if (aNow - waits.window_start > kWindow) {
    waits.longest_in_previous_window = waits.longest_in_window;
    waits.longest_in_window = duration(0);
    waits.window_start = aNow;
  }
  waits.longest_in_window = std::max(waits.longest_in_window, aAnnounced);
  duration longest =
    std::max(waits.longest_in_window, waits.longest_in_previous_window);
  if (aAnnounced >= Scaled(longest, kFirstRequestShare)) {
    return duration(0);
  }
  return Scaled(longest, kAverageShare) - aAnnounced;
}

} // namespace eelgrasstrack
