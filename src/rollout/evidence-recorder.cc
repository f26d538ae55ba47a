#include "rollout/evidence-recorder.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

namespace {

constexpr duration kDedupePeriod = std::chrono::seconds(1);
/// The mix of callers is remembered over about this many calls.
constexpr float kMixMemory = 4000;
/// Until calls tell, each share has its own part of the calls; this many calls
/// weigh as much as that guess.
constexpr double kMixPrior = 5;
constexpr std::uint32_t kBaselineMemory = 2000;
constexpr std::uint32_t kLeastBaseline = 20;
/// A caller fails by itself if at least this many of its calls failed on the
/// old version, and at least one in this many.
constexpr std::uint32_t kLeastOwnFailures = 2;
constexpr std::uint32_t kOwnFailureShare = 4;
constexpr double kSlowQuantile = 0.9;
/// A call is slow above this multiple of the quantile, plus a fixed allowance.
constexpr double kSlowMultiple = 1.5;
constexpr duration kSlowAllowance = std::chrono::milliseconds(2);
/// Bucket `i` of the baseline ends at `kFirstBucketUs * kBucketRatio^i`.
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
  if (++mTotal < kBaselineMemory) {
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
  if (mTotal < kLeastBaseline) {
    return duration(0);
  }
  double wanted = mTotal * kSlowQuantile;
  std::uint32_t below = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && below + mCounts[bucket] < wanted) {
    below += mCounts[bucket];
    ++bucket;
  }
  double quantile =
    kFirstBucketUs * std::pow(kBucketRatio, static_cast<double>(bucket));
  return duration(static_cast<duration::rep>(quantile * kSlowMultiple)) +
         kSlowAllowance;
}

void
caller_mix::Add(std::uint32_t aBucket)
{
  mCells[aBucket * kCells / kWholeShare] += 1;
  mTotal += 1;
  if (mTotal < kMixMemory) {
    return;
  }
  mTotal = 0;
  for (float& cell : mCells) {
    cell /= 2;
    mTotal += cell;
  }
}

std::uint32_t
caller_mix::PartBelow(std::uint32_t aShare) const
{
  double edge = static_cast<double>(aShare) * kCells / kWholeShare;
  auto whole = static_cast<std::size_t>(edge);
  double below = 0;
  for (std::size_t i = 0; i < whole; ++i) {
    below += mCells[i];
  }
  if (whole < kCells) {
    below += mCells[whole] * (edge - static_cast<double>(whole));
  }
  double guess = static_cast<double>(aShare) / kWholeShare;
  double part = (below + kMixPrior * guess) / (mTotal + kMixPrior);
  return static_cast<std::uint32_t>(std::ceil(part * kWholeShare));
}

evidence_recorder::evidence_recorder(std::string aRollout, time_point aNow)
  : mRollout(std::move(aRollout))
  , mBegan(aNow)
  , mDedupeSince(aNow)
{
}

bool
evidence_recorder::FirstInWindow(const recorded_try& aTry, char aChannel)
{
  std::uint64_t seed = HashOf(aTry.route, aTry.exposed ? 1 : 0);
  std::uint64_t key =
    HashOf(aTry.caller, seed + static_cast<unsigned>(aChannel));
  return mSeenInWindow.insert(key).second;
}

void
evidence_recorder::Started(std::uint64_t aTry,
                           const recorded_try& aBegun,
                           time_point aNow)
{
  mOpen[aTry] = open_try{ aBegun, aNow };
  std::uint64_t caller = HashOf(aBegun.caller);
  mCallers.insert(caller);
  if (aBegun.exposed) {
    mExposedCallers.insert(caller);
  }
}

void
evidence_recorder::Finished(std::uint64_t aTry,
                            const recorded_try& aEnded,
                            bool aCounts)
{
  bool countedSlow = false;
  auto open = mOpen.find(aTry);
  if (open != mOpen.end()) {
    countedSlow = open->second.counted_slow;
    mOpen.erase(open);
  }
  if (!aCounts) {
    return;
  }
  if (!aEnded.warming && !aEnded.failed) {
    mWarmNodes.insert(aEnded.node);
  }
  mTotals.busy_us += static_cast<std::uint64_t>(aEnded.service_time.count());
  CountTrial(aEnded);
  route_state& state = mRoutes[aEnded.route];
  if (!aEnded.exposed && !aEnded.failed) {
    state.old_times.push_back(aEnded.service_time);
  }
  bool judged = state.slow_threshold.count() > 0 && !aEnded.warming &&
                !aEnded.failed && !countedSlow;
  if (judged) {
    CountTimed(aEnded, aEnded.service_time > state.slow_threshold);
  }
}

