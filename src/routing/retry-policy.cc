#include "routing/retry-policy.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

/// Requests up to this multiple of the accepted ones are let through.
constexpr double kThrottleMultiple = 2.0;
/// Requests that never count against a quiet service.
constexpr double kThrottlePadding = 10.0;
/// Memory of the throttle.
constexpr double kThrottleDecaySeconds = 5.0;
/// Less time than this is not worth another try.
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
  bool safe = aAttempt.ran == execution::not_run || aAttempt.repeatable;
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
