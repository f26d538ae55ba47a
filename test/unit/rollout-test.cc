#include <catch2/catch.hpp>

#include "rollout/evidence-recorder.h"
#include "rollout/rollout-evaluator.h"
#include "rollout/rollout-plan.h"
#include "rollout/rollout-state.h"

using namespace eelgrasstrack;

namespace {

evidence_window
MakeWindow(std::uint32_t aNewTrials, std::uint32_t aNewFailures)
{
  evidence_window window;
  window.route = "status";
  window.trial_share = 500;
  window.timed_share = 500;
  window.old_version = { 100, 0, 100, 0 };
  window.new_version = { aNewTrials, aNewFailures, 0, 0 };
  return window;
}

evidence_report
MakeReport(const std::string& aReporter,
           std::uint64_t aFirst,
           std::size_t aWindows)
{
  evidence_report report;
  report.rollout = "move";
  report.reporter = aReporter;
  report.incarnation = 1;
  report.first_window = aFirst;
  report.windows.assign(aWindows, MakeWindow(5, 1));
  report.totals.callers_with_events = 3;
  report.totals.callers_exposed = 10;
  return report;
}

plan_input
MakePlanInput(double aProgress, std::uint32_t aShare)
{
  plan_input input;
  input.start_ms = 1000000;
  input.deadline_ms = input.start_ms + 1000000;
  input.now_ms = input.start_ms + static_cast<std::int64_t>(aProgress * 900000);
  input.share = aShare;
  input.raised_ms = input.start_ms - 1000000;
  input.old_slots = 48;
  input.new_slots = 48;
  input.trials_since_raise = 1000;
  return input;
}

} // namespace

TEST_CASE("RolloutState_HaltAndRaiseMergedInAnyOrder_HaltWins",
          "[rollout-state]")
{
  rollout_state raised;
  raised.id = "move";
  raised.share = 5000;
  rollout_state halt;
  halt.id = "move";
  halt.halted = true;
  halt.halt_reason = "bad";
  rollout_state_table first;
  first.Merge(raised);
  first.Merge(halt);
  rollout_state_table second;
  second.Merge(halt);
  second.Merge(raised);
  REQUIRE(first.Find("move")->halted);
  REQUIRE(second.Find("move")->halted);
  REQUIRE(second.Find("move")->share == 0);
  REQUIRE(first.Hash() == second.Hash());
  REQUIRE(!IsExposed(*first.Find("move"), "caller-1"));
}

TEST_CASE("RolloutState_ShareRises_SameCallersStayExposed", "[rollout-state]")
{
  rollout_state state;
  state.id = "move";
  std::set<int> exposed;
  for (std::uint32_t share : { 100U, 500U, 2500U, kFullShare }) {
    state.share = share;
    std::set<int> now;
    for (int i = 0; i < 2000; ++i) {
      if (IsExposed(state, "caller-" + std::to_string(i))) {
        now.insert(i);
      }
    }
    for (int earlier : exposed) {
      REQUIRE(now.count(earlier) == 1);
    }
    exposed = now;
  }
  REQUIRE(exposed.size() == 2000);
}

TEST_CASE("RolloutEvaluator_DuplicateAndReorderedReports_EachWindowCountsOnce",
          "[rollout-judge]")
{
  rollout_evaluator once((evaluator_options()));
  REQUIRE(once.AddReport(MakeReport("a", 0, 3)) == 3);
  REQUIRE(once.AddReport(MakeReport("b", 0, 1)) == 1);
  rollout_evaluator reordered((evaluator_options()));
  REQUIRE(reordered.AddReport(MakeReport("a", 0, 2)) == 2);
  REQUIRE(reordered.AddReport(MakeReport("a", 0, 2)) == 2);
  REQUIRE(reordered.AddReport(MakeReport("b", 0, 1)) == 1);
  REQUIRE(reordered.AddReport(MakeReport("a", 3, 1)) == 2);
  REQUIRE(reordered.AddReport(MakeReport("a", 1, 2)) == 3);
  REQUIRE(reordered.GreatestStatistic() == Approx(once.GreatestStatistic()));
  REQUIRE(reordered.Routes().at("status").new_version.failures == 4);
}

TEST_CASE("RolloutEvaluator_OneOfFourInstancesFails_InstanceIsEjected",
          "[rollout-judge]")
{
  evaluator_options options;
  rollout_evaluator evaluator(options);
  evaluation_result result;
  for (int i = 0; i < 60 && result.verdict < rollout_verdict::eject_instance;
       ++i) {
    evidence_window window = MakeWindow(4, 1);
    for (int instance = 0; instance < 4; ++instance) {
      window.instances.push_back({ "node-" + std::to_string(instance),
                                   { 1, instance == 2 ? 1U : 0U, 0, 0 } });
    }
    evaluator.AddWindow(window);
    result = evaluator.Evaluate();
  }
  REQUIRE(result.verdict == rollout_verdict::eject_instance);
  REQUIRE(result.node == "node-2");
  REQUIRE(evaluator.Evaluate().verdict == rollout_verdict::none);
}

