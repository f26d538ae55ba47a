#include "proxy/shared-retry-budget.h"

namespace eelgrasstrack {

namespace {

/// Share of the budget that is used. The rest is a reserve: calls that a
/// retried request causes count as retries on other nodes, and the number of
/// nodes changes.
constexpr double kUsedBudgetShare = 0.4;

} // namespace

std::int64_t
shared_retry_budget::BucketNumber(time_point aNow) const
{
  // Half of the buckets span one window. `TryAcquireRetry` sums that half and
  // the current bucket, so the sum never covers less than one window.
  duration span = mOptions.window / (kBuckets / 2);
  return aNow.time_since_epoch() / span;
}

shared_retry_budget::bucket&
shared_retry_budget::CurrentBucket(const std::string& aService, time_point aNow)
{
  buckets& ring = mServices[aService];
  std::int64_t number = BucketNumber(aNow);
  bucket& current = ring[static_cast<std::size_t>(number) % kBuckets];
  if (current.number != number) {
    current = { number, 0, 0 };
  }
  return current;
}

void
shared_retry_budget::RecordFirstAttempt(const std::string& aService,
                                        time_point aNow)
{
  ++CurrentBucket(aService, aNow).first_attempts;
}

bool
shared_retry_budget::TryAcquireRetry(const std::string& aService,
                                     time_point aNow)
{
  bucket& current = CurrentBucket(aService, aNow);
  std::int64_t number = current.number;
  double firstAttempts = 0;
  double retries = 0;
  for (const bucket& entry : mServices[aService]) {
    std::int64_t age = number - entry.number;
    if (entry.number < 0 || age < 0 || age > static_cast<int>(kBuckets) / 2) {
      continue;
    }
    firstAttempts += entry.first_attempts;
    retries += entry.retries;
  }
  double allowed =
    kUsedBudgetShare * (mOptions.ratio * firstAttempts +
                        mOptions.allowance / static_cast<double>(mNodeCount));
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

} // namespace eelgrasstrack
