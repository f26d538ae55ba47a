#include "rollout/rollout-evaluator.h"

#include <algorithm>
#include <cmath>

#include "rollout/rollout-state.h"

namespace eelgrasstrack {

namespace {

/// Key of the test over all routes together.
const std::string kAllRoutes = "*";
/// This part of the test's weight is spread over the planned time. The rest is
/// on the start of the test.
constexpr double kChangePointWeight = 0.5;
/// An upstream is the only faulty one if its event rate would have caused at
/// least `kMinExpectedElsewhere` events on the other upstreams, and these had
/// at most `kMaxElsewhereRatio` of the expected number.
constexpr double kMinExpectedElsewhere = 3;
constexpr double kMaxElsewhereRatio = 1.0 / 3;
/// At most one in this many instances is ejected, but one is always allowed.
constexpr std::size_t kInstancesPerEjection = 3;

/// Trials and bad events of one metric.
struct metric_counts
{
  std::uint32_t trials;
  std::uint32_t events;
};

metric_counts
FailuresOf(const outcome_counts& aCounts)
{
  return { aCounts.trials, aCounts.failures };
}

metric_counts
SlowCallsOf(const outcome_counts& aCounts)
{
  return { aCounts.timed, aCounts.slow };
}

} // namespace

rollout_evaluator::rollout_evaluator(evaluator_options aOptions)
  : mOptions(aOptions)
{
}

std::uint64_t
rollout_evaluator::AddReport(const evidence_report& aReport)
{
  reporter_state& reporter = mReporters[aReport.reporter];
  if (aReport.incarnation < reporter.incarnation) {
    return reporter.next_window;
  }
  if (aReport.incarnation > reporter.incarnation) {
    reporter = reporter_state{ aReport.incarnation, 0, 0, {} };
  }
  if (aReport.report_number >= reporter.report_number) {
    reporter.report_number = aReport.report_number;
    reporter.totals = aReport.totals;
  }
  if (reporter.next_window == 0) {
    // This reporter is new to the collector, which starts with the oldest
    // window of the report.
    reporter.next_window = aReport.first_window;
  }
  bool gap = aReport.first_window > reporter.next_window;
  if (gap) {
    return reporter.next_window;
  }
  for (std::size_t i = 0; i < aReport.windows.size(); ++i) {
    if (aReport.first_window + i == reporter.next_window) {
      AddWindow(aReport.windows[i]);
      ++reporter.next_window;
    }
  }
  return reporter.next_window;
}

void
rollout_evaluator::AddWindow(const evidence_window& aWindow)
{
  route_evidence& evidence = mEvidence[aWindow.route];
  evidence.old_version += aWindow.old_version;
  evidence.new_version += aWindow.new_version;
  for (const instance_counts& instance : aWindow.instances) {
    mInstanceCounts[instance.node] += instance.counts;
  }
  for (const std::string& route : { aWindow.route, kAllRoutes }) {
    route_tests& tests = mTests[route];
    UpdateMetric(tests.failure, aWindow, metric::failure);
    UpdateMetric(tests.slowness, aWindow, metric::slowness);
  }
}

void
rollout_evaluator::UpdateMetric(metric_test& aTest,
                                const evidence_window& aWindow,
                                metric aMetric)
{
  bool failure = aMetric == metric::failure;
  auto countsOf = failure ? FailuresOf : SlowCallsOf;
  std::uint32_t share = failure ? aWindow.trial_share : aWindow.timed_share;
  double newShare = static_cast<double>(share) / kFullShare;
  std::uint32_t oldEvents = countsOf(aWindow.old_version).events;
  std::uint32_t newEvents = countsOf(aWindow.new_version).events;
  // Exclude events of ejected upstreams, which say nothing about the version.
  for (const instance_counts& instance : aWindow.instances) {
    bool ejected = mEjectedNodes.count(instance.node) != 0;
    newEvents -= ejected ? countsOf(instance.counts).events : 0;
  }
  for (const auto& [node, counts] : mInstanceCounts) {
    if (mEjectedNodes.count(node) == 0) {
      aTest.without_node.try_emplace(node, aTest.all_instances);
    }
  }
  aTest.all_instances.AddEvents(newShare, oldEvents, newEvents);
  for (auto& [node, test] : aTest.without_node) {
    std::uint32_t events = newEvents;
    for (const instance_counts& instance : aWindow.instances) {
      events -= instance.node == node ? countsOf(instance.counts).events : 0;
    }
    test.AddEvents(newShare, oldEvents, events);
  }
}

void
rollout_evaluator::AdvanceTime(double aFraction)
{
  double fraction = std::clamp(aFraction, 0.0, 1.0 - mElapsedFraction);
  mElapsedFraction += fraction;
  double weight = fraction * kChangePointWeight;
  for (auto& [route, tests] : mTests) {
    for (metric_test* test : { &tests.failure, &tests.slowness }) {
      test->all_instances.AddChangePointWeight(weight);
      for (auto& [node, withoutNode] : test->without_node) {
        withoutNode.AddChangePointWeight(weight);
      }
    }
  }
}

double
rollout_evaluator::Threshold() const
{
  constexpr double kMetrics = 2;
  double tests =
    kMetrics * static_cast<double>(mOptions.routes + 1) *
    static_cast<double>(std::max<std::size_t>(mOptions.evaluators, 1));
  return tests / mOptions.false_alarm_rate;
}

double
rollout_evaluator::GreatestStatistic() const
{
  double greatest = 0;
  for (const auto& [route, tests] : mTests) {
    greatest = std::max({ greatest,
                          tests.failure.all_instances.Value(),
                          tests.slowness.all_instances.Value() });
  }
  return greatest;
}

evidence_totals
rollout_evaluator::Totals() const
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
rollout_evaluator::HasEnoughCallers() const
{
  evidence_totals totals = Totals();
  return totals.callers_with_events >= 2 || totals.callers_exposed <= 2;
}

std::string
rollout_evaluator::FindFaultyInstance(const metric_test& aTest,
                                      metric aMetric) const
{
  auto countsOf = aMetric == metric::failure ? FailuresOf : SlowCallsOf;
  std::size_t allowed =
    std::max<std::size_t>(1, mInstanceCounts.size() / kInstancesPerEjection);
  if (mInstanceCounts.size() < 2 || mEjectedNodes.size() >= allowed) {
    return {};
  }
  outcome_counts all;
  for (const auto& [node, counts] : mInstanceCounts) {
    all += mEjectedNodes.count(node) == 0 ? counts : outcome_counts{};
  }
  for (const auto& [node, withoutNode] : aTest.without_node) {
    metric_counts own = countsOf(mInstanceCounts.at(node));
    metric_counts total = countsOf(all);
    if (own.trials == 0 || own.events == 0) {
      continue;
    }
    double rate = static_cast<double>(own.events) / own.trials;
    double expected = rate * (total.trials - own.trials);
    double observed = total.events - own.events;
    bool othersAreHealthy = expected >= kMinExpectedElsewhere &&
                            observed <= expected * kMaxElsewhereRatio;
    if (othersAreHealthy && withoutNode.Value() < std::sqrt(Threshold())) {
      return node;
    }
  }
  return {};
}

std::string
rollout_evaluator::DescribeEvidence(const std::string& aRoute,
                                    metric aMetric) const
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
  bool failure = aMetric == metric::failure;
  auto countsOf = failure ? FailuresOf : SlowCallsOf;
  metric_counts older = countsOf(sum.old_version);
  metric_counts newer = countsOf(sum.new_version);
  std::string where =
    aRoute == kAllRoutes ? "all routes together" : "route " + aRoute;
  return where + ": " + std::to_string(newer.events) + " of " +
         std::to_string(newer.trials) + " sampled calls " +
         (failure ? "failed" : "were slow") + " on the new version, " +
         std::to_string(older.events) + " of " + std::to_string(older.trials) +
         " on the old one";
}