TEST_CASE("RolloutEvaluator_EveryInstanceFails_RolloutIsHalted",
          "[rollout-judge]")
{
  rollout_evaluator evaluator((evaluator_options()));
  evaluation_result result;
  for (int i = 0; i < 60 && result.verdict < rollout_verdict::eject_instance;
       ++i) {
    evidence_window window = MakeWindow(4, 2);
    for (int instance = 0; instance < 4; ++instance) {
      bool fails = (i + instance) % 2 == 0;
      window.instances.push_back(
        { "node-" + std::to_string(instance), { 1, fails ? 1U : 0U, 0, 0 } });
    }
    evaluator.AddWindow(window);
    result = evaluator.Evaluate();
  }
  REQUIRE(result.verdict == rollout_verdict::halt);
}

TEST_CASE("RolloutPlan_GoodVersion_CompletesBeforeTheDeadline",
          "[rollout-plan]")
{
  std::uint32_t share = 0;
  bool complete = false;
  plan_input input = MakePlanInput(0, 0);
  for (; input.now_ms <= input.deadline_ms && !complete; input.now_ms += 1000) {
    plan_output output = PlanNext(input);
    REQUIRE(output.share >= share);
    if (output.step == plan_step::raise) {
      input.raised_ms = input.now_ms;
    }
    share = output.share;
    input.share = share;
    complete = output.step == plan_step::complete;
  }
  REQUIRE(share == kFullShare);
  REQUIRE(complete);
}

TEST_CASE("RolloutPlan_HalfOfThePlannedTimeElapsed_ShareIsSmall",
          "[rollout-plan]")
{
  plan_output output = PlanNext(MakePlanInput(0.5, 200));
  REQUIRE(output.share <= 500);
}

TEST_CASE("RolloutPlan_FewNewSlots_ShareIsLimitedByCapacity", "[rollout-plan]")
{
  plan_input input = MakePlanInput(0.95, 5000);
  input.new_slots = 12;
  input.busy_slots = 40;
  plan_output output = PlanNext(input);
  REQUIRE(output.share <= 5000);
  REQUIRE(output.step == plan_step::waiting_for_upstreams);
}

TEST_CASE("RolloutPlan_NoUpstreamOfTheVersion_WaitsAtZero", "[rollout-plan]")
{
  plan_input input = MakePlanInput(0.5, 0);
  input.new_slots = 0;
  plan_output output = PlanNext(input);
  REQUIRE(output.step == plan_step::waiting_for_upstreams);
  REQUIRE(output.share == 0);
}

TEST_CASE("RolloutPlan_RouteWithFewCalls_RaisesShareEarlier", "[rollout-plan]")
{
  plan_input input = MakePlanInput(0.2, 200);
  plan_output manyCalls = PlanNext(input);
  input.least_called_route_rate = 0.05;
  plan_output fewCalls = PlanNext(input);
  REQUIRE(manyCalls.share == 200);
  REQUIRE(fewCalls.share > 200);
}

TEST_CASE("RolloutPlan_TooFewTrialsAtCurrentShare_HoldsNextStep",
          "[rollout-plan]")
{
  plan_input input = MakePlanInput(0.3, 100);
  input.raised_ms = input.now_ms - 5000;
  input.trials_since_raise = 3;
  REQUIRE(PlanNext(input).step == plan_step::hold);
  input.trials_since_raise = 30;
  REQUIRE(PlanNext(input).step == plan_step::raise);
}

TEST_CASE("CallerDistribution_HeavyCallers_ShareFollowsTheirCalls",
          "[evidence]")
{
  caller_distribution distribution;
  for (int i = 0; i < 900; ++i) {
    distribution.Add(50);
  }
  for (int i = 0; i < 100; ++i) {
    distribution.Add(9000);
  }
  REQUIRE(distribution.CallShareBelow(100) >= 8900);
  REQUIRE(distribution.CallShareBelow(0) == 0);
  REQUIRE(distribution.CallShareBelow(kFullShare) == kFullShare);
}

TEST_CASE("EvidenceRecorder_ManyCallsOfOneCaller_CountOncePerSecond",
          "[evidence]")
{
  time_point now = time_point(std::chrono::hours(1));
  evidence_recorder recorder("move", now);
  for (std::uint64_t i = 0; i < 20; ++i) {
    recorded_attempt attempt{ "status", "caller-1", "node-1", true,
                              true,     false,      {} };
    recorder.OnAttemptStarted(i, attempt, now);
    recorder.OnAttemptFinished(i, attempt, true);
  }
  std::vector<evidence_window> windows = recorder.Flush(now);
  REQUIRE(windows.size() == 1);
  REQUIRE(windows[0].new_version.trials == 1);
  REQUIRE(windows[0].new_version.failures == 1);
}

TEST_CASE("EvidenceRecorder_CallerFailsOnOldVersion_OldFailuresAreCounted",
          "[evidence]")
{
  time_point now = time_point(std::chrono::hours(1));
  evidence_recorder recorder("move", now);
  std::uint32_t oldFailures = 0;
  for (std::uint64_t second = 0; second < 20; ++second) {
    recorded_attempt attempt{ "status", "caller-1", "node-1", false,
                              true,     false,      {} };
    recorder.OnAttemptFinished(second, attempt, true);
    now += std::chrono::seconds(1);
    for (const evidence_window& window : recorder.Flush(now)) {
      oldFailures += window.old_version.failures;
    }
  }
  REQUIRE(oldFailures == 20);
}
