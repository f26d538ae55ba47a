#ifndef EELGRASSTRACK_ROUTING_RETRY_POLICY_H_
#define EELGRASSTRACK_ROUTING_RETRY_POLICY_H_

#include <random>

#include "base/clock.h"
#include "base/error.h"

namespace eelgrasstrack {

/// Limits on the retries of one service.
struct retry_options
{
  /// Retries that each first attempt adds to the budget.
  double retries_per_call = 0.1;
  /// Retries that may be made in a burst after a time without retries: the
  /// capacity of the budget and its initial value.
  double burst = 5;
  /// Attempts per call, including the first.
  unsigned max_attempts = 3;
};

/// Retry budget of one service, a token bucket. Each first attempt adds a
/// fraction of a retry, so that retries stay a fixed share of the calls even if
/// all calls fail.
class retry_budget
{
public:
  explicit retry_budget(retry_options aOptions);

  /// Adds `retries_per_call` to the budget, up to `burst`.
  void RecordFirstAttempt();
  /// Removes one retry from the budget. Returns false if less than one is left.
  bool TryAcquireRetry();

private:
  retry_options mOptions;
  double mTokens;
};

/// Describes a failed attempt for `MayRetry`.
struct failed_attempt
{
  error_kind kind = error_kind::internal;
  execution execution_status = execution::unknown;
  /// The request may run more than once.
  bool repeatable = false;
  /// Attempts made so far, including this one.
  unsigned attempts = 1;
  /// Time left until the deadline.
  duration time_left{};
};

/// Returns whether a failed attempt may be retried, apart from the retry
/// budget: the error is transient, the request is known not to have run or may
/// run more than once, and attempts and time are left.
bool
MayRetry(const failed_attempt& aAttempt, const retry_options& aOptions);

/// Client-side adaptive throttling: rejects calls locally with a probability
/// that grows with the share of recent calls that the service rejected (Beyer
/// et al., "Site Reliability Engineering", 2016, chapter 21).
class adaptive_throttle
{
public:
  explicit adaptive_throttle(std::uint64_t aSeed);

  /// Counts a request and decides at random whether to send it.
  bool TryAdmit(time_point aNow);
  /// Counts a request that the service did not reject as overloaded.
  void RecordAccepted(time_point aNow);

private:
  /// Reduces both counts exponentially by the time since the last call.
  void Decay(time_point aNow);

  std::mt19937_64 mRandom;
  double mRequests = 0;
  double mAccepts = 0;
  time_point mLastDecay{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_RETRY_POLICY_H_
