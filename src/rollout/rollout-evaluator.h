#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_EVALUATOR_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_EVALUATOR_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "rollout/evidence.h"
#include "rollout/sequential-test.h"

namespace eelgrasstrack {

/// Parameters of the evaluation of one rollout.
struct evaluator_options
{
  /// Upper bound on the probability that a version that is no worse than the
  /// old one is rolled back.
  double false_alarm_rate = 0.004;
  /// Number of evaluators that independently evaluate parts of the same calls.
  /// Each gets an equal part of the false alarm rate.
  std::size_t evaluators = 1;
  /// Number of routes that the rollout covers.
  std::size_t routes = 1;
};

/// Conclusion of an evaluation, in order of severity.
enum class rollout_verdict
{
  none,
  /// The evidence is not conclusive, but the next step has to wait.
  suspicious,
  /// One upstream is faulty, but not the version.
  eject_instance,
  /// The version is faulty.
  halt,
};

/// The verdict of an evaluation and the reason for it.
struct evaluation_result
{
  rollout_verdict verdict = rollout_verdict::none;
  /// Explanation for people, with the counts.
  std::string reason;
  /// The node next to the faulty upstream, if one is to be ejected.
  std::string node;
};

/// Total counts of one route, for operators and for the rollout plan.
struct route_evidence
{
  outcome_counts old_version;
  outcome_counts new_version;
};

/// Evaluates one rollout based on the evidence windows of many reporters.
class rollout_evaluator
{
public:
  explicit rollout_evaluator(evaluator_options aOptions);

  void SetOptions(evaluator_options aOptions) { mOptions = aOptions; }

  /// Adds the windows of a report and counts each window once. Returns the
  /// number of the first window that is still missing from this reporter.
  std::uint64_t AddReport(const evidence_report& aReport);

  /// Adds the counts of one window.
  void AddWindow(const evidence_window& aWindow);

  /// Advances the elapsed part of the planned time by `aFraction`. The total
  /// goes from 0 to 1 and is limited to 1.
  void AdvanceTime(double aFraction);

  /// Evaluates all counts so far and returns the most severe result. An
  /// instance is ejected only once.
  evaluation_result Evaluate();

  const std::map<std::string, route_evidence>& Routes() const
  {
    return mEvidence;
  }
  evidence_totals Totals() const;
  /// The greatest test statistic, and the threshold that halts the rollout.
  double GreatestStatistic() const;
  double Threshold() const;

private:
  enum class metric
  {
    failure,
    slowness,
  };

  /// The sequential tests of one route and metric: one over all upstreams, and
  /// one for each upstream of the new version that excludes its events.
  struct metric_test
  {
    sequential_test all_instances;
    std::map<std::string, sequential_test> without_node;
  };

  struct route_tests
  {
    metric_test failure;
    metric_test slowness;
  };

  struct reporter_state
  {
    std::uint64_t incarnation = 0;
    std::uint64_t next_window = 0;
    std::uint64_t report_number = 0;
    evidence_totals totals;
  };

  void UpdateMetric(metric_test& aTest,
                    const evidence_window& aWindow,
                    metric aMetric);
  evaluation_result EvaluateMetric(const std::string& aRoute,
                                   metric_test& aTest,
                                   metric aMetric);
  /// The node of the only faulty upstream, or an empty string.
  std::string FindFaultyInstance(const metric_test& aTest,
                                 metric aMetric) const;
  std::string DescribeEvidence(const std::string& aRoute, metric aMetric) const;
  /// Whether at least two callers had events, or at most two callers are
  /// exposed, so that no more evidence can be required.
  bool HasEnoughCallers() const;

  evaluator_options mOptions;
  std::map<std::string, route_tests> mTests;
  std::map<std::string, route_evidence> mEvidence;
  std::map<std::string, outcome_counts> mInstanceCounts;
  std::map<std::string, reporter_state> mReporters;
  std::set<std::string> mEjectedNodes;
  double mElapsedFraction = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_EVALUATOR_H_