evaluation_result
rollout_evaluator::EvaluateMetric(const std::string& aRoute,
                                  metric_test& aTest,
                                  metric aMetric)
{
  double value = aTest.all_instances.Value();
  double threshold = Threshold();
  if (value < std::sqrt(threshold)) {
    return {};
  }
  evaluation_result result;
  result.verdict = rollout_verdict::suspicious;
  result.reason = DescribeEvidence(aRoute, aMetric);
  // If only one caller had events, the caller itself may be at fault. Require
  // twice the evidence, which is the square of the threshold because the
  // statistic is a product.
  double needed = HasEnoughCallers() ? threshold : threshold * threshold;
  if (value < needed) {
    return result;
  }
  std::string faultyNode = FindFaultyInstance(aTest, aMetric);
  if (faultyNode.empty()) {
    result.verdict = rollout_verdict::halt;
    return result;
  }
  result.verdict = rollout_verdict::eject_instance;
  result.node = faultyNode;
  result.reason += "; only the upstream at " + faultyNode + " is faulty";
  return result;
}

evaluation_result
rollout_evaluator::Evaluate()
{
  evaluation_result mostSevere;
  for (auto& [route, tests] : mTests) {
    for (metric each : { metric::failure, metric::slowness }) {
      metric_test& test =
        each == metric::failure ? tests.failure : tests.slowness;
      evaluation_result result = EvaluateMetric(route, test, each);
      if (result.verdict > mostSevere.verdict) {
        mostSevere = std::move(result);
      }
    }
  }
  if (mostSevere.verdict == rollout_verdict::eject_instance) {
    mEjectedNodes.insert(mostSevere.node);
    for (auto& [route, tests] : mTests) {
      for (metric_test* test : { &tests.failure, &tests.slowness }) {
        auto withoutNode = test->without_node.find(mostSevere.node);
        if (withoutNode != test->without_node.end()) {
          test->all_instances = withoutNode->second;
        }
        test->without_node.clear();
      }
    }
  }
  return mostSevere;
}

} // namespace eelgrasstrack
