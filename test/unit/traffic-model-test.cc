#include <catch2/catch.hpp>

#include "harness/traffic-model.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;

namespace {

constexpr unsigned kSeeds = 5;
/// Requests per second at which all slots of the pattern are in use.
constexpr double kCapacity = 230;

/// Mean fraction of the requests that are answered within the latency target,
/// over `kSeeds` seeds.
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

// Each node sends to an instance only once every few seconds, so what it knows
// about the load there is stale, and all nodes prefer the fastest instances.
TEST_CASE("traffic model, many nodes with stale loads, nearly all are on time",
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

TEST_CASE("traffic model, few nodes with fresh loads, nearly all are on time",
          "[model]")
{
  CHECK(MeanOnTimeFraction(PatternOf(200, 4), ExpectedTimePolicy) >= 0.98);
}

// Guards against a drop in goodput under overload: requests that end just after
// their latency target occupy slots in which others would have been on time.
TEST_CASE(
  "traffic model, twice the capacity, goodput is four fifths of capacity",
  "[model]")
{
  constexpr double kLoad = 2 * kCapacity;
  constexpr double kGoodput = 0.8 * kCapacity / kLoad;
  for (unsigned nodes : { 18U, 90U }) {
    CHECK(MeanOnTimeFraction(PatternOf(kLoad, nodes), ExpectedTimePolicy) >=
          kGoodput);
  }
}
