#include "integration/fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::seconds;

namespace {

/// Eight nodes with the example declaration; rollouts have the id `move`.
class rollout_fixture : public deployment_fixture
{
public:
  rollout_fixture()
    : deployment_fixture(fleet_shape{ 8, 4 })
  {
    Start();
    ApplyExample("seri-kenanga");
  }

  /// Starts four upstreams of each version. Those of `v2` fail the given
  /// percentage of calls.
  void StartBothVersions(double aFailPercent)
  {
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.StartUpstream(i, { "rota-board", "v1", 12, {} });
      fleet.StartUpstream(
        4 + i,
        { "rota-board",
          "v2",
          12,
          { "--fail-percent=" + std::to_string(aFailPercent) } });
    }
    REQUIRE(WaitForUpstreams(0, "v2", 4));
    REQUIRE(WaitForUpstreams(0, "v1", 4));
  }

  /// Starts a rollout to `v2` that must be complete after `aSeconds`.
  void StartRollout(int aSeconds)
  {
    auto started = fleet.RunCtl(1,
                                { "rollout",
                                  "start",
                                  "rota-board",
                                  "v2",
                                  "--by=+" + std::to_string(aSeconds) + "s",
                                  "--operation-id=move" });
    INFO(started.output);
    REQUIRE(started.status == 0);
  }

  json Status(std::size_t aNode = 0)
  {
    return fleet.RpcJson(aNode, "GET", "/v1/rollouts/move");
  }

  bool WaitForStatus(const std::string& aStatus, int aSeconds)
  {
    return fleet.WaitUntil(seconds(aSeconds), [&] {
      return Status().value("standing", "") == aStatus;
    });
  }
};

} // namespace

TEST_CASE_METHOD(
  rollout_fixture,
  "Rollout_GoodVersionDuringStoreOutage_CompletesAndIsRecordedLater",
  "[rollout]")
{
  StartBothVersions(0);
  load_options options = MakeLoadOptions("GET", "/status/x");
  load_generator load(fleet.Loop(), options);
  load.Start();
  StartRollout(20);
  fleet.RunFor(seconds(2));
  fleet.SetFaults(fleet.StoreEndpoint(), { { "out", true } });
  REQUIRE(WaitForStatus("done_not_recorded", 40));
  fleet.SetFaults(fleet.StoreEndpoint(), { { "out", false } });
  REQUIRE(WaitForStatus("done", 40));
  load.Stop();
  REQUIRE(WaitUntilDrained(load));
  INFO(load.Report().failure_texts);
  REQUIRE(load.Report().succeeded == load.Report().started);
  RequireNoBrokenInvariant();
}

TEST_CASE_METHOD(
  rollout_fixture,
  "Rollout_BadVersionDuringStoreOutage_IsRolledBackAndRecordedLater",
  "[rollout]")
{
  StartBothVersions(60);
  load_options options = MakeLoadOptions("GET", "/status/x");
  options.callers = 200;
  load_generator load(fleet.Loop(), options);
  load.Start();
  StartRollout(40);
  fleet.RunFor(seconds(1));
  fleet.SetFaults(fleet.StoreEndpoint(), { { "out", true } });
  REQUIRE(WaitForStatus("taken_back_not_recorded", 45));
  load.ResetReport();
  load.SetNewVersion("v2");
  fleet.RunFor(seconds(2));
  REQUIRE(load.Report().from_new_version == 0);
  fleet.SetFaults(fleet.StoreEndpoint(), { { "out", false } });
  REQUIRE(WaitForStatus("taken_back", 40));
  load.Stop();
  RequireNoBrokenInvariant();
}

TEST_CASE_METHOD(rollout_fixture,
                 "Rollout_OperatorRollsBack_EndsAndRefusesFurtherCommands",
                 "[rollout]")
{
  StartBothVersions(0);
  StartRollout(600);
  auto second =
    fleet.RunCtl(2, { "rollout", "start", "rota-board", "v3", "--by=+60s" });
  REQUIRE(second.status == MappingOf(error_kind::conflict).exit_code);
  auto past =
    fleet.RunCtl(2, { "rollout", "start", "shift-desk", "v3", "--by=1000" });
  REQUIRE(past.status == MappingOf(error_kind::invalid_argument).exit_code);
  auto rolledBack = fleet.RunCtl(3, { "rollout", "take-back", "move" });
  INFO(rolledBack.output);
  REQUIRE(rolledBack.status == 0);
  REQUIRE(WaitForStatus("taken_back", 10));
  auto again = fleet.RunCtl(3, { "rollout", "pause", "move" });
  REQUIRE(again.status == MappingOf(error_kind::conflict).exit_code);
}

TEST_CASE_METHOD(rollout_fixture,
                 "Rollout_VersionWithoutUpstream_WaitsAndReportsTheReason",
                 "[rollout]")
{
  fleet.StartUpstream(0, { "rota-board", "v1", 12, {} });
  REQUIRE(WaitForUpstreams(0, "v1", 1));
  StartRollout(30);
  REQUIRE(fleet.WaitUntil(seconds(10), [&] {
    for (std::size_t i = 0; i < 8; ++i) {
      if (Status(i).value("step", "") == "waiting_for_upstreams") {
        return true;
      }
    }
    return false;
  }));
  REQUIRE(Status().value("share_percent", -1.0) == 0.0);
}
