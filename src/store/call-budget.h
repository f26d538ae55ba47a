#ifndef EELGRASSTRACK_STORE_CALL_BUDGET_H_
#define EELGRASSTRACK_STORE_CALL_BUDGET_H_

#include <random>

#include "base/clock.h"

namespace eelgrasstrack {

/// A token bucket: how many calls a node may make.
class call_budget
{
public:
  call_budget(double aCallsPerSecond, double aBurst);

  /// Takes one call if there is one.
  bool TryAcquire(time_point aNow);

private:
  double mCallsPerSecond;
  double mBurst;
  double mTokens;
  time_point mLastRefill{};
};

/// Waiting times that grow after each failure, each drawn evenly from an eighth
/// of the current bound to the whole of it, so that a herd spreads out.
class jittered_backoff
{
public:
  jittered_backoff(duration aFirst, duration aLimit, std::uint64_t aSeed);

  duration NextDelay();
  void Reset();

private:
  duration mFirst;
  duration mLimit;
  duration mMaxDelay;
  std::mt19937_64 mRandom;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_STORE_CALL_BUDGET_H_
