#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_JUDGE_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_JUDGE_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "rollout/evidence.h"
#include "rollout/sequential-test.h"

namespace eelgrasstrack {

struct judge_options
{
  /// Greatest chance that a version that is no worse is taken back.
  double false_alarm_rate = 0.004;
  /// How many judges look at parts of the same calls on their own; each gets
  /// an equal part of the false alarm rate.
  std::size_t judges = 1;
  /// Routes that the rollout covers.
  std::size_t routes = 1;
};

enum class judgement
{
  none,
  /// Suspicious: wait with the next step.
  suspicious,
  /// One upstream is bad, the version is not.
  eject_instance,
  halt,
};

struct judge_outcome
{
  judgement verdict = judgement::none;
  /// In plain words, with the counts.
  std::string reason;
  /// The node beside the bad upstream.
  std::string node;
};

/// Sums of one route, for people and for the plan.
struct route_evidence
{
  arm_counts old_version;
  arm_counts new_version;
};

/// Judges one rollout by the windows of many reporters.
class rollout_judge
{
public:
  explicit rollout_judge(judge_options aOptions);

  void SetOptions(judge_options aOptions) { mOptions = aOptions; }

  /// Takes a report; each window is counted once. Returns the number of the
  /// first window that is still missing from this reporter.
  std::uint64_t Take(const evidence_report& aReport);

  void Count(const evidence_window& aWindow);

  /// Tells that a part of the planned time has passed (0 to 1 in total).
  void TimePassed(double aPart);

  /// Judges all that was counted. An instance is named once.
  judge_outcome Judge();

  const std::map<std::string, route_evidence>& Routes() const
  {
    return mEvidence;
  }
  evidence_totals Totals() const;
  /// The greatest statistic and what it has to reach.
  double Strongest() const;
  double Threshold() const;

private:
  enum class channel
  {
    failure,
    slowness,
  };

  /// The statistic of one route and channel, whole and with each upstream of
  /// the new version left out.
  struct channel_test
  {
    sequential_test whole;
    std::map<std::string, sequential_test> without;
  };

  struct route_tests
  {
    channel_test failure;
    channel_test slowness;
  };

  struct reporter_state
  {
    std::uint64_t incarnation = 0;
    std::uint64_t next_window = 0;
    std::uint64_t report = 0;
    evidence_totals totals;
  };

  void CountChannel(channel_test& aTest,
                    const evidence_window& aWindow,
                    channel aChannel);
  judge_outcome JudgeChannel(const std::string& aRoute,
                             channel_test& aTest,
                             channel aChannel);
  std::string LoneCulprit(const channel_test& aTest, channel aChannel) const;
  std::string Reason(const std::string& aRoute, channel aChannel) const;
  bool EnoughCallers() const;

  judge_options mOptions;
  std::map<std::string, route_tests> mTests;
  std::map<std::string, route_evidence> mEvidence;
  std::map<std::string, arm_counts> mInstances;
  std::map<std::string, reporter_state> mReporters;
  std::set<std::string> mEjected;
  double mTimePassed = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_JUDGE_H_
