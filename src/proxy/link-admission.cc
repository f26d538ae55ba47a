#include "proxy/link-admission.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Longest backlog behind which an answer that will be late is accepted.
constexpr duration kMaxLateBacklog = std::chrono::milliseconds(100);

/// When the answer is expected to have been sent.
time_point
SentAt(const link_demand& aDemand, time_point aNow)
{
  // The instance works while the link sends what is ahead.
  return aNow + std::max(aDemand.run_time, aDemand.backlog) + aDemand.send_time;
}

} // namespace

bool
FitsLink(const link_demand& aDemand, time_point aNow)
{
  time_point sentAt = SentAt(aDemand, aNow);
  if (sentAt <= aDemand.soft_deadline) {
    return true;
  }
  return sentAt <= aDemand.deadline && aDemand.backlog <= kMaxLateBacklog;
}

duration
TimeUntilLinkFits(const link_demand& aDemand, time_point aNow)
{
  if (aDemand.soft_deadline <= aNow) {
    return std::max(aDemand.backlog - kMaxLateBacklog, duration(0));
  }
  return std::max(SentAt(aDemand, aNow) - aDemand.soft_deadline, duration(0));
}

} // namespace eelgrasstrack
