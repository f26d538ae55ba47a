#include "store/call-budget.h"

#include <algorithm>

namespace eelgrasstrack {

call_budget::call_budget(double aCallsPerSecond, double aBurst)
  : mRate(aCallsPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
{
}

bool
call_budget::Take(time_point aNow)
{
  double seconds = std::chrono::duration<double>(aNow - mLast).count();
  mTokens = std::min(mBurst, mTokens + std::max(0.0, seconds) * mRate);
  mLast = aNow;
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

jittered_backoff::jittered_backoff(duration aFirst,
                                   duration aLongest,
                                   std::uint64_t aSeed)
  : mFirst(aFirst)
  , mLongest(aLongest)
  , mBound(aFirst)
  , mRandom(aSeed)
{
}

duration
jittered_backoff::NextDelay()
{
  std::uniform_int_distribution<duration::rep> draw(mBound.count() / 8,
                                                    mBound.count());
  mBound = std::min(mBound * 2, mLongest);
  return duration(draw(mRandom));
}

void
jittered_backoff::Reset()
{
  mBound = mFirst;
}

} // namespace eelgrasstrack
