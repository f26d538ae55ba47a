#include "proxy/retry-window.h"

namespace eelgrasstrack {

namespace {

/// Part of the budget that is used: calls of repeated requests count as
/// repeats elsewhere, and nodes come and go.
constexpr double kUsedPart = 0.4;

} // namespace

std::int64_t
retry_window::NumberOf(time_point aNow) const
{
  // Half of the buckets span one window, so that a sum over all of them never
  // covers less than the window.
  duration span = mOptions.window / (kBuckets / 2);
  return aNow.time_since_epoch() / span;
}

retry_window::bucket&
retry_window::Current(const std::string& aService, time_point aNow)
{
  buckets& all = mServices[aService];
  std::int64_t number = NumberOf(aNow);
  bucket& current = all[static_cast<std::size_t>(number) % kBuckets];
  if (current.number != number) {
    current = { number, 0, 0 };
  }
  return current;
}

void
retry_window::CountFirst(const std::string& aService, time_point aNow)
{
  ++Current(aService, aNow).firsts;
}

bool
retry_window::TakeRepeat(const std::string& aService, time_point aNow)
{
  bucket& current = Current(aService, aNow);
  std::int64_t number = current.number;
  double firsts = 0;
  double repeats = 0;
  for (const bucket& entry : mServices[aService]) {
    std::int64_t age = number - entry.number;
    if (entry.number < 0 || age < 0 || age > static_cast<int>(kBuckets) / 2) {
      continue;
    }
    firsts += entry.firsts;
    repeats += entry.repeats;
  }
  double allowed =
    kUsedPart * (mOptions.ratio * firsts +
                 mOptions.allowance / static_cast<double>(mNodes));
  if (repeats + 1 > allowed) {
    return false;
  }
  ++current.repeats;
  return true;
}

} // namespace eelgrasstrack
