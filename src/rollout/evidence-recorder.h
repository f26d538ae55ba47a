#ifndef EELGRASSTRACK_ROLLOUT_EVIDENCE_RECORDER_H_
#define EELGRASSTRACK_ROLLOUT_EVIDENCE_RECORDER_H_

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "rollout/evidence.h"

namespace eelgrasstrack {

/// One finished or overdue try of a call, as far as evidence goes.
struct recorded_attempt
{
  std::string route;
  std::string caller;
  /// Node beside the upstream.
  std::string node;
  bool exposed = false;
  bool failed = false;
  /// The upstream warms up; its speed is not judged.
  bool warming_up = false;
  duration service_time{};
};

/// How long an upstream takes on a route, from recent calls to the old version:
/// counts in buckets of a constant ratio, halved from time to time.
class latency_baseline
{
public:
  void Add(duration aTime);
  /// Calls above it are slow; zero while there are too few calls to tell.
  duration SlowThreshold() const;

private:
  static constexpr std::size_t kBuckets = 96;
  std::vector<std::uint32_t> mCounts = std::vector<std::uint32_t>(kBuckets);
  std::uint32_t mTotal = 0;
};

/// How much of a route's calls come from which callers, by the callers' buckets
/// in the rollout. It tells what part of the calls belongs to the new version
/// at any share, whatever the version answered.
class caller_distribution
{
public:
  /// Counts one call of a caller with a bucket below `kFullShare`.
  void Add(std::uint32_t aBucket);
  /// The part of calls, in ten-thousandths, of callers below a share.
  std::uint32_t CallShareBelow(std::uint32_t aShare) const;

private:
  static constexpr std::size_t kBins = 500;
  std::vector<float> mBins = std::vector<float>(kBins);
  float mTotal = 0;
};

/// Turns the tries of one rollout at one node into evidence windows. A caller
/// counts once a second and version. A caller whose calls often failed on the
/// old version says nothing about the new one.
class evidence_recorder
{
public:
  evidence_recorder(std::string aRollout, time_point aNow);

  /// A try began; until it ends, it may become overdue.
  void OnAttemptStarted(std::uint64_t aId,
                        const recorded_attempt& aAttempt,
                        time_point aNow);
  /// A try ended with evidence, or without any (`aCounts` false).
  void OnAttemptFinished(std::uint64_t aId,
                         const recorded_attempt& aAttempt,
                         bool aCounts);
  void OnCallerHurt(const std::string& aCaller);

  void SetShare(std::uint32_t aShare) { mShare = aShare; }

  /// Ends a window. Returns the windows that hold events.
  std::vector<evidence_window> Flush(time_point aNow);

  evidence_totals Totals(time_point aNow) const;

private:
  struct open_attempt
  {
    recorded_attempt attempt;
    time_point started{};
    bool counted_slow = false;
  };

  struct route_state
  {
    latency_baseline baseline;
    duration slow_threshold{};
    outcome_counts old_window;
    outcome_counts new_window;
    std::map<std::string, outcome_counts> instances;
    caller_distribution trial_distribution;
    caller_distribution timed_distribution;
    std::vector<duration> old_version_times;
  };

  /// What one caller saw of the old version.
  struct old_version_record
  {
    std::uint32_t trials = 0;
    std::uint32_t failures = 0;
  };

  bool FailsOnOldVersion(std::uint64_t aCaller) const;
  bool IsFirstInPeriod(const recorded_attempt& aAttempt, char aMetric);
  void CountTrial(const recorded_attempt& aAttempt);
  void CountTimed(const recorded_attempt& aAttempt, bool aSlow);
  void CountOverdue(time_point aNow);
  evidence_window CloseWindow(const std::string& aRoute, route_state& aState);

  std::string mRollout;
  time_point mStartTime;
  time_point mPeriodStart;
  std::uint32_t mShare = 0;
  std::map<std::string, route_state> mRoutes;
  /// Over all routes, for those with too few calls of their own. The same
  /// threshold holds for both versions, so the comparison stays fair.
  latency_baseline mAllRoutesBaseline;
  std::unordered_map<std::uint64_t, open_attempt> mOpenAttempts;
  std::unordered_set<std::uint64_t> mSeenInPeriod;
  std::unordered_set<std::uint64_t> mCallers;
  std::unordered_set<std::uint64_t> mExposedCallers;
  std::unordered_set<std::uint64_t> mHurtCallers;
  std::unordered_set<std::uint64_t> mCallersWithEvents;
  std::unordered_map<std::uint64_t, old_version_record> mOldVersionRecords;
  /// Nodes whose upstream has answered after its warm-up time.
  std::set<std::string> mWarmNodes;
  evidence_totals mTotals;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_EVIDENCE_RECORDER_H_
