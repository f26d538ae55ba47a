#include "rollout/sequential-test.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

/// Weight of faults that exist from the start of the test.
constexpr double kInitialWeight = 0.5;
/// Upper limit of the components of the statistic, which keeps it finite.
constexpr double kMaxValue = 1e30;

} // namespace

sequential_test::sequential_test()
  : mRemainingWeight(1 - kInitialWeight)
{
  mValues.fill(kInitialWeight);
}

void
sequential_test::AddEvents(double aShare,
                           std::uint32_t aOldEvents,
                           std::uint32_t aNewEvents)
{
  bool uninformative = aShare <= 0 || aShare >= 1;
  if (uninformative || (aOldEvents == 0 && aNewEvents == 0)) {
    return;
  }
  for (std::size_t i = 0; i < kRatioCount; ++i) {
    double q = kRatios[i];
    double norm = std::log(q * aShare + 1 - aShare);
    double logFactor = aNewEvents * (std::log(q) - norm) - aOldEvents * norm;
    mValues[i] = std::min(mValues[i] * std::exp(logFactor), kMaxValue);
  }
}

void
sequential_test::AddChangePointWeight(double aWeight)
{
  double weight = std::clamp(aWeight, 0.0, mRemainingWeight);
  mRemainingWeight -= weight;
  for (double& value : mValues) {
    value += weight;
  }
}

double
sequential_test::Value() const
{
  double sum = 0;
  for (double value : mValues) {
    sum += value;
  }
  return sum / kRatioCount;
}

} // namespace eelgrasstrack
