// How a bad version is recognised and taken back, also beside other troubles.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "harness/mesh-world.h"
#include "mesh/role-assignment.h"
#include "rollout/version-comparison.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Requests of one version that end in one step of a test.
struct step_counts
{
  int requests = 0;
  int failed = 0;
};

/// Counts of two hosts with the old version and two with the new one, in steps
/// of 250 ms.
class history_fixture
{
public:
  void Step(const step_counts& aOld,
            const step_counts& aNew,
            milliseconds aOldTime = milliseconds(50),
            milliseconds aNewTime = milliseconds(50))
  {
    Count("old-1", "v1", aOld, aOldTime);
    Count("old-2", "v1", aOld, aOldTime);
    Count("new-1", "v2", aNew, aNewTime);
    Count("new-2", "v2", aNew, aNewTime);
    mNow += milliseconds(250);
    for (const auto& [host, samples] : mCounted) {
      reports.Add(host, 1, samples);
    }
    history.Update(reports, mNow);
  }

  version_verdict RecentVerdict() const
  {
    return CompareRecent(history, "v2").verdict;
  }

  version_verdict OverallVerdict() const
  {
    return CompareVersions(reports.Total(), "v2", 2).verdict;
  }

  sample_reports reports;
  sample_history history;

private:
  void Count(const std::string& aHost,
             const std::string& aVersion,
             const step_counts& aCounts,
             milliseconds aTime)
  {
    version_sample& sample = mCounted[aHost][aVersion]["route"];
    for (int i = 0; i < aCounts.requests; ++i) {
      sample.Add(i < aCounts.failed, aTime);
    }
  }

  host_samples mCounted;
  time_point mNow{ seconds(1000) };
};

/// Hosts of `order_fixture`: two with the old version, one with the new one.
constexpr std::size_t kOldHost = 0;
constexpr std::size_t kNewHost = 2;
constexpr std::size_t kHosts = 3;

/// A mesh with an open order, whose nodes are deciders. The counts come from
/// hosts that the test plays.
class order_fixture
{
public:
  order_fixture()
  {
    for (const char* version : { "v1", "v1", "v2" }) {
      world.AddHost("orders", version);
    }
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunUntilInstancesKnown();
    order.service = "orders";
    order.target_version = "v2";
    order.time_limit = seconds(60);
    order.order_id = { 1, 5 };
    order.revision = order.order_id;
    world.Store().SetOrder(order);
  }

  /// Adds requests to the counts of a host and reports them to the first node.
  void Report(const std::string& aHost,
              const std::string& aVersion,
              const step_counts& aCounts,
              std::size_t aTo = kOldHost)
  {
    version_sample& sample = counted[aHost];
    for (int i = 0; i < aCounts.requests; ++i) {
      sample.Add(i < aCounts.failed, milliseconds(50));
    }
    json report = { { "service", "orders" },
                    { "from", aHost },
                    { "order", order.order_id.number },
                    { "era", order.order_id.era } };
    report["samples"][aVersion]["route"] = { sample.requests,
                                             sample.failed,
                                             sample.time_buckets,
                                             sample.unanswered_buckets };
    CHECK(world.PostToNode(aTo, "/v1/evidence", report.dump()) == 200);
  }

  /// A host whose node is no decider of the order.
  std::size_t AddOtherHost()
  {
    constexpr std::size_t kAllHosts = 8;
    host_directory directory{ "node-0" };
    for (std::size_t host = 0; host < kAllHosts; ++host) {
      if (host >= kHosts) {
        world.AddHost("front", "v1");
      }
      host_record record;
      record.name = "node-" + std::to_string(host);
      record.domain = host % 2 == 0 ? "a" : "b";
      directory.Merge(record, time_point{});
    }
    world.RunUntilInstancesKnown();
    std::vector<std::string> deciders = DecidersOf(directory, "orders");
    std::size_t other = kHosts;
    while (IndexOf(deciders, "node-" + std::to_string(other)) >= 0) {
      ++other;
    }
    REQUIRE(other < kAllHosts);
    return other;
  }

  /// The rollout after a rollback.
  canary_rollout RolledBack() const
  {
    canary_rollout rollout;
    rollout.service = order.service;
    rollout.target_version = order.target_version;
    rollout.order_id = order.order_id;
    rollout.time_limit = order.time_limit;
    rollout.phase = canary_phase::rolled_back;
    return rollout;
  }

  /// Sends a request to the node beside the new version, as a node does that
  /// has not heard of its rollback. Returns the status of the answer.
  int SendToNewVersion()
  {
    return world.StatusOf(world.SendAsNode(kNewHost, "GET", "/orders/1"));
  }

