#ifndef EELGRASSTRACK_PROXY_SHARED_RETRY_BUDGET_H_
#define EELGRASSTRACK_PROXY_SHARED_RETRY_BUDGET_H_

#include <array>
#include <map>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// The budget of repeated sends that all nodes share, per service: in any
/// window, repeats stay below a part of the requests plus an allowance.
struct shared_retry_budget_options
{
  double ratio = 0.1;
  duration window = std::chrono::seconds(10);
  double allowance = 10;
};

/// This node's part of the budget: the part of its own requests, and an equal
/// part of the allowance. That keeps the sum of all nodes within the budget
/// without a message.
class shared_retry_budget
{
public:
  void SetOptions(const shared_retry_budget_options& aOptions)
  {
    mOptions = aOptions;
  }
  void SetNodeCount(std::size_t aNodeCount)
  {
    mNodeCount = aNodeCount == 0 ? 1 : aNodeCount;
  }

  /// Counts a request that goes to a service for the first time.
  void RecordFirstAttempt(const std::string& aService, time_point aNow);

  /// Takes one repeat out of the budget; false if there is none left.
  bool TryAcquireRetry(const std::string& aService, time_point aNow);

private:
  static constexpr std::size_t kBuckets = 20;

  struct bucket
  {
    std::int64_t number = -1;
    unsigned first_attempts = 0;
    unsigned retries = 0;
  };
  using buckets = std::array<bucket, kBuckets>;

  bucket& CurrentBucket(const std::string& aService, time_point aNow);
  std::int64_t BucketNumber(time_point aNow) const;

  shared_retry_budget_options mOptions;
  std::size_t mNodeCount = 1;
  std::map<std::string, buckets> mServices;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_SHARED_RETRY_BUDGET_H_
