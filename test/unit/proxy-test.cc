#include <catch2/catch.hpp>

#include "harness/run-entries.h"
#include "proxy/caller-wait-estimator.h"
#include "proxy/hop-fields.h"
#include "proxy/instance-chooser.h"
#include "proxy/run-queue.h"
#include "proxy/shared-retry-budget.h"
#include "proxy/version-selector.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point kStart = time_point(std::chrono::hours(1));

class run_queue_fixture
{
public:
  run_queue queue{ 2 };

  run_queue_fixture()
  {
    // Every request takes 100 ms.
    for (int i = 0; i < 100; ++i) {
      queue.Finish("route", milliseconds(100));
    }
  }

  static run_entry Entry(run_id aId, unsigned aPriority, duration aSoftDeadline)
  {
    return MakeRunEntry(kStart, aId, aPriority, aSoftDeadline);
  }

  void Fill()
  {
    for (run_id id = 1; id <= 2; ++id) {
      REQUIRE(queue.Admit(Entry(id, 1, seconds(1)), kStart).decision ==
              run_decision::run);
    }
  }
};

const request_urgency kInTime{ 1, milliseconds(300) };
const request_urgency kLate{ 1, milliseconds(-300) };
const request_urgency kUrgent{ 0, milliseconds(300) };

/// A rollout that starts at `kStart` and must be complete within 12 s.
canary_rollout
CanaryOfTwelveSeconds()
{
  canary_rollout rollout;
  rollout.service = "service";
  rollout.target_version = "v2";
  rollout.order_id = { 1, 5 };
  rollout.share = 0.015;
  rollout.time_limit = seconds(12);
  rollout.started_at = kStart;
  return rollout;
}

class chooser_fixture
{
public:
  instance_chooser chooser{ "domain-a", 7 };
  std::vector<instance_candidate> candidates{
    { "host-1", "near", "domain-a", 10, false, false },
    { "host-2", "far", "domain-b", 10, false, false },
  };

  std::string Choose(const std::set<std::string>& aAttempted = {})
  {
    auto chosen = chooser.Choose(candidates, aAttempted, kInTime, kStart);
    return chosen ? candidates[*chosen].instance : "none";
  }
};

} // namespace

TEST_CASE_METHOD(run_queue_fixture,
                 "run queue, slots free, runs at once",
                 "[proxy]")
{
  Fill();
  CHECK(queue.Load().busy == 2);
}

TEST_CASE_METHOD(
  run_queue_fixture,
  "run queue, burst on a full instance, refuses requests that are too late",
  "[proxy]")
{
  Fill();
  unsigned waiting = 0;
  unsigned refused = 0;
  for (run_id id = 10; id < 60; ++id) {
    run_admission admission =
      queue.Admit(Entry(id, 1, milliseconds(300)), kStart);
    waiting += admission.decision == run_decision::wait ? 1 : 0;
    refused += admission.decision == run_decision::refuse ? 1 : 0;
  }
  // Two slots serve about ten requests before the deadlines, so at most ten
  // wait.
  CHECK(waiting >= 3);
  CHECK(waiting <= 10);
  CHECK(refused == 50 - waiting);
}

TEST_CASE_METHOD(run_queue_fixture,
                 "run queue, slot becomes free, most urgent request runs first",
                 "[proxy]")
{
  Fill();
  queue.Admit(Entry(10, 2, milliseconds(900)), kStart);
  queue.Admit(Entry(11, 0, milliseconds(900)), kStart);
  queue.Finish("route", milliseconds(100));
  run_queue::next_run next = queue.StartNext(kStart);
  REQUIRE(next.run);
  CHECK(*next.run == 11);
}

