#ifndef EELGRASSTRACK_PROXY_RETRY_WINDOW_H_
#define EELGRASSTRACK_PROXY_RETRY_WINDOW_H_

#include <array>
#include <map>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// The budget of repeated sends that all nodes share, per service: in any
/// window, repeats stay below a part of the requests plus an allowance.
struct retry_window_options
{
  double ratio = 0.1;
  duration window = std::chrono::seconds(10);
  double allowance = 10;
};

/// This node's part of the budget: the part of its own requests, and an equal
/// part of the allowance. That keeps the sum of all nodes within the budget
/// without a message.
class retry_window
{
public:
  void SetOptions(const retry_window_options& aOptions) { mOptions = aOptions; }
  void SetNodes(std::size_t aNodes) { mNodes = aNodes == 0 ? 1 : aNodes; }

  /// Counts a request that goes to a service for the first time.
  void CountFirst(const std::string& aService, time_point aNow);

  /// Takes one repeat out of the budget; false if there is none left.
  bool TakeRepeat(const std::string& aService, time_point aNow);

private:
  static constexpr std::size_t kBuckets = 20;

  struct bucket
  {
    std::int64_t number = -1;
    unsigned firsts = 0;
    unsigned repeats = 0;
  };
  using buckets = std::array<bucket, kBuckets>;

  bucket& Current(const std::string& aService, time_point aNow);
  std::int64_t NumberOf(time_point aNow) const;

  retry_window_options mOptions;
  std::size_t mNodes = 1;
  std::map<std::string, buckets> mServices;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_RETRY_WINDOW_H_
