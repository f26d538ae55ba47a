#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "mesh/canary-schedule.h"
#include "mesh/host-directory.h"
#include "mesh/role-assignment.h"
#include "rollout/version-comparison.h"
#include "traffic/traffic-table.h"
#include "wire/compression.h"

using namespace eelgrasstrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point kStart = time_point(std::chrono::hours(1));

host_record
Host(const std::string& aName, const std::string& aDomain)
{
  host_record record;
  record.name = aName;
  record.domain = aDomain;
  record.hop = { "10.0.0.1", 7000 };
  record.control = { "10.0.0.1", 7001 };
  record.incarnation = 100;
  record.instance.id = "i-" + aName;
  record.instance.service = "orders";
  record.instance.version = "v1";
  record.instance.address = { "10.0.0.1", 7002 };
  record.instance.state = instance_state::ready;
  return record;
}

class directory_fixture
{
public:
  host_directory directory{ "a-1" };

  directory_fixture()
  {
    for (const char* name : { "a-1", "a-2", "a-3", "b-1", "b-2", "b-3" }) {
      directory.Merge(Host(name, std::string(1, name[0])), kStart);
    }
  }
};

class comparison_fixture
{
public:
  version_samples samples;

  void AddRequests(const std::string& aVersion,
                   int aRequests,
                   int aFailed,
                   milliseconds aServiceTime)
  {
    for (int i = 0; i < aRequests; ++i) {
      samples[aVersion]["route"].Add(i < aFailed, aServiceTime);
    }
  }

  void AddRunning(const std::string& aVersion,
                  int aRequests,
                  milliseconds aElapsed)
  {
    for (int i = 0; i < aRequests; ++i) {
      samples[aVersion]["route"].AddUnanswered(aElapsed);
    }
  }

  version_verdict Verdict() const
  {
    return CompareVersions(samples, "v2", failing_hosts).verdict;
  }

  std::size_t failing_hosts = 1;
};

std::vector<traffic_route>
Routes()
{
  traffic_route root;
  root.name = "root";
  root.host = "h.example";
  root.prefix = "/";
  root.targets = { { "orders", 1 } };
  traffic_route deep = root;
  deep.name = "deep";
  deep.prefix = "/a/b/";
  return { root, deep };
}

} // namespace

TEST_CASE("traffic table, several prefixes match, uses the longest", "[mesh]")
{
  auto table =
    traffic_table::Build({ 1, {}, Routes(), { { "orders", {} } }, {} });
  REQUIRE(table);
  CHECK((*table)->Match("H.example:80", "/a/b/c?x=/")->name == "deep");
  CHECK((*table)->Match("h.example", "/a/b")->name == "root");
  CHECK((*table)->Match("other.example", "/a/b/") == nullptr);
}

TEST_CASE("traffic table, route to an unknown service, is rejected", "[mesh]")
{
  CHECK_FALSE(
    traffic_table::Build({ 1, {}, Routes(), { { "other", {} } }, {} }));
}

TEST_CASE("traffic table, prefix without a trailing slash, is rejected",
          "[mesh]")
{
  std::vector<traffic_route> routes = Routes();
  routes[1].prefix = "/a/b";
  CHECK_FALSE(
    traffic_table::Build({ 1, {}, routes, { { "orders", {} } }, {} }));
}

TEST_CASE_METHOD(
  directory_fixture,
  "host directory, record of an earlier incarnation, is not merged",
  "[mesh]")
{
  host_record restarted = Host("b-1", "b");
  restarted.incarnation = 200;
  REQUIRE(directory.Merge(restarted, kStart));
  host_record late = Host("b-1", "b");
  late.sequence = 50;
  CHECK_FALSE(directory.Merge(late, kStart));
}