TEST_CASE_METHOD(run_queue_fixture,
                 "run queue, calls beside long requests, late call keeps its "
                 "place",
                 "[proxy]")
{
  // A refused call fails its caller, which holds a slot of another instance
  // meanwhile.
  Fill();
  for (int i = 0; i < 30; ++i) {
    queue.Finish("call", milliseconds(15));
    queue.Finish("route", milliseconds(80));
    Fill();
  }
  for (run_id id = 10; id < 14; ++id) {
    queue.Admit(Entry(id, 1, milliseconds(250)), kStart);
  }
  run_entry call = Entry(20, 1, milliseconds(10));
  call.key = "call";
  call.deadline = kStart + milliseconds(200);
  REQUIRE(queue.Admit(call, kStart).decision == run_decision::wait);
  queue.Finish("route", milliseconds(80));
  run_queue::next_run next = queue.StartNext(kStart + milliseconds(5));
  REQUIRE(next.run);
  CHECK(*next.run == 20);
}

TEST_CASE_METHOD(run_queue_fixture,
                 "run queue, deadline near, waiting request expires",
                 "[proxy]")
{
  Fill();
  queue.Admit(Entry(10, 1, milliseconds(400)), kStart);
  run_queue::next_run next = queue.StartNext(kStart + milliseconds(790));
  CHECK_FALSE(next.run);
  CHECK(next.expired == std::vector<run_id>{ 10 });
}

TEST_CASE_METHOD(chooser_fixture,
                 "instance chooser, equal instances, stays in its domain",
                 "[proxy]")
{
  for (int i = 0; i < 20; ++i) {
    CHECK(Choose() == "near");
  }
}

TEST_CASE_METHOD(chooser_fixture,
                 "instance chooser, local instance full, chooses other domain",
                 "[proxy]")
{
  for (int i = 0; i < 30; ++i) {
    chooser.RecordStart("near");
  }
  CHECK(Choose() == "far");
}

TEST_CASE_METHOD(chooser_fixture,
                 "instance chooser, local instance fails, chooses other domain",
                 "[proxy]")
{
  for (int i = 0; i < 20; ++i) {
    chooser.RecordStart("near");
    chooser.RecordEnd(
      "near", kInTime, instance_chooser::outcome::failed, std::nullopt, kStart);
  }
  CHECK(Choose() == "far");
}

TEST_CASE_METHOD(chooser_fixture,
                 "instance chooser, refusal of a very low priority, is "
                 "remembered",
                 "[proxy]")
{
  const request_urgency kLowest{ 9, milliseconds(300) };
  for (const char* instance : { "near", "far" }) {
    chooser.RecordEnd(instance,
                      kLowest,
                      instance_chooser::outcome::refused,
                      std::nullopt,
                      kStart);
  }
  CHECK_FALSE(chooser.Choose(candidates, {}, kLowest, kStart));
}

TEST_CASE_METHOD(chooser_fixture,
                 "instance chooser, large answers wait for a link, chooses the "
                 "other host",
                 "[proxy]")
{
  // Only large answers wait behind large answers.
  run_load load;
  load.slots = 10;
  load.average_duration = milliseconds(50);
  load.link_wait = milliseconds(400);
  chooser.RecordStart("near");
  chooser.RecordEnd(
    "near", kInTime, instance_chooser::outcome::answered, load, kStart);
  CHECK(Choose() == "near");
  request_urgency download = kInTime;
  download.answer_bytes = 90000;
  auto chosen = chooser.Choose(candidates, {}, download, kStart);
  REQUIRE(chosen);
  CHECK(candidates[*chosen].instance == "far");
}

TEST_CASE_METHOD(
  chooser_fixture,
  "instance chooser, both instances refused recently, chooses none",
  "[proxy]")
{
  for (const char* instance : { "near", "far" }) {
    chooser.RecordEnd(instance,
                      kInTime,
                      instance_chooser::outcome::refused,
                      std::nullopt,
                      kStart);
  }
  CHECK(Choose() == "none");
  // A more urgent request may displace the requests that wait there.
  CHECK(chooser.Choose(candidates, {}, kUrgent, kStart));
  CHECK(chooser.Choose(candidates, {}, kInTime, kStart + seconds(1)));
}

