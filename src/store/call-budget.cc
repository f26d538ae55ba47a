#include "store/call-budget.h"

#include <algorithm>

namespace eelgrasstrack {

call_budget::call_budget(double aCallsPerSecond, double aBurst)
  : mCallsPerSecond(aCallsPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
{
}

bool
call_budget::TryAcquire(time_point aNow)
{
  double seconds = std::chrono::duration<double>(aNow - mLastRefill).count();
  mTokens =
    std::min(mBurst, mTokens + std::max(0.0, seconds) * mCallsPerSecond);
  mLastRefill = aNow;
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

jittered_backoff::jittered_backoff(duration aFirst,
                                   duration aLimit,
                                   std::uint64_t aSeed)
  : mFirst(aFirst)
  , mLimit(aLimit)
  , mMaxDelay(aFirst)
  , mRandom(aSeed)
{
}

duration
jittered_backoff::NextDelay()
{
  std::uniform_int_distribution<duration::rep> draw(mMaxDelay.count() / 8,
                                                    mMaxDelay.count());
  mMaxDelay = std::min(mMaxDelay * 2, mLimit);
  return duration(draw(mRandom));
}

void
jittered_backoff::Reset()
{
  mMaxDelay = mFirst;
}

} // namespace eelgrasstrack
