#include "rollout/rollout-judge.h"

#include <algorithm>
#include <cmath>

#include "rollout/rollout-state.h"

namespace eelgrasstrack {

namespace {

/// The pooled test over all routes stands under this name.
const std::string kAllRoutes = "*";
/// Half of the starting weight is spread over the planned time.
constexpr double kSpreadWeight = 0.5;
/// An upstream is the lone culprit if the others saw enough calls to have
/// shown this many events at its rate, and showed at most a third of them.
constexpr double kExpectedElsewhere = 3;
constexpr double kElsewhereTolerance = 1.0 / 3;
/// At most this part of the instances, but one in any case, is ejected.
constexpr std::size_t kInstancesPerEjection = 3;

struct channel_counts
{
  std::uint32_t trials;
  std::uint32_t events;
};

channel_counts
FailuresOf(const arm_counts& aCounts)
{
  return { aCounts.trials, aCounts.failures };
}

channel_counts
SlownessOf(const arm_counts& aCounts)
{
  return { aCounts.timed, aCounts.slow };
}

} // namespace

rollout_judge::rollout_judge(judge_options aOptions)
  : mOptions(aOptions)
{
}

std::uint64_t
rollout_judge::Take(const evidence_report& aReport)
{
  reporter_state& reporter = mReporters[aReport.reporter];
  if (aReport.incarnation < reporter.incarnation) {
    return reporter.next_window;
  }
  if (aReport.incarnation > reporter.incarnation) {
    reporter = reporter_state{ aReport.incarnation, 0, 0, {} };
  }
  if (aReport.report >= reporter.report) {
    reporter.report = aReport.report;
    reporter.totals = aReport.totals;
  }
  if (reporter.next_window == 0) {
    // A new collector starts at the oldest window that the reporter still has.
    reporter.next_window = aReport.first_window;
  }
  bool gap = aReport.first_window > reporter.next_window;
  if (gap) {
    return reporter.next_window;
  }
  for (std::size_t i = 0; i < aReport.windows.size(); ++i) {
    if (aReport.first_window + i == reporter.next_window) {
      Count(aReport.windows[i]);
      ++reporter.next_window;
    }
  }
  return reporter.next_window;
}

void
rollout_judge::Count(const evidence_window& aWindow)
{
  route_evidence& evidence = mEvidence[aWindow.route];
  evidence.old_version += aWindow.old_version;
  evidence.new_version += aWindow.new_version;
  for (const instance_counts& instance : aWindow.instances) {
    mInstances[instance.node] += instance.counts;
  }
  for (const std::string& route : { aWindow.route, kAllRoutes }) {
    route_tests& tests = mTests[route];
    CountChannel(tests.failure, aWindow, channel::failure);
    CountChannel(tests.slowness, aWindow, channel::slowness);
  }
}

void
rollout_judge::CountChannel(channel_test& aTest,
                            const evidence_window& aWindow,
                            channel aChannel)
{
  bool failure = aChannel == channel::failure;
  auto countsOf = failure ? FailuresOf : SlownessOf;
  std::uint32_t share = failure ? aWindow.trial_share : aWindow.timed_share;
  double newShare = static_cast<double>(share) / kWholeShare;
  std::uint32_t oldEvents = countsOf(aWindow.old_version).events;
  std::uint32_t newEvents = countsOf(aWindow.new_version).events;
  // Events of upstreams that get no more work say nothing about the version.
  for (const instance_counts& instance : aWindow.instances) {
    bool ejected = mEjected.count(instance.node) != 0;
    newEvents -= ejected ? countsOf(instance.counts).events : 0;
  }
  for (const auto& [node, counts] : mInstances) {
    if (mEjected.count(node) == 0) {
      aTest.without.try_emplace(node, aTest.whole);
    }
  }
  aTest.whole.Count(newShare, oldEvents, newEvents);
  for (auto& [node, test] : aTest.without) {
    std::uint32_t events = newEvents;
    for (const instance_counts& instance : aWindow.instances) {
      events -= instance.node == node ? countsOf(instance.counts).events : 0;
    }
    test.Count(newShare, oldEvents, events);
  }
}

void
rollout_judge::TimePassed(double aPart)
{
  double part = std::clamp(aPart, 0.0, 1.0 - mTimePassed);
  mTimePassed += part;
  double weight = part * kSpreadWeight;
  for (auto& [route, tests] : mTests) {
    for (channel_test* test : { &tests.failure, &tests.slowness }) {
      test->whole.AddStartingWeight(weight);
      for (auto& [node, without] : test->without) {
        without.AddStartingWeight(weight);
      }
    }
  }
}

double
rollout_judge::Threshold() const
{
  constexpr double kChannels = 2;
  double tests = kChannels * static_cast<double>(mOptions.routes + 1) *
                 static_cast<double>(std::max<std::size_t>(mOptions.judges, 1));
  return tests / mOptions.false_alarm_rate;
}

double
rollout_judge::Strongest() const
{
  double strongest = 0;
  for (const auto& [route, tests] : mTests) {
    strongest = std::max(
      { strongest, tests.failure.whole.Value(), tests.slowness.whole.Value() });
  }
  return strongest;
}

evidence_totals
rollout_judge::Totals() const
{
  evidence_totals sum;
  for (const auto& [node, reporter] : mReporters) {
    const evidence_totals& totals = reporter.totals;
    sum.old_trials += totals.old_trials;
    sum.new_trials += totals.new_trials;
    sum.busy_us += totals.busy_us;
    sum.covered_ms = std::max(sum.covered_ms, totals.covered_ms);
    sum.callers += totals.callers;
    sum.callers_exposed += totals.callers_exposed;
    sum.callers_hurt += totals.callers_hurt;
    sum.callers_with_events += totals.callers_with_events;
  }
  return sum;
}

bool
rollout_judge::EnoughCallers() const
{
  evidence_totals totals = Totals();
  return totals.callers_with_events >= 2 || totals.callers_exposed <= 2;
}

std::string
rollout_judge::LoneCulprit(const channel_test& aTest, channel aChannel) const
{
  auto countsOf = aChannel == channel::failure ? FailuresOf : SlownessOf;
  std::size_t allowed =
    std::max<std::size_t>(1, mInstances.size() / kInstancesPerEjection);
  if (mInstances.size() < 2 || mEjected.size() >= allowed) {
    return {};
  }
  arm_counts all;
  for (const auto& [node, counts] : mInstances) {
    all += mEjected.count(node) == 0 ? counts : arm_counts{};
  }
  for (const auto& [node, without] : aTest.without) {
    channel_counts own = countsOf(mInstances.at(node));
    channel_counts whole = countsOf(all);
    if (own.trials == 0 || own.events == 0) {
      continue;
    }
    double rate = static_cast<double>(own.events) / own.trials;
    double expected = rate * (whole.trials - own.trials);
    double seen = whole.events - own.events;
    bool othersClean =
      expected >= kExpectedElsewhere && seen <= expected * kElsewhereTolerance;
    if (othersClean && without.Value() < std::sqrt(Threshold())) {
      return node;
    }
  }
  return {};
}

std::string
rollout_judge::Reason(const std::string& aRoute, channel aChannel) const
{
  route_evidence sum;
  if (aRoute == kAllRoutes) {
    for (const auto& [route, evidence] : mEvidence) {
      sum.old_version += evidence.old_version;
      sum.new_version += evidence.new_version;
    }
  } else {
    sum = mEvidence.at(aRoute);
  }
  bool failure = aChannel == channel::failure;
  auto countsOf = failure ? FailuresOf : SlownessOf;
  channel_counts older = countsOf(sum.old_version);
  channel_counts newer = countsOf(sum.new_version);
  std::string where =
    aRoute == kAllRoutes ? "all routes together" : "route " + aRoute;
  return where + ": " + std::to_string(newer.events) + " of " +
         std::to_string(newer.trials) + " sampled calls " +
         (failure ? "failed" : "were slow") + " on the new version, " +
         std::to_string(older.events) + " of " + std::to_string(older.trials) +
         " on the old one";
}

judge_outcome
rollout_judge::JudgeChannel(const std::string& aRoute,
                            channel_test& aTest,
                            channel aChannel)
{
  double value = aTest.whole.Value();
  double threshold = Threshold();
  if (value < std::sqrt(threshold)) {
    return {};
  }
  judge_outcome outcome;
  outcome.verdict = judgement::suspicious;
  outcome.reason = Reason(aRoute, aChannel);
  // One caller alone may be what is wrong; that takes twice the evidence.
  double needed = EnoughCallers() ? threshold : threshold * threshold;
  if (value < needed) {
    return outcome;
  }
  std::string culprit = LoneCulprit(aTest, aChannel);
  if (culprit.empty()) {
    outcome.verdict = judgement::halt;
    return outcome;
  }
  outcome.verdict = judgement::eject_instance;
  outcome.node = culprit;
  outcome.reason += "; only the upstream at " + culprit + " is bad";
  return outcome;
}

judge_outcome
rollout_judge::Judge()
{
  judge_outcome strongest;
  for (auto& [route, tests] : mTests) {
    for (channel each : { channel::failure, channel::slowness }) {
      channel_test& test =
        each == channel::failure ? tests.failure : tests.slowness;
      judge_outcome outcome = JudgeChannel(route, test, each);
      if (outcome.verdict > strongest.verdict) {
        strongest = std::move(outcome);
      }
    }
  }
  if (strongest.verdict == judgement::eject_instance) {
    mEjected.insert(strongest.node);
    for (auto& [route, tests] : mTests) {
      for (channel_test* test : { &tests.failure, &tests.slowness }) {
        auto without = test->without.find(strongest.node);
        if (without != test->without.end()) {
          test->whole = without->second;
        }
        test->without.clear();
      }
    }
  }
  return strongest;
}

} // namespace eelgrasstrack