TEST_CASE_METHOD(directory_fixture,
                 "host directory, draining instance, is not serving",
                 "[mesh]")
{
  host_record draining = Host("b-1", "b");
  draining.sequence = 1;
  draining.instance.state = instance_state::draining;
  directory.Merge(draining, kStart);
  CHECK(directory.ServingHosts("orders").size() == 5);
}

TEST_CASE_METHOD(directory_fixture,
                 "host directory, serving hosts, reflect each change",
                 "[mesh]")
{
  REQUIRE(directory.ServingHosts("orders").size() == 6);
  host_record leaving = Host("a-1", "a");
  leaving.sequence = 1;
  leaving.leaving = true;
  directory.Merge(leaving, kStart);
  CHECK(directory.ServingHosts("orders").size() == 5);
  directory.Merge(Host("a-4", "a"), kStart);
  CHECK(directory.ServingHosts("orders").size() == 6);
  directory.MarkUnreachable("b-1", kStart);
  directory.RemoveUnreachable(seconds(60), kStart + seconds(61));
  CHECK(directory.ServingHosts("orders").size() == 5);
  CHECK(directory.ServingHosts("other").empty());
}

TEST_CASE_METHOD(
  directory_fixture,
  "host directory, newer record of an unreachable host, marks it reachable",
  "[mesh]")
{
  directory.MarkUnreachable("b-1", kStart);
  CHECK(directory.Find("b-1")->unreachable);
  host_record later = Host("b-1", "b");
  later.sequence = 1;
  directory.Merge(later, kStart);
  CHECK_FALSE(directory.Find("b-1")->unreachable);
}

TEST_CASE_METHOD(directory_fixture,
                 "host directory, host unreachable for over 60 s, is removed",
                 "[mesh]")
{
  directory.MarkUnreachable("b-1", kStart);
  CHECK(directory.RemoveUnreachable(seconds(60), kStart + seconds(59)).empty());
  std::vector<host_record> removed =
    directory.RemoveUnreachable(seconds(60), kStart + seconds(61));
  REQUIRE(removed.size() == 1);
  CHECK(removed.front().name == "b-1");
}

TEST_CASE_METHOD(directory_fixture,
                 "host directory, most hosts unreachable, removes none",
                 "[mesh]")
{
  // Otherwise both sides of a long partition would remove each other and could
  // not reconnect.
  for (const char* name : { "a-2", "a-3", "b-1", "b-2", "b-3" }) {
    directory.MarkUnreachable(name, kStart);
  }
  CHECK(directory.RemoveUnreachable(seconds(60), kStart + seconds(61)).empty());
}

TEST_CASE_METHOD(directory_fixture,
                 "host directory, record of a removed host, clears the removal",
                 "[mesh]")
{
  directory.MarkUnreachable("b-1", kStart);
  REQUIRE(
    directory.RemoveUnreachable(seconds(60), kStart + seconds(61)).size() == 1);
  CHECK(directory.WasRemoved("b-1"));
  directory.Merge(Host("b-1", "b"), kStart + seconds(70));
  CHECK_FALSE(directory.WasRemoved("b-1"));
}

TEST_CASE_METHOD(
  directory_fixture,
  "role assignment, unreachable watcher, is replaced by another host",
  "[mesh]")
{
  std::vector<std::string> before = WatchersOf(directory, "b");
  REQUIRE(before.size() == 2);
  directory.MarkUnreachable(before[0], kStart);
  std::vector<std::string> after = WatchersOf(directory, "b");
  REQUIRE(after.size() == 2);
  CHECK(IndexOf(after, before[0]) == -1);
  CHECK(IndexOf(after, before[1]) == 0);
}

TEST_CASE_METHOD(directory_fixture,
                 "role assignment, unreachable first decider, is replaced",
                 "[mesh]")
{
  std::vector<std::string> before = DecidersOf(directory, "orders");
  REQUIRE(before.size() == 3);
  directory.MarkUnreachable(before[0], kStart);
  std::vector<std::string> after = DecidersOf(directory, "orders");
  CHECK(after.size() == 3);
  CHECK(IndexOf(after, before[0]) == -1);
}