bool
evidence_recorder::FailsByItself(std::uint64_t aCaller) const
{
  auto found = mOldRecords.find(aCaller);
  if (found == mOldRecords.end()) {
    return false;
  }
  const old_record& record = found->second;
  return record.failures >= kLeastOwnFailures &&
         record.failures * kOwnFailureShare >= record.trials;
}

void
evidence_recorder::CountTrial(const recorded_try& aTry)
{
  std::uint64_t caller = HashOf(aTry.caller);
  if (!FirstInWindow(aTry, 'f')) {
    return;
  }
  if (aTry.exposed && FailsByItself(caller)) {
    return;
  }
  if (!aTry.exposed) {
    old_record& record = mOldRecords[caller];
    ++record.trials;
    record.failures += aTry.failed ? 1 : 0;
  }
  route_state& state = mRoutes[aTry.route];
  state.trial_mix.Add(BucketOfCaller(mRollout, aTry.caller));
  arm_counts one{ 1, aTry.failed ? 1U : 0U, 0, 0 };
  if (aTry.exposed) {
    state.new_window += one;
    state.instances[aTry.node] += one;
    ++mTotals.new_trials;
    if (aTry.failed) {
      mCallersWithEvents.insert(caller);
    }
  } else {
    state.old_window += one;
    ++mTotals.old_trials;
  }
}

void
evidence_recorder::CountTimed(const recorded_try& aTry, bool aSlow)
{
  if (!FirstInWindow(aTry, 's')) {
    return;
  }
  route_state& state = mRoutes[aTry.route];
  state.timed_mix.Add(BucketOfCaller(mRollout, aTry.caller));
  arm_counts one{ 0, 0, 1, aSlow ? 1U : 0U };
  if (aTry.exposed) {
    state.new_window += one;
    state.instances[aTry.node] += one;
    if (aSlow) {
      mCallersWithEvents.insert(HashOf(aTry.caller));
    }
  } else {
    state.old_window += one;
  }
}

void
evidence_recorder::CallerHurt(const std::string& aCaller)
{
  mHurtCallers.insert(HashOf(aCaller));
}

void
evidence_recorder::CountOverdue(time_point aNow)
{
  for (auto& [id, open] : mOpen) {
    const route_state& state = mRoutes[open.begun.route];
    bool judged = state.slow_threshold.count() > 0 && !open.counted_slow &&
                  mWarmNodes.count(open.begun.node) != 0;
    bool overdue = judged && aNow - open.started > state.slow_threshold * 2;
    if (overdue) {
      open.counted_slow = true;
      CountTimed(open.begun, true);
    }
  }
}

evidence_window
evidence_recorder::CloseWindow(const std::string& aRoute, route_state& aState)
{
  evidence_window window;
  window.route = aRoute;
  window.trial_share = aState.trial_mix.PartBelow(mShare);
  window.timed_share = aState.timed_mix.PartBelow(mShare);
  window.old_version = aState.old_window;
  window.new_version = aState.new_window;
  for (const auto& [node, counts] : aState.instances) {
    window.instances.push_back({ node, counts });
  }
  aState.old_window = {};
  aState.new_window = {};
  aState.instances.clear();
  for (duration time : aState.old_times) {
    aState.baseline.Add(time);
    mAllRoutes.Add(time);
  }
  aState.old_times.clear();
  duration own = aState.baseline.SlowThreshold();
  aState.slow_threshold = own.count() > 0 ? own : mAllRoutes.SlowThreshold();
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
  if (aNow - mDedupeSince >= kDedupePeriod) {
    mDedupeSince = aNow;
    mSeenInWindow.clear();
  }
  return windows;
}

evidence_totals
evidence_recorder::Totals(time_point aNow) const
{
  evidence_totals totals = mTotals;
  totals.covered_ms = static_cast<std::uint64_t>(Milliseconds(aNow - mBegan));
  totals.callers = mCallers.size();
  totals.callers_exposed = mExposedCallers.size();
  totals.callers_hurt = mHurtCallers.size();
  totals.callers_with_events = mCallersWithEvents.size();
  return totals;
}

} // namespace eelgrasstrack
