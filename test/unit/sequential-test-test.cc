#include <catch2/catch.hpp>
#include <random>

#include "rollout/sequential-test.h"

using namespace eelgrasstrack;

namespace {

/// Simulates calls with the given failure rates until the statistic reaches the
/// threshold. Returns the number of failures of the new version up to that
/// point, or -1 if the threshold is not reached.
int
NewFailuresUntilAlarm(double aThreshold,
                      double aOldRate,
                      double aNewRate,
                      double aShare,
                      int aCalls,
                      std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> draw(0, 1);
  sequential_test test;
  int newFailures = 0;
  for (int i = 0; i < aCalls; ++i) {
    bool isNew = draw(random) < aShare;
    bool failed = draw(random) < (isNew ? aNewRate : aOldRate);
    newFailures += failed && isNew ? 1 : 0;
    test.AddEvents(aShare, failed && !isNew ? 1 : 0, failed && isNew ? 1 : 0);
    test.AddChangePointWeight(0.5 / aCalls);
    if (test.Value() >= aThreshold) {
      return newFailures;
    }
  }
  return -1;
}

} // namespace

TEST_CASE("SequentialTest_EquallyGoodVersions_FalseAlarmRateIsWithinBound",
          "[sequential-test]")
{
  constexpr int kRuns = 2000;
  constexpr double kThreshold = 50;
  for (double rate : { 0.005, 0.05, 0.3 }) {
    int alarms = 0;
    for (int seed = 0; seed < kRuns; ++seed) {
      alarms += NewFailuresUntilAlarm(
                  kThreshold, rate, rate, 0.05, 4000, 1000U + seed) >= 0
                  ? 1
                  : 0;
    }
    INFO("failure rate " << rate << ", alarms " << alarms);
    // The bound is 1 / 50. The mean of 2,000 runs must be below 1.5 times it.
    REQUIRE(alarms <= 1.5 * kRuns / kThreshold);
  }
}

TEST_CASE("SequentialTest_VersionThatAlwaysFails_IsDetectedAfterFewFailures",
          "[sequential-test]")
{
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    int failures = NewFailuresUntilAlarm(3000, 0.001, 1.0, 0.05, 20000, seed);
    REQUIRE(failures >= 1);
    REQUIRE(failures <= 6);
  }
}

TEST_CASE("SequentialTest_WorseVersion_IsAlwaysDetected", "[sequential-test]")
{
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    REQUIRE(NewFailuresUntilAlarm(3000, 0.005, 0.05, 0.05, 40000, seed) >= 1);
  }
}

TEST_CASE("SequentialTest_ShareOfZeroOrOne_LeavesValueUnchanged",
          "[sequential-test]")
{
  sequential_test test;
  double before = test.Value();
  test.AddEvents(0.0, 100, 0);
  test.AddEvents(1.0, 0, 100);
  REQUIRE(test.Value() == before);
}
