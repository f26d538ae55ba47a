#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_EVALUATOR_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_EVALUATOR_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "rollout/evidence.h"
#include "rollout/sequential-test.h"

namespace eelgrasstrack {

struct evaluator_options
{
  /// Greatest chance that a version that is no worse is taken back.
  double false_alarm_rate = 0.004;
  /// How many judges look at parts of the same calls on their own; each gets
  /// an equal part of the false alarm rate.
  std::size_t evaluators = 1;
  /// Routes that the rollout covers.
  std::size_t routes = 1;
};

enum class rollout_verdict
{
  none,
  /// Suspicious: wait with the next step.
  suspicious,
  /// One upstream is bad, the version is not.
  eject_instance,
  halt,
};

struct evaluation_result
{
  rollout_verdict verdict = rollout_verdict::none;
  /// In plain words, with the counts.
  std::string reason;
  /// The node beside the bad upstream.
  std::string node;
};

/// Sums of one route, for people and for the plan.
struct route_evidence
{
  outcome_counts old_version;
  outcome_counts new_version;
};

/// Judges one rollout by the windows of many reporters.
class rollout_evaluator
{
public:
  explicit rollout_evaluator(evaluator_options aOptions);

  void SetOptions(evaluator_options aOptions) { mOptions = aOptions; }

  /// Takes a report; each window is counted once. Returns the number of the
  /// first window that is still missing from this reporter.
  std::uint64_t AddReport(const evidence_report& aReport);

  void AddWindow(const evidence_window& aWindow);

  /// Tells that a part of the planned time has passed (0 to 1 in total).
  void AdvanceTime(double aPart);

  /// Judges all that was counted. An instance is named once.
  evaluation_result Evaluate();

  const std::map<std::string, route_evidence>& Routes() const
  {
    return mEvidence;
  }
  evidence_totals Totals() const;
  /// The greatest statistic and what it has to reach.
  double GreatestStatistic() const;
  double Threshold() const;

private:
  enum class metric
  {
    failure,
    slowness,
  };

  /// The statistic of one route and channel, whole and with each upstream of
  /// the new version left out.
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
  std::string FindFaultyInstance(const metric_test& aTest,
                                 metric aMetric) const;
  std::string DescribeEvidence(const std::string& aRoute, metric aMetric) const;
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