TEST_CASE("host record, encoded and decoded, is unchanged", "[mesh]")
{
  host_record record = Host("a-1", "a");
  record.leaving = true;
  result<host_record> read = DecodeHostRecord(EncodeHostRecord(record));
  REQUIRE(read);
  CHECK(*read == record);
}

TEST_CASE("host record, malformed, is rejected", "[mesh]")
{
  CHECK_FALSE(DecodeHostRecord(nlohmann::json()));
  CHECK_FALSE(DecodeHostRecord(nlohmann::json::array()));
  CHECK_FALSE(DecodeHostRecord({ { "name", "a" }, { "domain", 7 } }));
}

TEST_CASE_METHOD(comparison_fixture,
                 "version comparison, half of the requests fail, is bad",
                 "[mesh]")
{
  AddRequests("v1", 300, 1, milliseconds(80));
  AddRequests("v2", 16, 8, milliseconds(80));
  CHECK(Verdict() == version_verdict::bad);
}

TEST_CASE_METHOD(comparison_fixture,
                 "version comparison, half of the requests are slow, is bad",
                 "[mesh]")
{
  AddRequests("v1", 300, 1, milliseconds(80));
  AddRequests("v2", 10, 0, milliseconds(80));
  AddRequests("v2", 10, 0, milliseconds(700));
  CHECK(Verdict() == version_verdict::bad);
}

TEST_CASE_METHOD(comparison_fixture,
                 "version comparison, warm-up at twice the time, is undecided",
                 "[mesh]")
{
  AddRequests("v1", 300, 1, milliseconds(80));
  AddRequests("v2", 30, 0, milliseconds(150));
  CHECK(Verdict() == version_verdict::undecided);
}

TEST_CASE_METHOD(
  comparison_fixture,
  "version comparison, few failures on two hosts, old has none, is bad",
  "[mesh]")
{
  AddRequests("v1", 1078, 0, milliseconds(80));
  AddRequests("v2", 41, 3, milliseconds(80));
  failing_hosts = 2;
  CHECK(Verdict() == version_verdict::bad);
}

TEST_CASE_METHOD(
  comparison_fixture,
  "version comparison, few failures on one host, old has none, is undecided",
  "[mesh]")
{
  AddRequests("v1", 1078, 0, milliseconds(80));
  AddRequests("v2", 41, 3, milliseconds(80));
  CHECK(Verdict() == version_verdict::undecided);
}

TEST_CASE_METHOD(
  comparison_fixture,
  "version comparison, all slow while some old hosts are slow too, is bad",
  "[mesh]")
{
  AddRequests("v1", 540, 1, milliseconds(80));
  AddRequests("v1", 180, 1, milliseconds(640));
  AddRequests("v2", 52, 0, milliseconds(480));
  CHECK(Verdict() == version_verdict::bad);
}

TEST_CASE_METHOD(
  comparison_fixture,
  "version comparison, new instances at a third of the speed, is undecided",
  "[mesh]")
{
  AddRequests("v1", 380, 1, milliseconds(60));
  AddRequests("v1", 320, 1, milliseconds(180));
  AddRequests("v2", 100, 0, milliseconds(180));
  CHECK(Verdict() == version_verdict::undecided);
}

TEST_CASE_METHOD(
  comparison_fixture,
  "version comparison, both versions fail at a similar rate, is undecided",
  "[mesh]")
{
  AddRequests("v1", 300, 60, milliseconds(80));
  AddRequests("v2", 30, 7, milliseconds(80));
  CHECK(Verdict() == version_verdict::undecided);
}

TEST_CASE("compression, text, round-trips and malformed input is rejected",
          "[mesh]")
{
  std::string text(100000, 'x');
  text += "end";
  std::string packed = Compress(text);
  CHECK(packed.size() < 1000);
  CHECK(Decompress(packed, 200000).value() == text);
  CHECK(Decompress(packed, 1000).error().kind == error_kind::too_large);
  CHECK_FALSE(Decompress("no packed bytes", 1000));
  CHECK_FALSE(Decompress(packed.substr(0, packed.size() / 2), 200000));
}

