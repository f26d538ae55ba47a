#ifndef EELGRASSTRACK_ROUTING_RETRY_POLICY_H_
#define EELGRASSTRACK_ROUTING_RETRY_POLICY_H_

#include <random>

#include "base/clock.h"
#include "base/error.h"

namespace eelgrasstrack {

struct retry_options
{
  /// Retries earned by each first try.
  double retries_per_call = 0.1;
  /// Retries that a quiet service may make at once.
  double burst = 5;
  unsigned max_attempts = 3;
};

/// A budget of retries for one service: each first try earns a part of
/// a retry, so retries stay a fixed share of calls when everything fails.
class retry_budget
{
public:
  explicit retry_budget(retry_options aOptions);

  void RecordFirstAttempt();
  bool TryAcquireRetry();

private:
  retry_options mOptions;
  double mTokens;
};

/// Facts about a failed try.
struct failed_attempt
{
  error_kind kind = error_kind::internal;
  execution ran = execution::unknown;
  bool repeatable = false;
  unsigned attempts = 1;
  /// Time left until the deadline.
  duration time_left{};
};

/// Whether the failure may be tried again at all, budget aside: the request
/// was proven not to have run, or may run more than once.
bool
MayRetry(const failed_attempt& aAttempt, const retry_options& aOptions);

/// Refuses calls here that the service would refuse anyway, in proportion to
/// how many it refused lately (adaptive throttling; Beyer et al., "Site
/// Reliability Engineering", 2016, chapter 21).
class adaptive_throttle
{
public:
  explicit adaptive_throttle(std::uint64_t aSeed);

  bool TryAdmit(time_point aNow);
  void RecordAccepted(time_point aNow);

private:
  void Decay(time_point aNow);

  std::mt19937_64 mRandom;
  double mRequests = 0;
  double mAccepts = 0;
  time_point mLastDecay{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_RETRY_POLICY_H_
