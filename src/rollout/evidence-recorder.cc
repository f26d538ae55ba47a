#include "rollout/evidence-recorder.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

namespace {

/// A caller is counted at most once in this period.
constexpr duration kDedupePeriod = std::chrono::seconds(1);
/// The counts of a caller distribution are halved when they reach this total.
constexpr float kDistributionHalvingTotal = 4000;
/// The prior of a caller distribution is that all buckets have equally many
/// calls. It has the weight of this many calls.
constexpr double kPriorWeight = 5;
/// The counts of a latency baseline are halved when they reach this total.
constexpr std::uint32_t kBaselineHalvingTotal = 2000;
/// A latency baseline with fewer calls has no threshold.
constexpr std::uint32_t kMinBaselineCalls = 20;
/// Failures are attributed to a caller if at least `kMinCallerFailures` of its
/// calls, and at least one in `kCallerFailureDivisor`, failed on the old
/// version.
constexpr std::uint32_t kMinCallerFailures = 2;
constexpr std::uint32_t kCallerFailureDivisor = 4;
/// Quantile of the old version's response times from which the slow threshold
/// is computed.
constexpr double kSlowQuantile = 0.9;
/// A call is slow if it takes longer than this multiple of the quantile plus a
/// fixed allowance.
constexpr double kSlowMultiple = 1.5;
constexpr duration kSlowAllowance = std::chrono::milliseconds(2);
/// Upper bound of bucket `i` of a baseline: `kFirstBucketUs * kBucketRatio^i`,
/// in microseconds.
constexpr double kFirstBucketUs = 50;
constexpr double kBucketRatio = 1.2;

std::size_t
BucketOf(duration aTime, std::size_t aBuckets)
{
  double ratio = static_cast<double>(aTime.count()) / kFirstBucketUs;
  if (ratio <= 1) {
    return 0;
  }
  auto bucket = static_cast<std::size_t>(
    std::ceil(std::log(ratio) / std::log(kBucketRatio)));
  return std::min(bucket, aBuckets - 1);
}

} // namespace

void
latency_baseline::Add(duration aTime)
{
  ++mCounts[BucketOf(aTime, kBuckets)];
  if (++mTotal < kBaselineHalvingTotal) {
    return;
  }
  mTotal = 0;
  for (std::uint32_t& count : mCounts) {
    count /= 2;
    mTotal += count;
  }
}

duration
latency_baseline::SlowThreshold() const
{
  if (mTotal < kMinBaselineCalls) {
    return duration(0);
  }
  double targetCount = mTotal * kSlowQuantile;
  std::uint32_t below = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && below + mCounts[bucket] < targetCount) {
    below += mCounts[bucket];
    ++bucket;
  }
  double quantile =
    kFirstBucketUs * std::pow(kBucketRatio, static_cast<double>(bucket));
  return duration(static_cast<duration::rep>(quantile * kSlowMultiple)) +
         kSlowAllowance;
}

void
caller_distribution::Add(std::uint32_t aBucket)
{
  mBins[aBucket * kBins / kFullShare] += 1;
  mTotal += 1;
  if (mTotal < kDistributionHalvingTotal) {
    return;
  }
  mTotal = 0;
  for (float& bin : mBins) {
    bin /= 2;
    mTotal += bin;
  }
}

std::uint32_t
caller_distribution::CallShareBelow(std::uint32_t aShare) const
{
  double limit = static_cast<double>(aShare) * kBins / kFullShare;
  auto wholeBins = static_cast<std::size_t>(limit);
  double below = 0;
  for (std::size_t i = 0; i < wholeBins; ++i) {
    below += mBins[i];
  }
  if (wholeBins < kBins) {
    below += mBins[wholeBins] * (limit - static_cast<double>(wholeBins));
  }
  double prior = static_cast<double>(aShare) / kFullShare;
  double part = (below + kPriorWeight * prior) / (mTotal + kPriorWeight);
  return static_cast<std::uint32_t>(std::ceil(part * kFullShare));
}

evidence_recorder::evidence_recorder(std::string aRollout, time_point aNow)
  : mRollout(std::move(aRollout))
  , mStartTime(aNow)
  , mPeriodStart(aNow)
{
}

bool
evidence_recorder::IsFirstInPeriod(const recorded_attempt& aAttempt,
                                   char aMetric)
{
  std::uint64_t seed = HashOf(aAttempt.route, aAttempt.exposed ? 1 : 0);
  std::uint64_t key =
    HashOf(aAttempt.caller, seed + static_cast<unsigned>(aMetric));
  return mSeenInPeriod.insert(key).second;
}

void
evidence_recorder::OnAttemptStarted(std::uint64_t aId,
                                    const recorded_attempt& aAttempt,
                                    time_point aNow)
{
  mOpenAttempts[aId] = open_attempt{ aAttempt, aNow };
  std::uint64_t caller = HashOf(aAttempt.caller);
  mCallers.insert(caller);
  if (aAttempt.exposed) {
    mExposedCallers.insert(caller);
  }
}