TEST_CASE(
  "canary schedule, short time limits, leave time to promote and to record",
  "[mesh]")
{
  for (int limitSeconds : { 4, 12, 14, 16, 60 }) {
    canary_schedule schedule = ScheduleFor(seconds(limitSeconds));
    CHECK(schedule.promote_at < schedule.complete_at);
    CHECK(schedule.complete_at < seconds(limitSeconds));
    CHECK(schedule.promote_at >= seconds(limitSeconds) / 2);
  }
}

TEST_CASE_METHOD(comparison_fixture,
                 "version comparison, slow requests still run, is bad",
                 "[mesh]")
{
  // The first answers of a slow version end long after it was promoted.
  AddRequests("v1", 400, 0, milliseconds(300));
  AddRequests("v2", 8, 0, milliseconds(300));
  CHECK(Verdict() == version_verdict::undecided);
  AddRunning("v2", 8, milliseconds(1900));
  CHECK(Verdict() == version_verdict::bad);
}

TEST_CASE_METHOD(comparison_fixture,
                 "version comparison, requests just started, is undecided",
                 "[mesh]")
{
  AddRequests("v1", 400, 0, milliseconds(300));
  AddRequests("v2", 8, 0, milliseconds(300));
  AddRunning("v2", 40, milliseconds(200));
  CHECK(Verdict() == version_verdict::undecided);
}

TEST_CASE_METHOD(comparison_fixture,
                 "version comparison, both versions hold requests long, is "
                 "undecided",
                 "[mesh]")
{
  AddRequests("v1", 100, 0, milliseconds(300));
  AddRunning("v1", 60, milliseconds(1900));
  AddRequests("v2", 10, 0, milliseconds(300));
  AddRunning("v2", 6, milliseconds(1900));
  CHECK(Verdict() == version_verdict::undecided);
}

TEST_CASE("canary schedule, decider learned of the order late, waits for the "
          "counts of others",
          "[mesh]")
{
  canary_schedule schedule = ScheduleFor(seconds(12));
  CHECK_FALSE(MayPromote(schedule, seconds(11), milliseconds(200)));
  CHECK(MayPromote(schedule, seconds(11), seconds(5)));
  CHECK_FALSE(MayPromote(schedule, seconds(5), seconds(5)));
}

TEST_CASE("canary schedule, fault stays undetected, keeps to the allowed "
          "exposure",
          "[mesh]")
{
  // A version that fails only under load is not detected in a service with
  // little load, so all requests after the promotion count.
  constexpr duration kLimit = seconds(12);
  for (double perSecond : { 5.0, 15.0, 78.0, 100.0, 250.0, 900.0 }) {
    canary_exposure exposure;
    exposure.allowed_share = 0.1;
    exposure.allowed_slack = 50;
    exposure.requests = perSecond * 10;
    exposure.canary_requests = 0.03 * exposure.requests + 10;
    canary_schedule schedule = ScheduleFor(kLimit, seconds(10), exposure);
    CHECK(schedule.promote_at < schedule.complete_at);
    CHECK(schedule.complete_at < kLimit);
    double promotedSeconds =
      std::chrono::duration<double>(kLimit - schedule.promote_at).count();
    double exposed = exposure.canary_requests + perSecond * promotedSeconds;
    CHECK(exposed <=
          exposure.allowed_share * perSecond * 12 + exposure.allowed_slack);
  }
}

TEST_CASE("canary schedule, no request counted yet, is the usual one", "[mesh]")
{
  CHECK(ScheduleFor(seconds(12), seconds(10), {}).promote_at ==
        ScheduleFor(seconds(12)).promote_at);
}
