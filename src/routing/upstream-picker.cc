#include "routing/upstream-picker.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Age above which a load hint is ignored.
constexpr duration kLoadHintLifetime = std::chrono::milliseconds(500);
/// Weight of the newest call in the moving average of failures.
constexpr double kFailureSmoothing = 0.1;
/// Calls needed before a failure rate is compared with those of other nodes.
constexpr unsigned kMinFailureRateSamples = 10;
/// An outlier's failure rate exceeds the mean of the others by this factor.
constexpr double kOutlierRateFactor = 3;
/// Limits the shift when the ejection time doubles.
constexpr unsigned kMaxEjectionDoublings = 6;
/// Share of its slots with which a new upstream starts.
constexpr double kMinSlowStartShare = 0.1;

bool
Contains(const std::vector<node_id>& aNodes, const node_id& aNode)
{
  return std::find(aNodes.begin(), aNodes.end(), aNode) != aNodes.end();
}

} // namespace

upstream_picker::upstream_picker(std::string aDomain,
                                 picker_options aOptions,
                                 std::uint64_t aSeed)
  : mDomain(std::move(aDomain))
  , mOptions(aOptions)
  , mRandom(aSeed)
{
}

bool
upstream_picker::IsEjected(const node_id& aNode, time_point aNow) const
{
  auto found = mStats.find(aNode);
  return found != mStats.end() && found->second.ejected_until > aNow;
}

std::uint32_t
upstream_picker::Outstanding(const node_id& aNode) const
{
  auto found = mStats.find(aNode);
  return found == mStats.end() ? 0 : found->second.outstanding;
}

double
upstream_picker::ComputeLoad(const upstream_candidate& aCandidate,
                             time_point aNow)
{
  node_stats& load = mStats[aCandidate.node];
  if (load.first_seen == time_point{}) {
    load.first_seen = aNow;
  }
  std::uint32_t work = load.outstanding;
  if (aNow - load.hinted_at < kLoadHintLifetime) {
    work = std::max(work, load.hinted_load);
  }
  double slowStartShare =
    std::chrono::duration<double>(aNow - load.first_seen) /
    std::chrono::duration<double>(mOptions.slow_start);
  slowStartShare = std::clamp(slowStartShare, kMinSlowStartShare, 1.0);
  return (work + 1.0) / (aCandidate.slots * slowStartShare);
}

std::vector<std::size_t>
upstream_picker::FindUsable(const std::vector<upstream_candidate>& aCandidates,
                            const std::vector<node_id>& aExcluded,
                            time_point aNow) const
{
  std::vector<std::size_t> eligible;
  std::vector<std::size_t> notEjected;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (Contains(aExcluded, aCandidates[i].node)) {
      continue;
    }
    eligible.push_back(i);
    if (!IsEjected(aCandidates[i].node, aNow)) {
      notEjected.push_back(i);
    }
  }
  std::size_t ejected = eligible.size() - notEjected.size();
  bool panic = ejected * 100 > eligible.size() * mOptions.max_ejection_percent;
  return panic ? eligible : notEjected;
}

std::vector<std::size_t>
upstream_picker::PreferLocal(const std::vector<upstream_candidate>& aCandidates,
                             std::vector<std::size_t> aUsable,
                             time_point aNow)
{
  std::vector<std::size_t> local;
  double leastLoad = 1e9;
  for (std::size_t index : aUsable) {
    if (aCandidates[index].domain == mDomain) {
      local.push_back(index);
      leastLoad = std::min(leastLoad, ComputeLoad(aCandidates[index], aNow));
    }
  }
  bool hasCapacity = leastLoad * 100 <= mOptions.max_local_load_percent;
  return local.empty() || !hasCapacity ? aUsable : local;
}

std::size_t
upstream_picker::PickLessLoaded(
  const std::vector<upstream_candidate>& aCandidates,
  const std::vector<std::size_t>& aUsable,
  time_point aNow)
{
  std::uniform_int_distribution<std::size_t> draw(0, aUsable.size() - 1);
  std::size_t first = aUsable[draw(mRandom)];
  std::size_t second = aUsable[draw(mRandom)];
  bool secondIsLess = ComputeLoad(aCandidates[second], aNow) <
                      ComputeLoad(aCandidates[first], aNow);
  return secondIsLess ? second : first;
}

std::optional<std::size_t>
upstream_picker::Pick(const std::vector<upstream_candidate>& aCandidates,
                      const std::vector<node_id>& aExcluded,
                      time_point aNow)
{
  std::vector<std::size_t> usable = FindUsable(aCandidates, aExcluded, aNow);
  if (usable.empty()) {
    return std::nullopt;
  }
  return PickLessLoaded(
    aCandidates, PreferLocal(aCandidates, std::move(usable), aNow), aNow);
}

void
upstream_picker::RecordStart(const node_id& aNode)
{
  ++mStats[aNode].outstanding;
}

void
upstream_picker::RecordFinish(const node_id& aNode,
                              call_outcome aOutcome,
                              time_point aNow)
{
  node_stats& load = mStats[aNode];
  load.outstanding -= load.outstanding > 0 ? 1 : 0;
  if (aOutcome != call_outcome::refused) {
    UpdateEjection(aNode, aOutcome == call_outcome::failed, aNow);
  }
}

void
upstream_picker::UpdateEjection(const node_id& aNode,
                                bool aFailed,
                                time_point aNow)
{
  node_stats& load = mStats[aNode];
  load.failure_rate +=
    kFailureSmoothing * ((aFailed ? 1 : 0) - load.failure_rate);
  ++load.failure_rate_samples;
  if (!aFailed) {
    load.consecutive_failures = 0;
    bool recovered = load.failure_rate < mOptions.failure_rate_to_eject / 2;
    load.ejections = recovered ? 0 : load.ejections;
    return;
  }
  ++load.consecutive_failures;
  if (load.consecutive_failures < mOptions.consecutive_failures_to_eject &&
      !IsOutlier(aNode)) {
    return;
  }
  load.consecutive_failures = 0;
  load.failure_rate_samples = 0;
  duration length = mOptions.base_ejection_time *
                    (1U << std::min(load.ejections, kMaxEjectionDoublings));
  load.ejected_until = aNow + std::min(length, mOptions.max_ejection_time);
  ++load.ejections;
}

bool
upstream_picker::IsOutlier(const node_id& aNode) const
{
  const node_stats& own = mStats.at(aNode);
  double otherRates = 0;
  unsigned count = 0;
  for (const auto& [node, load] : mStats) {
    if (node != aNode && load.failure_rate_samples >= kMinFailureRateSamples) {
      otherRates += load.failure_rate;
      ++count;
    }
  }
  bool hasEnoughSamples =
    own.failure_rate_samples >= kMinFailureRateSamples && count > 0;
  return hasEnoughSamples &&
         own.failure_rate > mOptions.failure_rate_to_eject &&
         own.failure_rate > kOutlierRateFactor * otherRates / count;
}

void
upstream_picker::UpdateLoadHint(const node_id& aNode,
                                std::uint32_t aBusy,
                                std::uint32_t aQueued,
                                time_point aNow)
{
  node_stats& load = mStats[aNode];
  load.hinted_load = aBusy + aQueued;
  load.hinted_at = aNow;
}

void
upstream_picker::Remove(const node_id& aNode)
{
  mStats.erase(aNode);
}

} // namespace eelgrasstrack