TEST_CASE_METHOD(
  chooser_fixture,
  "instance chooser, late request refused, on-time request is sent",
  "[proxy]")
{
  for (const char* instance : { "near", "far" }) {
    chooser.RecordEnd(instance,
                      kLate,
                      instance_chooser::outcome::refused,
                      std::nullopt,
                      kStart);
  }
  CHECK(Choose() == "near");
  CHECK_FALSE(chooser.Choose(candidates, {}, kLate, kStart));
}

TEST_CASE(
  "caller wait estimator, retries, are distinguished from first requests",
  "[proxy]")
{
  // Pattern of a burst in which many requests are refused and retried.
  caller_wait_estimator estimator;
  for (int i = 0; i < 50; ++i) {
    CHECK(estimator.EstimateTimeWaited(
            "route", milliseconds(1700 + i * 6), kStart) == duration(0));
  }
  duration waited =
    estimator.EstimateTimeWaited("route", milliseconds(1100), kStart);
  CHECK(waited > milliseconds(500));
  CHECK(waited < milliseconds(900));
}

TEST_CASE_METHOD(
  run_queue_fixture,
  "run queue, soft deadline passed while others wait, refuses at once",
  "[proxy]")
{
  Fill();
  queue.Admit(Entry(10, 1, milliseconds(500)), kStart);
  run_entry late = Entry(11, 1, milliseconds(0));
  late.deadline = kStart + seconds(2);
  CHECK(queue.Admit(late, kStart).decision == run_decision::refuse);
}

TEST_CASE_METHOD(chooser_fixture,
                 "instance chooser, all instances attempted, chooses none",
                 "[proxy]")
{
  CHECK(Choose({ "near", "far" }) == "none");
}

TEST_CASE(
  "shared retry budget, every request fails, retries stay within budget",
  "[proxy]")
{
  shared_retry_budget budget;
  shared_retry_budget_options options;
  options.ratio = 0.2;
  options.allowance = 58;
  budget.SetOptions(options);
  budget.SetNodeCount(16);
  unsigned retries = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    time_point now = kStart + milliseconds(i * 10);
    budget.RecordFirstAttempt("service", now);
    retries += budget.TryAcquireRetry("service", now) ? 1 : 0;
  }
  CHECK(retries > 50);
  CHECK(retries <= 0.2 * kRequests + 58.0 / 16);
}

TEST_CASE("version selector, canary share, is kept exactly", "[proxy]")
{
  version_selector selector;
  selector.RecordVersion("service", "v1", 1);
  canary_rollout rollout;
  rollout.service = "service";
  rollout.target_version = "v2";
  rollout.order_id = { 1, 5 };
  rollout.share = 0.05;
  rollout.started_at = kStart;
  REQUIRE(selector.Merge(rollout));
  unsigned canaryRequests = 0;
  for (int i = 0; i < 1000; ++i) {
    canaryRequests +=
      selector.DecideCanary("service", kStart).uses_canary ? 1 : 0;
  }
  CHECK(canaryRequests >= 49);
  CHECK(canaryRequests <= 50);
  CHECK(selector.ServesOrdinaryRequests("service", "v1"));
  CHECK_FALSE(selector.ServesOrdinaryRequests("service", "v2"));
}

TEST_CASE(
  "version selector, canary, loads one instance after another in bursts",
  "[proxy]")
{
  // At a small canary share, a fault that occurs only under load stays
  // undetected. Bursts send all requests to one new instance for a short time.
  version_selector selector;
  canary_rollout rollout;
  rollout.service = "service";
  rollout.target_version = "v2";
  rollout.order_id = { 1, 5 };
  rollout.share = 0.015;
  rollout.started_at = kStart;
  selector.Merge(rollout);
  std::set<unsigned> loaded;
  unsigned canaryRequests = 0;
  constexpr int kMilliseconds = 12000;
  for (int i = 0; i < kMilliseconds; ++i) {
    canary_decision decision =
      selector.DecideCanary("service", kStart + milliseconds(i));
    canaryRequests += decision.uses_canary ? 1 : 0;
    if (decision.instance) {
      loaded.insert(*decision.instance);
    }
  }
  CHECK(loaded.size() >= 3);
  // Well below the allowed tenth of the requests, because raising the share
  // needs a part of that tenth too.
  CHECK(canaryRequests < 0.06 * kMilliseconds);
}

