#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/mesh-world.h"
#include "harness/silent-connection.h"

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

namespace {

/// Counts what becomes of a request at the last hop.
class counting_sink final : public answer_sink
{
public:
  void OnAnswer(message_head,
                std::optional<std::uint64_t>,
                const run_load&) override
  {
  }
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerEnd() override { answered = true; }
  void OnRunFailed(const run_failure& aFailure) override { failure = aFailure; }

  bool answered = false;
  std::optional<run_failure> failure;
};

/// The node beside an instance whose connections the test ends.
class last_hop_fixture
{
public:
  last_hop_fixture()
    : sockets(events)
    , instance_sockets(std::make_unique<tcp_transport>(events))
    , pacer(events)
    , dispatcher(sockets, names, pacer.Scheduler(), crashes, versions)
  {
    instance_record instance;
    instance.id = "i-1";
    instance.state = instance_state::ready;
    instance.address = FreeAddress();
    instance.slots = 4;
    REQUIRE(instance_sockets->Listen(
      instance.address, [this](std::shared_ptr<connection> aConnection) {
        aConnection->SetObserver(std::make_shared<silent_connection>(received));
        connections.push_back(aConnection);
      }));
    dispatcher.SetInstance(instance);
  }

  forwarded_request Request(const std::string& aTarget)
  {
    forwarded_request request;
    request.head.method = "GET";
    request.head.target = aTarget;
    request.instance = "i-1";
    request.route = "route";
    request.idempotent = true;
    request.soft_deadline = events.Now() + std::chrono::seconds(1);
    request.deadline = events.Now() + std::chrono::seconds(2);
    return request;
  }

  std::shared_ptr<counting_sink> Dispatch(const std::string& aTarget)
  {
    auto sink = std::make_shared<counting_sink>();
    run_start started = dispatcher.Dispatch(Request(aTarget), sink);
    if (!started) {
      sink->failure = started.error();
    }
    Wait(milliseconds(20));
    return sink;
  }

  /// Records that an instance has crashed beside this request.
  void Suspect(const std::string& aTarget)
  {
    request_fingerprint request = FingerprintOf(Request(aTarget));
    crashes.RecordCrash({ { request, crashes.Find(request) } }, events.Now());
  }

  void Wait(duration aTime)
  {
    events.RunAfter(aTime, [this] { events.Stop(); });
    events.Run();
  }

  header_names names{ "X-Id",     "X-Timeout", "X-Target",
                      "X-Caller", "X-Stamp",   "X-Not" };
  loop events{ 256 };
  tcp_transport sockets;
  std::unique_ptr<tcp_transport> instance_sockets;
  link_pacer pacer;
  crash_table crashes;
  version_selector versions;
  instance_dispatcher dispatcher;
  std::vector<std::shared_ptr<connection>> connections;
  unsigned received = 0;
};

} // namespace

TEST_CASE_METHOD(last_hop_fixture,
                 "last hop, instance crashes, all running requests are "
                 "suspects",
                 "[crashing-request]")
{
  auto first = Dispatch("/1");
  auto second = Dispatch("/2");
  instance_sockets.reset();
  Wait(milliseconds(100));
  REQUIRE(first->failure);
  CHECK(first->failure->reason == run_failure_reason::crashed);
  CHECK_FALSE(first->failure->not_run);
  REQUIRE(second->failure);
  CHECK(second->failure->reason == run_failure_reason::crashed);
  CHECK(crashes.IsSuspect(FingerprintOf(Request("/1"))));
  CHECK(crashes.IsSuspect(FingerprintOf(Request("/2"))));
}

// Guards against taking a lost answer or reset connections for a crash.
TEST_CASE_METHOD(last_hop_fixture,
                 "last hop, connections end and the instance accepts new ones, "
                 "no request is a suspect",
                 "[crashing-request]")
{
  auto first = Dispatch("/1");
  auto second = Dispatch("/2");
  for (const auto& each : connections) {
    each->Close();
  }
  Wait(milliseconds(100));
  REQUIRE(first->failure);
  CHECK(first->failure->reason == run_failure_reason::broken);
  REQUIRE(second->failure);
  CHECK(crashes.Empty());
}

// Guards against a refusal of requests that ran beside the cause: two suspects
// on one instance can't be told apart by its next crash.
TEST_CASE_METHOD(
  last_hop_fixture,
  "last hop, one suspect runs, another one is refused and others "
  "run",
  "[crashing-request]")
{
  Suspect("/1");
  Suspect("/2");
  auto first = Dispatch("/1");
  auto copy = Dispatch("/1");
  auto other = Dispatch("/2");
  auto harmless = Dispatch("/3");
  CHECK_FALSE(first->failure);
  CHECK_FALSE(copy->failure);
  CHECK_FALSE(harmless->failure);
  REQUIRE(other->failure);
  CHECK(other->failure->reason == run_failure_reason::full);
  CHECK(other->failure->not_run);
  CHECK(connections.size() == 3);
}

// Guards against BUDGET through a first hop that has not heard of the crashes.
TEST_CASE_METHOD(last_hop_fixture,
                 "last hop, quarantined request, is refused and not sent",
                 "[crashing-request]")
{
  for (unsigned i = 0; i < kAllowedCrashes; ++i) {
    Suspect("/1");
  }
  auto request = Dispatch("/1");
  REQUIRE(request->failure);
  CHECK(request->failure->reason == run_failure_reason::quarantined);
  CHECK(request->failure->not_run);
  CHECK(connections.empty());
}

// Guards against BUDGET through the queue: the request was waiting when it
// crashed its third instance elsewhere.
TEST_CASE_METHOD(last_hop_fixture,
                 "last hop, request becomes quarantined while it waits, is not "
                 "sent",
                 "[crashing-request]")
{
  constexpr std::size_t kSlots = 4;
  std::vector<std::shared_ptr<counting_sink>> running;
  std::vector<run_start> runs;
  for (std::size_t i = 0; i < kSlots; ++i) {
    running.push_back(std::make_shared<counting_sink>());
    runs.push_back(
      dispatcher.Dispatch(Request("/" + std::to_string(i)), running.back()));
    REQUIRE(runs.back());
  }
  auto waiting = Dispatch("/fatal");
  REQUIRE(dispatcher.Load().waiting == 1);
  for (unsigned i = 0; i < kAllowedCrashes; ++i) {
    Suspect("/fatal");
  }
  (*runs.front())->Cancel();
  Wait(milliseconds(20));
  REQUIRE(waiting->failure);
  CHECK(waiting->failure->reason == run_failure_reason::quarantined);
  CHECK(waiting->failure->not_run);
  CHECK(connections.size() == kSlots);
}
