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

/// The properties of one attempt of a call that count as evidence.
struct recorded_attempt
{
  std::string route;
  std::string caller;
  /// Node next to the upstream.
  std::string node;
  /// Whether the attempt went to the new version.
  bool exposed = false;
  bool failed = false;
  /// Whether the upstream is still warming up, so that its response times are
  /// ignored.
  bool warming_up = false;
  duration service_time{};
};

/// Histogram of the old version's recent response times on a route. The buckets
/// grow by a constant ratio. All counts are halved when the total reaches a
/// limit, so that old calls lose weight.
class latency_baseline
{
public:
  void Add(duration aTime);
  /// The response time above which a call is slow. Zero while there are too few
  /// calls to compute it.
  duration SlowThreshold() const;

private:
  static constexpr std::size_t kBuckets = 96;
  std::vector<std::uint32_t> mCounts = std::vector<std::uint32_t>(kBuckets);
  std::uint32_t mTotal = 0;
};

/// Distribution of a route's calls over the rollout's caller buckets. It yields
/// the part of the calls that goes to the new version at a given share,
/// independent of the outcomes of these calls.
class caller_distribution
{
public:
  /// Counts one call of a caller in bucket `aBucket`, less than `kFullShare`.
  void Add(std::uint32_t aBucket);
  /// The part of the calls, in ten-thousandths, that comes from callers whose
  /// bucket is below `aShare`.
  std::uint32_t CallShareBelow(std::uint32_t aShare) const;

private:
  static constexpr std::size_t kBins = 500;
  std::vector<float> mBins = std::vector<float>(kBins);
  float mTotal = 0;
};

/// Aggregates the attempts of one rollout at one node into evidence windows.
/// For each route and version, a caller counts at most once per second. If the
/// calls of a caller often failed on the old version, its failures on the new
/// one say nothing about the version, and its trials of the new version are not
/// counted.
class evidence_recorder
{
public:
  evidence_recorder(std::string aRollout, time_point aNow);

  /// Records the start of an attempt, which counts as slow if it becomes
  /// overdue before it ends.
  void OnAttemptStarted(std::uint64_t aId,
                        const recorded_attempt& aAttempt,
                        time_point aNow);
  /// Records the end of an attempt. Its outcome is ignored unless `aCounts`.
  void OnAttemptFinished(std::uint64_t aId,
                         const recorded_attempt& aAttempt,
                         bool aCounts);
  /// Records that a call of an exposed caller failed after all retries.
  void OnCallerHurt(const std::string& aCaller);

  /// Sets the current share of the new version, in ten-thousandths.
  void SetShare(std::uint32_t aShare) { mShare = aShare; }

  /// Ends the current window and returns the windows of all routes that had
  /// calls.
  std::vector<evidence_window> Flush(time_point aNow);

  /// Sums since construction.
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

  /// Outcomes of one caller's calls to the old version, over all routes.
  struct old_version_record
  {
    std::uint32_t trials = 0;
    std::uint32_t failures = 0;
  };

  /// Whether the calls of a caller often failed on the old version.
  bool FailsOnOldVersion(std::uint64_t aCaller) const;
  /// Whether the caller has not yet been counted in the current period for this
  /// route, version and metric (`f` for failures, `s` for slow calls). Marks it
  /// as counted.
  bool IsFirstInPeriod(const recorded_attempt& aAttempt, char aMetric);
  void CountTrial(const recorded_attempt& aAttempt);
  void CountTimed(const recorded_attempt& aAttempt, bool aSlow);
  /// Counts open attempts as slow if they have taken longer than twice the slow
  /// threshold.
  void CountOverdue(time_point aNow);
  evidence_window CloseWindow(const std::string& aRoute, route_state& aState);

  std::string mRollout;
  time_point mStartTime;
  time_point mPeriodStart;
  std::uint32_t mShare = 0;
  std::map<std::string, route_state> mRoutes;
  /// Baseline over all routes, used for routes with too few calls of their own.
  /// Both versions are held to the same threshold, so the comparison stays
  /// fair.
  latency_baseline mAllRoutesBaseline;
  std::unordered_map<std::uint64_t, open_attempt> mOpenAttempts;
  std::unordered_set<std::uint64_t> mSeenInPeriod;
  std::unordered_set<std::uint64_t> mCallers;
  std::unordered_set<std::uint64_t> mExposedCallers;
  std::unordered_set<std::uint64_t> mHurtCallers;
  std::unordered_set<std::uint64_t> mCallersWithEvents;
  std::unordered_map<std::uint64_t, old_version_record> mOldVersionRecords;
  /// Nodes whose upstream has served a call after its warm-up period.
  std::set<std::string> mWarmNodes;
  evidence_totals mTotals;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_EVIDENCE_RECORDER_H_