TEST_CASE(
  "version selector, burst, gives one instance the load after promotion",
  "[proxy]")
{
  // A fault under load shows once requests overlap as they will after the
  // promotion. A short burst of all requests ends before they do.
  constexpr std::size_t kInstances = 4;
  constexpr int kPerSecond = 70;
  constexpr auto kWork = milliseconds(360);
  version_selector selector;
  selector.SetInstanceCounts({ { "service", kInstances } });
  selector.Merge(CanaryOfTwelveSeconds());
  std::vector<time_point> ends;
  double mostRunning = 0;
  for (int i = 0; i < 11 * kPerSecond; ++i) {
    time_point now = kStart + milliseconds(i * 1000 / kPerSecond);
    std::erase_if(ends, [now](time_point aEnd) { return aEnd <= now; });
    if (selector.DecideCanary("service", now).instance) {
      ends.push_back(now + kWork);
    }
    mostRunning = std::max(mostRunning, static_cast<double>(ends.size()));
  }
  CHECK(mostRunning >= 0.9 * kPerSecond * 0.36 / kInstances);
}

TEST_CASE("version selector, burst in a service of idle instances, fills the "
          "slots of one",
          "[proxy]")
{
  // With 28 instances, the load after the promotion keeps few slots busy, so a
  // fault under load seldom shows.
  constexpr int kPerSecond = 220;
  constexpr unsigned kSlots = 18;
  constexpr auto kWork = milliseconds(310);
  version_selector selector;
  selector.SetInstanceCounts({ { "service", 28 } });
  selector.Merge(CanaryOfTwelveSeconds());
  std::vector<time_point> ends;
  std::size_t mostRunning = 0;
  for (int i = 0; i < 11 * kPerSecond; ++i) {
    time_point now = kStart + milliseconds(i * 1000 / kPerSecond);
    std::erase_if(ends, [now](time_point aEnd) { return aEnd <= now; });
    if (selector.DecideCanary("service", now).instance) {
      ends.push_back(now + kWork);
    }
    mostRunning = std::max(mostRunning, ends.size());
  }
  CHECK(mostRunning >= kSlots);
}

TEST_CASE("version selector, many nodes with little traffic, send the extra "
          "canary requests",
          "[proxy]")
{
  // 195 nodes, one request in two seconds each: no node earns a whole canary
  // request from the share alone.
  constexpr unsigned kNodes = 195;
  constexpr double kExtraRequests = 25;
  constexpr int kSeconds = 12;
  unsigned canaryRequests = 0;
  for (unsigned node = 0; node < kNodes; ++node) {
    version_selector selector(node);
    selector.SetExtraCanaryRequests(kExtraRequests / kNodes, 40.0 / kNodes);
    selector.Merge(CanaryOfTwelveSeconds());
    for (int second = 0; second < kSeconds; second += 2) {
      canary_decision decision =
        selector.DecideCanary("service", kStart + seconds(second));
      canaryRequests += decision.uses_canary && !decision.instance ? 1 : 0;
    }
  }
  CHECK(canaryRequests >= 15);
  CHECK(canaryRequests <= 0.1 * kNodes * kSeconds / 2);
}