  std::string PhaseAt(std::size_t aHost)
  {
    json moves = json::parse(world.Node(aHost).Dump()).at("moves");
    return moves.empty() ? "" : moves.at(0).at("phase").get<std::string>();
  }

  mesh_world world;
  canary_order order;
  std::map<std::string, version_sample> counted;
};

} // namespace

// Guards against EXPOSURE: failures of both versions in an outage hide that the
// new one alone goes on failing.
TEST_CASE_METHOD(order_fixture,
                 "rollout, outage of both versions has ended, failing version "
                 "is rolled back",
                 "[exposure]")
{
  constexpr milliseconds kStep{ 250 };
  for (int step = 0; step < 4; ++step) {
    Report("old-1", "v1", { 400, 320 });
    Report("new-1", "v2", { 10, 9 });
    Report("new-2", "v2", { 10, 9 });
    world.RunFor(kStep);
  }
  CHECK(PhaseAt(0) == "trial");
  // Half of `rollback_s`.
  for (int step = 0; step < 10 && PhaseAt(0) == "trial"; ++step) {
    Report("old-1", "v1", { 75, 0 });
    Report("new-1", "v2", { 2, 1 });
    Report("new-2", "v2", { 2, 1 });
    world.RunFor(kStep);
  }
  CHECK(PhaseAt(0) == "reverted");
}

// Guards against EXPOSURE, as above, for a version that is slow.
TEST_CASE_METHOD(history_fixture,
                 "recent comparison, both versions were slow in an outage, "
                 "slow version is bad",
                 "[exposure]")
{
  for (int step = 0; step < 20; ++step) {
    Step({ 40, 0 }, { 3, 0 }, seconds(2), seconds(2));
  }
  CHECK(RecentVerdict() == version_verdict::undecided);
  for (int step = 0; step < 10; ++step) {
    Step({ 40, 0 }, { 2, 0 }, milliseconds(50), milliseconds(400));
  }
  CHECK(OverallVerdict() == version_verdict::undecided);
  CHECK(RecentVerdict() == version_verdict::bad);
}

// Guards against EXPOSURE: a fault that begins late is diluted by the answers
// before it.
TEST_CASE_METHOD(history_fixture,
                 "recent comparison, fault begins late, is bad within two "
                 "seconds",
                 "[exposure]")
{
  for (int step = 0; step < 40; ++step) {
    Step({ 40, 1 }, { 10, 0 });
  }
  CHECK(RecentVerdict() == version_verdict::undecided);
  for (int step = 0; step < 8; ++step) {
    Step({ 40, 1 }, { 3, 1 });
  }
  CHECK(RecentVerdict() == version_verdict::bad);
}

// Guards against a good version that is rolled back since most of its requests
// come in the outage that hits both versions.
TEST_CASE_METHOD(history_fixture,
                 "recent comparison, burst of requests in an outage of both "
                 "versions, is undecided",
                 "[exposure]")
{
  for (int step = 0; step < 20; ++step) {
    Step({ 40, 0 }, { 1, 0 });
  }
  for (int step = 0; step < 8; ++step) {
    Step({ 40, 24 }, { 20, 12 });
    CHECK(RecentVerdict() == version_verdict::undecided);
  }
}

TEST_CASE_METHOD(history_fixture,
                 "recent comparison, no old version at the time, is undecided",
                 "[exposure]")
{
  for (int step = 0; step < 8; ++step) {
    Step({ 0, 0 }, { 20, 12 });
  }
  CHECK(RecentVerdict() == version_verdict::undecided);
}

// Guards against EXPOSURE: the news of a rollback is lost, and a node goes on
// sending to the new version.
TEST_CASE_METHOD(order_fixture,
                 "rolled back version, news of it is lost, gets no requests",
                 "[exposure]")
{
  SECTION("the node beside the instance knows")
  {
    world.Node(kNewHost).OnCanaryUpdates({ RolledBack() });
  }
  SECTION("a decider knows")
  {
    REQUIRE(SendToNewVersion() == 200);
    world.Node(kOldHost).OnCanaryUpdates({ RolledBack() });
    // The node beside the instance reports its counts twice.
    world.RunFor(milliseconds(600));
  }
  unsigned before = world.RunCount(kNewHost);
  CHECK(SendToNewVersion() != 200);
  CHECK(world.RunCount(kNewHost) == before);
}

