#include <catch2/catch.hpp>

#include "harness/traffic-model.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;

namespace {

constexpr unsigned kSeeds = 5;
/// Requests a second at which all slots of the pattern are just in use.
constexpr double kCapacity = 230;

/// Part of the requests answered within their goal, over some seeds.
double
MeanOnTimeFraction(traffic_pattern aPattern, const policy_factory& aPolicies)
{
  double sum = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    aPattern.seed = seed;
    sum += SimulateTraffic(aPattern, aPolicies).OnTimeFraction();
  }
  return sum / kSeeds;
}

traffic_pattern
PatternOf(double aPerSecond, unsigned aNodes)
{
  traffic_pattern pattern;
  pattern.per_second = aPerSecond;
  pattern.nodes = aNodes;
  return pattern;
}

} // namespace

// Each node sees an instance once in some seconds: what it knows of the load
// there is old, and all nodes like the fastest instances best.
TEST_CASE("traffic model, many nodes that see little, nearly all are in time",
          "[model]")
{
  constexpr double kLoad = 200;
  for (unsigned nodes : { 18U, 90U }) {
    traffic_pattern pattern = PatternOf(kLoad, nodes);
    double expectedTime = MeanOnTimeFraction(pattern, ExpectedTimePolicy);
    CHECK(expectedTime >= 0.98);
    CHECK(expectedTime > MeanOnTimeFraction(pattern, RoundRobinPolicy));
    CHECK(expectedTime > MeanOnTimeFraction(pattern, LeastOutstandingPolicy));
  }
}

TEST_CASE("traffic model, few nodes that see much, nearly all are in time",
          "[model]")
{
  CHECK(MeanOnTimeFraction(PatternOf(200, 4), ExpectedTimePolicy) >= 0.98);
}

// Requests that end just after their goal take slots from those that would
// have reached it.
TEST_CASE("traffic model, twice the capacity, four fifths of it are in time",
          "[model]")
{
  constexpr double kLoad = 2 * kCapacity;
  constexpr double kGoodput = 0.8 * kCapacity / kLoad;
  for (unsigned nodes : { 18U, 90U }) {
    CHECK(MeanOnTimeFraction(PatternOf(kLoad, nodes), ExpectedTimePolicy) >=
          kGoodput);
  }
}
