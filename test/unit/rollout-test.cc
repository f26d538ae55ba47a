#include <catch2/catch.hpp>

#include "rollout/evidence-recorder.h"
#include "rollout/rollout-judge.h"
#include "rollout/rollout-plan.h"
#include "rollout/rollout-state.h"

using namespace eelgrasstrack;

namespace {

evidence_window
Window(std::uint32_t aNewTrials, std::uint32_t aNewFailures)
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
Report(const std::string& aReporter, std::uint64_t aFirst, std::size_t aWindows)
{
  evidence_report report;
  report.rollout = "move";
  report.reporter = aReporter;
  report.incarnation = 1;
  report.first_window = aFirst;
  report.windows.assign(aWindows, Window(5, 1));
  report.totals.callers_with_events = 3;
  report.totals.callers_exposed = 10;
  return report;
}

plan_input
Plan(double aProgress, std::uint32_t aShare)
{
  plan_input input;
  input.start_ms = 1000000;
  input.by_ms = input.start_ms + 1000000;
  input.now_ms = input.start_ms + static_cast<std::int64_t>(aProgress * 900000);
  input.share = aShare;
  input.raised_ms = input.start_ms - 1000000;
  input.old_slots = 48;
  input.new_slots = 48;
  input.trials_since_raise = 1000;
  return input;
}

} // namespace

TEST_CASE("RolloutState_HaltAndPermitInAnyOrder_HaltHolds", "[rollout-state]")
{
  rollout_state permit;
  permit.id = "move";
  permit.share = 5000;
  rollout_state halt;
  halt.id = "move";
  halt.halted = true;
  halt.halt_reason = "bad";
  rollout_board first;
  first.Merge(permit);
  first.Merge(halt);
  rollout_board second;
  second.Merge(halt);
  second.Merge(permit);
  REQUIRE(first.Find("move")->halted);
  REQUIRE(second.Find("move")->halted);
  REQUIRE(second.Find("move")->share == 0);
  REQUIRE(first.Hash() == second.Hash());
  REQUIRE(!Exposed(*first.Find("move"), "caller-1"));
}