// Guards against EXPOSURE: the deciders are lost, and the node that others take
// for one does not know of it yet.
TEST_CASE_METHOD(order_fixture,
                 "counts of others, node is no decider to its knowledge, rolls "
                 "a bad version back",
                 "[exposure]")
{
  std::size_t other = AddOtherHost();
  world.Store().SetOrder(order);
  Report("old-1", "v1", { 100, 0 }, other);
  Report("new-1", "v2", { 10, 5 }, other);
  Report("new-2", "v2", { 10, 5 }, other);
  world.RunFor(milliseconds(500));
  CHECK(PhaseAt(other) == "reverted");
}

// Guards against EXPOSURE: in an outage of both versions, in which failures of
// the new one show nothing, it gets as many requests as ever.
TEST_CASE_METHOD(order_fixture,
                 "canary phase, old version fails most requests, holds canary "
                 "requests",
                 "[exposure]")
{
  REQUIRE(SendToNewVersion() == 200);
  for (int step = 0; step < 8; ++step) {
    Report("old-1", "v1", { 100, 80 });
    world.RunFor(milliseconds(250));
  }
  unsigned before = world.RunCount(kNewHost);
  CHECK(SendToNewVersion() != 200);
  CHECK(world.RunCount(kNewHost) == before);
  // It gets requests again when the old version does not fail any more.
  for (int step = 0; step < 12; ++step) {
    Report("old-1", "v1", { 100, 0 });
    world.RunFor(milliseconds(250));
  }
  CHECK(SendToNewVersion() == 200);
  CHECK(PhaseAt(kNewHost) == "trial");
}

// Guards against CONFIG: the deciders end a rollout differently than the store,
// and all requests of the service are refused (review/3).
TEST_CASE_METHOD(order_fixture,
                 "rollout, store has recorded the completion beside a "
                 "rollback, is complete",
                 "[exposure]")
{
  for (std::size_t host = 0; host < kHosts; ++host) {
    world.Node(host).OnCanaryUpdates({ RolledBack() });
  }
  order.phase = canary_phase::complete;
  order.recorded = true;
  world.Store().SetOrder(order);
  for (std::size_t host = 0; host < kHosts; ++host) {
    CHECK(PhaseAt(host) == "complete");
  }
  unsigned before = world.RunCount(kNewHost);
  result<buffered_response> answer =
    world.SendRequest(kOldHost, "GET", "/orders/1");
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(world.RunCount(kNewHost) == before + 1);
}

// Guards against EXPOSURE: the next order makes a version that was rolled back
// an ordinary one until its instances have left.
TEST_CASE("version selector, next order after a rollback, version gets no "
          "requests",
          "[exposure]")
{
  version_selector selector;
  canary_rollout rollout;
  rollout.service = "orders";
  rollout.target_version = "v2";
  rollout.order_id = { 1, 5 };
  rollout.phase = canary_phase::rolled_back;
  selector.Merge(rollout);
  rollout.target_version = "v3";
  rollout.order_id = { 1, 9 };
  rollout.phase = canary_phase::canary;
  selector.Merge(rollout);
  CHECK(selector.ServesOrdinaryRequests("orders", "v1"));
  CHECK_FALSE(selector.ServesOrdinaryRequests("orders", "v2"));
  SECTION("after two rollbacks")
  {
    rollout.phase = canary_phase::rolled_back;
    selector.Merge(rollout);
    CHECK_FALSE(selector.ServesOrdinaryRequests("orders", "v2"));
    CHECK_FALSE(selector.ServesOrdinaryRequests("orders", "v3"));
  }
  SECTION("it is ordered again")
  {
    rollout.target_version = "v2";
    rollout.order_id = { 1, 12 };
    rollout.phase = canary_phase::complete;
    selector.Merge(rollout);
    CHECK(selector.ServesOrdinaryRequests("orders", "v2"));
  }
}

// Guards against EXPOSURE: what a node has counted is lost in its restart.
TEST_CASE("sample reports, node restarts, its earlier counts are kept",
          "[exposure]")
{
  version_samples before;
  before["v2"]["route"].Add(true, milliseconds(5));
  before["v2"]["route"].Add(true, milliseconds(5));
  version_samples after;
  after["v2"]["route"].Add(false, milliseconds(5));
  sample_reports reports;
  reports.Add("host", 200, before);
  // Its clock was set back.
  reports.Add("host", 100, after);
  reports.Add("host", 200, before); // late
  reports.Add("host", 100, after);
  const version_sample& sum = reports.Total().at("v2").at("route");
  CHECK(sum.requests == 3);
  CHECK(sum.failed == 2);
}
