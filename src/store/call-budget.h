#ifndef EELGRASSTRACK_STORE_CALL_BUDGET_H_
#define EELGRASSTRACK_STORE_CALL_BUDGET_H_

#include <random>

#include "base/clock.h"

namespace eelgrasstrack {

/// Token bucket that limits the rate of a node's calls to the store.
class call_budget
{
public:
  call_budget(double aCallsPerSecond, double aBurst);

  /// Takes a token for one call. Returns false if none is left.
  bool TryAcquire(time_point aNow);

private:
  double mCallsPerSecond;
  double mBurst;
  double mTokens;
  time_point mLastRefill{};
};

/// Exponential backoff with jitter. Each delay is drawn uniformly between an
/// eighth of the current maximum and the maximum, so that nodes that fail at
/// the same time do not retry at the same time. The maximum doubles with each
/// delay.
class jittered_backoff
{
public:
  /// The maximum starts at `aFirst` and doubles up to `aLimit`.
  jittered_backoff(duration aFirst, duration aLimit, std::uint64_t aSeed);

  duration NextDelay();
  /// Sets the maximum back to `aFirst`. Call it after a success.
  void Reset();

private:
  duration mFirst;
  duration mLimit;
  duration mMaxDelay;
  std::mt19937_64 mRandom;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_STORE_CALL_BUDGET_H_
