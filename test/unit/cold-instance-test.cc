#include <catch2/catch.hpp>

#include "harness/service-mesh.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Requests per second that a cold instance bears.
constexpr double kColdRate = 10;

/// Requests that a cold instance may get within a second: the published bound.
constexpr double kAllowedPerSecond = kColdRate * 1.5 + 8;

class cold_fixture : public service_mesh
{
public:
  cold_fixture()
  {
    traffic_configuration configuration =
      mesh_world::ConfigurationFor(2, "/orders/", "orders");
    configuration.services["orders"].cold_requests_per_second = kColdRate;
    world.SetConfiguration(std::move(configuration));
  }

  /// Both instances say that they stay cold for a time.
  void Cool(duration aTime)
  {
    for (std::size_t host : { first, second }) {
      world.SetWarmUp(host, aTime);
      world.Announce(host, instance_state::ready);
    }
  }

  /// Keeps four requests in progress for a second and returns how many of them
  /// each of the two instances has run.
  std::pair<unsigned, unsigned> RunsInASecond()
  {
    unsigned beforeFirst = world.RunCount(first);
    unsigned beforeSecond = world.RunCount(second);
    time_point end = world.Loop().Now() + milliseconds(1000);
    while (world.Loop().Now() < end) {
      (void)SendNext();
    }
    return { world.RunCount(first) - beforeFirst,
             world.RunCount(second) - beforeSecond };
  }
};

} // namespace

// Guards against FAILBACK: instances that have become cold get the load of warm
// ones.
TEST_CASE_METHOD(cold_fixture,
                 "cold instance, under full load, gets no more than it bears",
                 "[cold-instance]")
{
  Cool(milliseconds(5000));
  auto [runsFirst, runsSecond] = RunsInASecond();
  CHECK(runsFirst <= kAllowedPerSecond);
  CHECK(runsSecond <= kAllowedPerSecond);
  CHECK(runsFirst + runsSecond > 0);
}

// Guards against FAILBACK after a restart: the node beside a cold instance
// starts again and does not know that it is cold.
TEST_CASE_METHOD(cold_fixture,
                 "cold instance, node beside it starts again, gets no more "
                 "than it bears",
                 "[cold-instance]")
{
  Cool(milliseconds(5000));
  world.RestartNode(first);
  world.RunFor(milliseconds(300));
  CHECK(RunsInASecond().first <= kAllowedPerSecond);
}

// Guards against a limit that outlives its cause.
TEST_CASE_METHOD(cold_fixture,
                 "cold instance, time over, gets the load of a warm one",
                 "[cold-instance]")
{
  Cool(milliseconds(100));
  world.RunFor(milliseconds(200));
  auto [runsFirst, runsSecond] = RunsInASecond();
  CHECK(runsFirst + runsSecond > 4 * kAllowedPerSecond);
}

TEST_CASE_METHOD(cold_fixture,
                 "cold instance, warm one beside it, the warm one serves the "
                 "rest",
                 "[cold-instance]")
{
  world.SetWarmUp(first, milliseconds(5000));
  world.Announce(first, instance_state::ready);
  auto [runsFirst, runsSecond] = RunsInASecond();
  CHECK(runsFirst <= kAllowedPerSecond);
  CHECK(runsSecond > 2 * kAllowedPerSecond);
}