// A completion that the store has recorded is the only phase that follows: the
// old instances are gone, and a node that kept to the rollback would refuse all
// requests (CONFIG).
TEST_CASE("version selector, rolled back, follows only a recorded completion",
          "[proxy]")
{
  version_selector selector;
  canary_rollout rollout;
  rollout.service = "service";
  rollout.target_version = "v2";
  rollout.order_id = { 1, 5 };
  selector.Merge(rollout);
  rollout.phase = canary_phase::rolled_back;
  REQUIRE(selector.Merge(rollout));
  rollout.phase = canary_phase::promoted;
  CHECK_FALSE(selector.Merge(rollout));
  CHECK_FALSE(selector.ServesOrdinaryRequests("service", "v2"));
  rollout.phase = canary_phase::complete;
  CHECK(selector.Merge(rollout));
  CHECK(selector.ServesOrdinaryRequests("service", "v2"));
  rollout.phase = canary_phase::rolled_back;
  CHECK_FALSE(selector.Merge(rollout));
  CHECK(selector.ServesOrdinaryRequests("service", "v2"));
}

TEST_CASE("version selector, new version without a rollout, gets no requests",
          "[proxy]")
{
  version_selector selector;
  selector.RecordVersion("service", "v2", 200);
  selector.RecordVersion("service", "v1", 100);
  CHECK(selector.ServesOrdinaryRequests("service", "v1"));
  CHECK_FALSE(selector.ServesOrdinaryRequests("service", "v2"));
}

TEST_CASE("hop fields, call, survives encoding and decoding", "[proxy]")
{
  forwarded_request sent;
  sent.instance = "i-1";
  sent.route = "r-1";
  sent.priority = 2;
  sent.idempotent = true;
  sent.soft_deadline = kStart + milliseconds(300);
  sent.deadline = kStart + milliseconds(2000);
  sent.caller_service = "orders";
  sent.crashes = { 3, 2 };
  forwarded_request received;
  REQUIRE(DecodeCall(EncodeCall(sent, kStart), kStart, received));
  CHECK(received.instance == sent.instance);
  CHECK(received.route == sent.route);
  CHECK(received.priority == sent.priority);
  CHECK(received.idempotent);
  CHECK(received.soft_deadline == sent.soft_deadline);
  CHECK(received.deadline == sent.deadline);
  CHECK(received.caller_service == sent.caller_service);
  CHECK(received.crashes == sent.crashes);
  sent.caller_service.clear();
  REQUIRE(DecodeCall(EncodeCall(sent, kStart), kStart, received));
  CHECK(received.caller_service.empty());
}

TEST_CASE("hop fields, call of an earlier version, has no evidence of crashes",
          "[proxy]")
{
  forwarded_request received;
  REQUIRE(DecodeCall("i r 1 idempotent 1 2 s none", kStart, received));
  CHECK(received.crashes == crash_count{});
}

TEST_CASE("hop fields, malformed values, are rejected", "[proxy]")
{
  forwarded_request received;
  CHECK_FALSE(DecodeCall("", kStart, received));
  CHECK_FALSE(DecodeCall("i r x idempotent 1 2 s", kStart, received));
  CHECK_FALSE(DecodeCall("i r 1 idempotent 1 2 s none 0", kStart, received));
  CHECK_FALSE(DecodeCall("i r 1 idempotent 1 2 s none 0 x", kStart, received));
  CHECK_FALSE(DecodeCall("i r 1 perhaps 1 2 s", kStart, received));
  CHECK_FALSE(DecodeLoad("1 2 0 4"));
  CHECK_FALSE(DecodeFailure("no_such_reason not_run reached 0"));
}

TEST_CASE("hop fields, failure, keeps whether the request may have run",
          "[proxy]")
{
  run_failure failure;
  failure.reason = run_failure_reason::full;
  failure.not_run = true;
  failure.retry_after = milliseconds(120);
  std::optional<run_failure> received = DecodeFailure(EncodeFailure(failure));
  REQUIRE(received);
  CHECK(received->reason == run_failure_reason::full);
  CHECK(received->not_run);
  CHECK_FALSE(received->reached_instance);
  CHECK(received->retry_after == milliseconds(120));
}