void
evidence_recorder::OnAttemptFinished(std::uint64_t aId,
                                     const recorded_attempt& aAttempt,
                                     bool aCounts)
{
  bool countedSlow = false;
  auto open = mOpenAttempts.find(aId);
  if (open != mOpenAttempts.end()) {
    countedSlow = open->second.counted_slow;
    mOpenAttempts.erase(open);
  }
  if (!aCounts) {
    return;
  }
  if (!aAttempt.warming_up && !aAttempt.failed) {
    mWarmNodes.insert(aAttempt.node);
  }
  mTotals.busy_us += static_cast<std::uint64_t>(aAttempt.service_time.count());
  CountTrial(aAttempt);
  route_state& state = mRoutes[aAttempt.route];
  if (!aAttempt.exposed && !aAttempt.failed) {
    state.old_version_times.push_back(aAttempt.service_time);
  }
  bool hasUsableTime = state.slow_threshold.count() > 0 &&
                       !aAttempt.warming_up && !aAttempt.failed && !countedSlow;
  if (hasUsableTime) {
    CountTimed(aAttempt, aAttempt.service_time > state.slow_threshold);
  }
}

bool
evidence_recorder::FailsOnOldVersion(std::uint64_t aCaller) const
{
  auto found = mOldVersionRecords.find(aCaller);
  if (found == mOldVersionRecords.end()) {
    return false;
  }
  const old_version_record& record = found->second;
  return record.failures >= kMinCallerFailures &&
         record.failures * kCallerFailureDivisor >= record.trials;
}

void
evidence_recorder::CountTrial(const recorded_attempt& aAttempt)
{
  std::uint64_t caller = HashOf(aAttempt.caller);
  if (!IsFirstInPeriod(aAttempt, 'f')) {
    return;
  }
  if (aAttempt.exposed && FailsOnOldVersion(caller)) {
    return;
  }
  if (!aAttempt.exposed) {
    old_version_record& record = mOldVersionRecords[caller];
    ++record.trials;
    record.failures += aAttempt.failed ? 1 : 0;
  }
  route_state& state = mRoutes[aAttempt.route];
  state.trial_distribution.Add(BucketOfCaller(mRollout, aAttempt.caller));
  outcome_counts one{ 1, aAttempt.failed ? 1U : 0U, 0, 0 };
  if (aAttempt.exposed) {
    state.new_window += one;
    state.instances[aAttempt.node] += one;
    ++mTotals.new_trials;
    if (aAttempt.failed) {
      mCallersWithEvents.insert(caller);
    }
  } else {
    state.old_window += one;
    ++mTotals.old_trials;
  }
}

void
evidence_recorder::CountTimed(const recorded_attempt& aAttempt, bool aSlow)
{
  if (!IsFirstInPeriod(aAttempt, 's')) {
    return;
  }
  route_state& state = mRoutes[aAttempt.route];
  state.timed_distribution.Add(BucketOfCaller(mRollout, aAttempt.caller));
  outcome_counts one{ 0, 0, 1, aSlow ? 1U : 0U };
  if (aAttempt.exposed) {
    state.new_window += one;
    state.instances[aAttempt.node] += one;
    if (aSlow) {
      mCallersWithEvents.insert(HashOf(aAttempt.caller));
    }
  } else {
    state.old_window += one;
  }
}

void
evidence_recorder::OnCallerHurt(const std::string& aCaller)
{
  mHurtCallers.insert(HashOf(aCaller));
}

void
evidence_recorder::CountOverdue(time_point aNow)
{
  for (auto& [id, open] : mOpenAttempts) {
    const route_state& state = mRoutes[open.attempt.route];
    bool hasUsableTime = state.slow_threshold.count() > 0 &&
                         !open.counted_slow &&
                         mWarmNodes.count(open.attempt.node) != 0;
    bool overdue =
      hasUsableTime && aNow - open.started > state.slow_threshold * 2;
    if (overdue) {
      open.counted_slow = true;
      CountTimed(open.attempt, true);
    }
  }
}

evidence_window
evidence_recorder::CloseWindow(const std::string& aRoute, route_state& aState)
{
  evidence_window window;
  window.route = aRoute;
  window.trial_share = aState.trial_distribution.CallShareBelow(mShare);
  window.timed_share = aState.timed_distribution.CallShareBelow(mShare);
  window.old_version = aState.old_window;
  window.new_version = aState.new_window;
  for (const auto& [node, counts] : aState.instances) {
    window.instances.push_back({ node, counts });
  }
  aState.old_window = {};
  aState.new_window = {};
  aState.instances.clear();
  for (duration time : aState.old_version_times) {
    aState.baseline.Add(time);
    mAllRoutesBaseline.Add(time);
  }
  aState.old_version_times.clear();
  duration own = aState.baseline.SlowThreshold();
  aState.slow_threshold =
    own.count() > 0 ? own : mAllRoutesBaseline.SlowThreshold();
  return window;
}

std::vector<evidence_window>
evidence_recorder::Flush(time_point aNow)
{
  CountOverdue(aNow);
  std::vector<evidence_window> windows;
  for (auto& [route, state] : mRoutes) {
    evidence_window window = CloseWindow(route, state);
    if (window.old_version.trials + window.new_version.trials +
          window.old_version.timed + window.new_version.timed >
        0) {
      windows.push_back(std::move(window));
    }
  }
  if (aNow - mPeriodStart >= kDedupePeriod) {
    mPeriodStart = aNow;
    mSeenInPeriod.clear();
  }
  return windows;
}

evidence_totals
evidence_recorder::Totals(time_point aNow) const
{
  evidence_totals totals = mTotals;
  totals.covered_ms =
    static_cast<std::uint64_t>(Milliseconds(aNow - mStartTime));
  totals.callers = mCallers.size();
  totals.callers_exposed = mExposedCallers.size();
  totals.callers_hurt = mHurtCallers.size();
  totals.callers_with_events = mCallersWithEvents.size();
  return totals;
}

} // namespace eelgrasstrack
