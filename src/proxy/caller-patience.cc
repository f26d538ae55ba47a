#include "proxy/caller-patience.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// The longest waiting time is taken over one to two of these.
constexpr duration kWindow = std::chrono::seconds(10);
/// Share of the longest waiting time above which a request is a first one.
constexpr double kFirstRequestShare = 0.8;
/// Share of the longest waiting time that an average caller announces.
constexpr double kAverageShare = 0.9;

duration
Scaled(duration aTime, double aShare)
{
  return duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aShare));
}

} // namespace

duration
caller_patience::WaitedBefore(const std::string& aRoute,
                              duration aAnnounced,
                              time_point aNow)
{
  longest_wait& known = mRoutes[aRoute];
  if (aNow - known.window_began > kWindow) {
    known.longest_before = known.longest;
    known.longest = duration(0);
    known.window_began = aNow;
  }
  known.longest = std::max(known.longest, aAnnounced);
  duration longest = std::max(known.longest, known.longest_before);
  if (aAnnounced >= Scaled(longest, kFirstRequestShare)) {
    return duration(0);
  }
  return Scaled(longest, kAverageShare) - aAnnounced;
}

} // namespace eelgrasstrack
