#ifndef EELGRASSTRACK_PROXY_SHARED_RETRY_BUDGET_H_
#define EELGRASSTRACK_PROXY_SHARED_RETRY_BUDGET_H_

#include <array>
#include <map>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// Options of the retry budget per service that all nodes share: in any window,
/// the retries of all nodes stay below `ratio` times the first attempts plus
/// `allowance`.
struct shared_retry_budget_options
{
  double ratio = 0.1;
  duration window = std::chrono::seconds(10);
  double allowance = 10;
};

/// This node's share of the budget: the ratio applied to its own first
/// attempts, plus an equal share of the allowance. This keeps the retries of
/// all nodes within the budget without any communication.
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

  /// Counts the first attempt of a request to a service.
  void RecordFirstAttempt(const std::string& aService, time_point aNow);

  /// Takes one retry from the budget. Returns false if none is left.
  bool TryAcquireRetry(const std::string& aService, time_point aNow);

private:
  static constexpr std::size_t kBuckets = 20;

  /// Counts of one time interval.
  struct bucket
  {
    /// Index of the interval since the epoch of the clock; -1 if unused.
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
