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
constexpr double kThrottleSeconds = 5.0;
/// Less time than this is not worth another try.
constexpr duration kLeastTimeLeft = std::chrono::milliseconds(2);

} // namespace

retry_budget::retry_budget(retry_options aOptions)
  : mOptions(aOptions)
  , mTokens(aOptions.burst)
{
}

void
retry_budget::FirstTry()
{
  mTokens = std::min(mOptions.burst, mTokens + mOptions.ratio);
}

bool
retry_budget::TakeRetry()
{
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

bool
MayRetry(const failed_try& aTry, const retry_options& aOptions)
{
  switch (aTry.kind) {
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
  bool safe = aTry.ran == execution::not_run || aTry.repeatable;
  return safe && aTry.tries < aOptions.max_tries && aTry.left > kLeastTimeLeft;
}

adaptive_throttle::adaptive_throttle(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

void
adaptive_throttle::Decay(time_point aNow)
{
  double seconds = std::chrono::duration<double>(aNow - mLast).count();
  mLast = aNow;
  double factor = std::exp(-std::max(0.0, seconds) / kThrottleSeconds);
  mRequests *= factor;
  mAccepts *= factor;
}

bool
adaptive_throttle::Admits(time_point aNow)
{
  Decay(aNow);
  double excess = mRequests - kThrottleMultiple * mAccepts - kThrottlePadding;
  double refusal = std::max(0.0, excess / (mRequests + 1));
  mRequests += 1;
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(mRandom) >= refusal;
}

void
adaptive_throttle::Accepted(time_point aNow)
{
  Decay(aNow);
  mAccepts += 1;
}

} // namespace eelgrasstrack
