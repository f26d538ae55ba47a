#include <catch2/catch.hpp>

#include "harness/mesh-world.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

constexpr const char* kFatal = "/orders/fatal";
constexpr const char* kHarmless = "/orders/1";
/// Instances that a request may crash before no node sends it on.
constexpr unsigned kAllowedCrashes = 3;

/// Two hosts without an instance of the service and four with one. A request to
/// `kFatal` crashes each instance that begins to run it.
class crash_fixture
{
public:
  crash_fixture()
    : crash_fixture(std::map<std::string, host_record>{})
  {
  }

  /// `aEntries` is what nodes that were all killed have left in the store.
  explicit crash_fixture(const std::map<std::string, host_record>& aEntries)
  {
    if (!aEntries.empty()) {
      world.EndFirstStart();
      world.Store().hosts = aEntries;
    }
    fronts = { world.AddHost("front", "v1"), world.AddHost("front", "v1") };
    constexpr int kInstances = 4;
    for (int i = 0; i < kInstances; ++i) {
      instances.push_back(world.AddHost("orders", "v1"));
      world.Behaviour(instances.back()).crash_target = kFatal;
    }
    for (std::size_t host = 0; !aEntries.empty() && host < aEntries.size();
         ++host) {
      world.Announce(host, instance_state::ready);
    }
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunUntilInstancesKnown();
  }

  /// Number of instances that a fatal request has crashed.
  unsigned Crashes() const
  {
    unsigned crashes = 0;
    for (std::size_t host : instances) {
      crashes += world.CrashCount(host);
    }
    return crashes;
  }

  /// Sends the fatal request, waits for the answer, then for the instances to
  /// start again. Returns the status.
  int SendFatal(std::size_t aFront,
                const std::string& aMethod = "GET",
                const std::string& aBody = "")
  {
    int status = world.StatusOf(
      world.StartRequest(fronts[aFront], aMethod, kFatal, aBody));
    world.RunFor(milliseconds(60));
    return status;
  }

  /// Sends the fatal request to the first front host until it has crashed as
  /// many instances as is allowed.
  void Crash()
  {
    for (int i = 0; i < 4 && Crashes() < kAllowedCrashes; ++i) {
      (void)SendFatal(0);
    }
    REQUIRE(Crashes() == kAllowedCrashes);
  }

  void SetDelay(duration aDelay)
  {
    for (std::size_t host : instances) {
      world.Behaviour(host).delay = aDelay;
    }
  }

  mesh_world world;
  std::vector<std::size_t> fronts;
  std::vector<std::size_t> instances;
};

} // namespace

// Guards against BUDGET: a request that has crashed three instances is sent to
// further ones.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, repeated, crashes three instances at most",
                 "[crashing-request]")
{
  for (int i = 0; i < 8; ++i) {
    (void)SendFatal(0);
  }
  CHECK(Crashes() == kAllowedCrashes);
  CHECK(SendFatal(0) == 503);
}

// Guards against BUDGET at a node that has only heard of the crashes.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, at a first hop that saw no crash, is "
                 "refused",
                 "[crashing-request]")
{
  Crash();
  CHECK(SendFatal(1) == 503);
  CHECK(Crashes() == kAllowedCrashes);
}

// Guards against BUDGET after a restart: the node forgets what it has seen.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, first hop restarts, is refused",
                 "[crashing-request]")
{
  Crash();
  world.RestartNode(fronts[0]);
  world.RunFor(milliseconds(200));
  CHECK(SendFatal(0) == 503);
  CHECK(Crashes() == kAllowedCrashes);
}

// Guards against BUDGET after the nodes beside all instances restart.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, nodes beside the instances restart, is "
                 "refused",
                 "[crashing-request]")
{
  Crash();
  for (std::size_t host : instances) {
    world.RestartNode(host);
    world.Announce(host, instance_state::ready);
  }
  world.RunFor(milliseconds(300));
  CHECK(SendFatal(1) == 503);
  CHECK(Crashes() == kAllowedCrashes);
}

// Guards against BUDGET after all nodes were killed at once: only the store has
// kept what they knew.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, all nodes are killed and start again, is "
                 "refused",
                 "[crashing-request]")
{
  Crash();
  world.RunFor(
    milliseconds(1000)); // changes of entries are written after 0.7 s
  crash_fixture restarted(world.Store().hosts);
  CHECK(restarted.SendFatal(0) == 503);
  CHECK(restarted.SendFatal(1) == 503);
  CHECK(restarted.Crashes() == 0);
}

// Guards against BUDGET for requests that may not be repeated: each attempt of
// the caller runs once, and the third is the last.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, not idempotent, crashes three instances "
                 "at most",
                 "[crashing-request]")
{
  world.SetRoute(2, "/orders/", "orders", false);
  for (unsigned i = 1; i <= kAllowedCrashes; ++i) {
    CHECK(SendFatal(i % 2, "POST", "order") == 502);
    CHECK(Crashes() == i);
  }
  CHECK(SendFatal(0, "POST", "order") == 503);
  CHECK(SendFatal(1, "POST", "order") == 503);
  CHECK(Crashes() == kAllowedCrashes);
}

// Guards against lost time and retries while an instance is down: first hops go
// on choosing an instance that has crashed until it is back.
TEST_CASE_METHOD(crash_fixture,
                 "crashed instance, until it is back, is not offered to first "
                 "hops",
                 "[crashing-request]")
{
  for (std::size_t host : instances) {
    world.Behaviour(host).restart_time = milliseconds(300);
  }
  std::size_t all = world.KnownInstances(fronts[1]);
  (void)SendFatal(0);
  CHECK(world.KnownInstances(fronts[1]) == all - Crashes());
  world.RunUntilInstancesKnown();
  CHECK(world.StatusOf(world.StartRequest(fronts[1], "GET", kHarmless)) == 200);
}

// Guards against a refusal of requests that are only similar.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, refused, others with the same path or "
                 "body are served",
                 "[crashing-request]")
{
  Crash();
  for (std::size_t host : instances) {
    world.Behaviour(host).crash_target.clear();
  }
  CHECK(SendFatal(0, "POST", "other") == 200);
  CHECK(world.StatusOf(world.StartRequest(fronts[0], "GET", kHarmless)) == 200);
}

// Guards against the opposite error: a request that was running beside crashes
// is taken for their cause.
TEST_CASE_METHOD(crash_fixture,
                 "crashing request, others run beside it at each crash, are "
                 "served",
                 "[crashing-request]")
{
  SetDelay(milliseconds(10));
  constexpr int kRounds = 8;
  constexpr int kOthers = 8;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<pending_answer> answers;
    for (int i = 0; i < kOthers; ++i) {
      std::string target = kHarmless + std::to_string(i);
      answers.push_back(world.StartRequest(fronts[i % 2], "GET", target));
    }
    (void)SendFatal(round % 2);
    for (const pending_answer& answer : answers) {
      (void)world.StatusOf(answer);
    }
  }
  for (int i = 0; i < kOthers; ++i) {
    std::string target = kHarmless + std::to_string(i);
    CHECK(world.StatusOf(world.StartRequest(fronts[0], "GET", target)) == 200);
  }
}