TEST_CASE("RolloutState_ShareRises_SameCallersStayExposed", "[rollout-state]")
{
  rollout_state state;
  state.id = "move";
  std::set<int> exposed;
  for (std::uint32_t share : { 100U, 500U, 2500U, kWholeShare }) {
    state.share = share;
    std::set<int> now;
    for (int i = 0; i < 2000; ++i) {
      if (Exposed(state, "caller-" + std::to_string(i))) {
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

TEST_CASE("RolloutJudge_ReportsTwiceAndCrossed_EachWindowCountsOnce",
          "[rollout-judge]")
{
  rollout_judge once((judge_options()));
  REQUIRE(once.Take(Report("a", 0, 3)) == 3);
  REQUIRE(once.Take(Report("b", 0, 1)) == 1);
  rollout_judge messy((judge_options()));
  REQUIRE(messy.Take(Report("a", 0, 2)) == 2);
  REQUIRE(messy.Take(Report("a", 0, 2)) == 2);
  REQUIRE(messy.Take(Report("b", 0, 1)) == 1);
  REQUIRE(messy.Take(Report("a", 3, 1)) == 2);
  REQUIRE(messy.Take(Report("a", 1, 2)) == 3);
  REQUIRE(messy.Strongest() == Approx(once.Strongest()));
  REQUIRE(messy.Routes().at("status").new_version.failures == 4);
}

TEST_CASE("RolloutJudge_OneOfFourInstancesFails_InstanceGoesNotTheVersion",
          "[rollout-judge]")
{
  judge_options options;
  rollout_judge judge(options);
  judge_outcome outcome;
  for (int i = 0; i < 60 && outcome.verdict < judgement::eject_instance; ++i) {
    evidence_window window = Window(4, 1);
    for (int instance = 0; instance < 4; ++instance) {
      window.instances.push_back({ "node-" + std::to_string(instance),
                                   { 1, instance == 2 ? 1U : 0U, 0, 0 } });
    }
    judge.Count(window);
    outcome = judge.Judge();
  }
  REQUIRE(outcome.verdict == judgement::eject_instance);
  REQUIRE(outcome.node == "node-2");
  REQUIRE(judge.Judge().verdict == judgement::none);
}

TEST_CASE("RolloutJudge_EveryInstanceFails_VersionIsHalted", "[rollout-judge]")
{
  rollout_judge judge((judge_options()));
  judge_outcome outcome;
  for (int i = 0; i < 60 && outcome.verdict < judgement::eject_instance; ++i) {
    evidence_window window = Window(4, 2);
    for (int instance = 0; instance < 4; ++instance) {
      bool fails = (i + instance) % 2 == 0;
      window.instances.push_back(
        { "node-" + std::to_string(instance), { 1, fails ? 1U : 0U, 0, 0 } });
    }
    judge.Count(window);
    outcome = judge.Judge();
  }
  REQUIRE(outcome.verdict == judgement::halt);
}

TEST_CASE("RolloutPlan_GoodVersion_ReachesEveryoneBeforeTheSetTime",
          "[rollout-plan]")
{
  std::uint32_t share = 0;
  bool complete = false;
  plan_input input = Plan(0, 0);
  for (; input.now_ms <= input.by_ms && !complete; input.now_ms += 1000) {
    plan_output output = PlanNext(input);
    REQUIRE(output.share >= share);
    if (output.step == plan_step::raise) {
      input.raised_ms = input.now_ms;
    }
    share = output.share;
    input.share = share;
    complete = output.step == plan_step::complete;
  }
  REQUIRE(share == kWholeShare);
  REQUIRE(complete);
}

TEST_CASE("RolloutPlan_HalfOfThePlanGone_SmallShareOnly", "[rollout-plan]")
{
  plan_output output = PlanNext(Plan(0.5, 200));
  REQUIRE(output.share <= 500);
}

TEST_CASE("RolloutPlan_FewNewSlots_ShareStaysWithinThem", "[rollout-plan]")
{
  plan_input input = Plan(0.95, 5000);
  input.new_slots = 12;
  input.busy_slots = 40;
  plan_output output = PlanNext(input);
  REQUIRE(output.share <= 5000);
  REQUIRE(output.step == plan_step::waiting_for_upstreams);
}

TEST_CASE("RolloutPlan_NoUpstreamOfTheVersion_WaitsAtZero", "[rollout-plan]")
{
  plan_input input = Plan(0.5, 0);
  input.new_slots = 0;
  plan_output output = PlanNext(input);
  REQUIRE(output.step == plan_step::waiting_for_upstreams);
  REQUIRE(output.share == 0);
}

TEST_CASE("RolloutPlan_QuietRoute_WidensEarlier", "[rollout-plan]")
{
  plan_input input = Plan(0.2, 200);
  plan_output busy = PlanNext(input);
  input.quiet_route_rate = 0.05;
  plan_output quiet = PlanNext(input);
  REQUIRE(busy.share == 200);
  REQUIRE(quiet.share > 200);
}

TEST_CASE("RolloutPlan_TooFewAnswersAtThisShare_HoldsTheNextStep",
          "[rollout-plan]")
{
  plan_input input = Plan(0.3, 100);
  input.raised_ms = input.now_ms - 5000;
  input.trials_since_raise = 3;
  REQUIRE(PlanNext(input).step == plan_step::hold);
  input.trials_since_raise = 30;
  REQUIRE(PlanNext(input).step == plan_step::raise);
}

TEST_CASE("CallerMix_HeavyCallers_ShareFollowsTheirCalls", "[evidence]")
{
  caller_mix mix;
  for (int i = 0; i < 900; ++i) {
    mix.Add(50);
  }
  for (int i = 0; i < 100; ++i) {
    mix.Add(9000);
  }
  REQUIRE(mix.PartBelow(100) >= 8900);
  REQUIRE(mix.PartBelow(0) == 0);
  REQUIRE(mix.PartBelow(kWholeShare) == kWholeShare);
}

TEST_CASE("EvidenceRecorder_OneCallerManyCalls_CountsOnceAWindow", "[evidence]")
{
  time_point now = time_point(std::chrono::hours(1));
  evidence_recorder recorder("move", now);
  for (std::uint64_t i = 0; i < 20; ++i) {
    recorded_try attempt{
      "status", "caller-1", "node-1", true, true, false, {}
    };
    recorder.Started(i, attempt, now);
    recorder.Finished(i, attempt, true);
  }
  std::vector<evidence_window> windows = recorder.Flush(now);
  REQUIRE(windows.size() == 1);
  REQUIRE(windows[0].new_version.trials == 1);
  REQUIRE(windows[0].new_version.failures == 1);
}

TEST_CASE("EvidenceRecorder_BothVersionsFailAlike_OldOnesKeepCounting",
          "[evidence]")
{
  time_point now = time_point(std::chrono::hours(1));
  evidence_recorder recorder("move", now);
  std::uint32_t oldFailures = 0;
  for (std::uint64_t second = 0; second < 20; ++second) {
    recorded_try attempt{
      "status", "caller-1", "node-1", false, true, false, {}
    };
    recorder.Finished(second, attempt, true);
    now += std::chrono::seconds(1);
    for (const evidence_window& window : recorder.Flush(now)) {
      oldFailures += window.old_version.failures;
    }
  }
  REQUIRE(oldFailures == 20);
}
