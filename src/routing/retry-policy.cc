#include "routing/retry-policy.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

/// No request is rejected while requests stay below this multiple of the
/// accepted ones.
constexpr double kThrottleMultiple = 2.0;
/// Additional requests that are always admitted, so that a few failures of a
/// service with little traffic do not throttle it.
constexpr double kThrottlePadding = 10.0;
/// Time constant of the exponential decay of the counts, in seconds.
constexpr double kThrottleDecaySeconds = 5.0;
/// No retry is made with this much time or less left before the deadline.
constexpr duration kMinTimeLeft = std::chrono::milliseconds(2);

} // namespace

retry_budget::retry_budget(retry_options aOptions)
  : mOptions(aOptions)
  , mTokens(aOptions.burst)
{
}

void
retry_budget::RecordFirstAttempt()
{
  mTokens = std::min(mOptions.burst, mTokens + mOptions.retries_per_call);
}

bool
retry_budget::TryAcquireRetry()
{
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

bool
MayRetry(const failed_attempt& aAttempt, const retry_options& aOptions)
{
  switch (aAttempt.kind) {
    case error_kind::overloaded:
    case error_kind::not_ready:
    case error_kind::upstream_unreachable:
    case error_kind::upstream_broken:
    case error_kind::peer_lost:
    case error_kind::no_upstream:
      break;
    default:
      return false;
  }
  bool safe =
    aAttempt.execution_status == execution::not_run || aAttempt.repeatable;
  return safe && aAttempt.attempts < aOptions.max_attempts &&
         aAttempt.time_left > kMinTimeLeft;
}

adaptive_throttle::adaptive_throttle(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

void
adaptive_throttle::Decay(time_point aNow)
{
  double seconds = std::chrono::duration<double>(aNow - mLastDecay).count();
  mLastDecay = aNow;
  double factor = std::exp(-std::max(0.0, seconds) / kThrottleDecaySeconds);
  mRequests *= factor;
  mAccepts *= factor;
}

bool
adaptive_throttle::TryAdmit(time_point aNow)
{
  Decay(aNow);
  double excess = mRequests - kThrottleMultiple * mAccepts - kThrottlePadding;
  double refusalProbability = std::max(0.0, excess / (mRequests + 1));
  mRequests += 1;
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(mRandom) >= refusalProbability;
}

void
adaptive_throttle::RecordAccepted(time_point aNow)
{
  Decay(aNow);
  mAccepts += 1;
}

} // namespace eelgrasstrack
