#include "routing/upstream-picker.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// How long a load hint counts.
constexpr duration kHintAge = std::chrono::milliseconds(500);
/// Weight of the newest call in the moving average of failures.
constexpr double kFailureSmoothing = 0.1;
constexpr unsigned kLeastJudged = 10;
constexpr double kOutlierFactor = 3;
constexpr unsigned kMostDoublings = 6;
/// A new upstream starts with this share of its slots.
constexpr double kSlowStartFloor = 0.1;

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
upstream_picker::Ejected(const node_id& aNode, time_point aNow) const
{
  auto found = mLoads.find(aNode);
  return found != mLoads.end() && found->second.ejected_until > aNow;
}

std::uint32_t
upstream_picker::Outstanding(const node_id& aNode) const
{
  auto found = mLoads.find(aNode);
  return found == mLoads.end() ? 0 : found->second.outstanding;
}

double
upstream_picker::LoadOf(const upstream_candidate& aCandidate, time_point aNow)
{
  node_load& load = mLoads[aCandidate.node];
  if (load.first_seen == time_point{}) {
    load.first_seen = aNow;
  }
  std::uint32_t work = load.outstanding;
  if (aNow - load.hinted_at < kHintAge) {
    work = std::max(work, load.hinted);
  }
  double warm = std::chrono::duration<double>(aNow - load.first_seen) /
                std::chrono::duration<double>(mOptions.slow_start);
  warm = std::clamp(warm, kSlowStartFloor, 1.0);
  return (work + 1.0) / (aCandidate.slots * warm);
}

std::vector<std::size_t>
upstream_picker::Usable(const std::vector<upstream_candidate>& aCandidates,
                        const std::vector<node_id>& aTried,
                        time_point aNow) const
{
  std::vector<std::size_t> untried;
  std::vector<std::size_t> healthy;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (Contains(aTried, aCandidates[i].node)) {
      continue;
    }
    untried.push_back(i);
    if (!Ejected(aCandidates[i].node, aNow)) {
      healthy.push_back(i);
    }
  }
  std::size_t left = untried.size() - healthy.size();
  bool panic = left * 100 > untried.size() * mOptions.ejection_limit_percent;
  return panic ? untried : healthy;
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
      leastLoad = std::min(leastLoad, LoadOf(aCandidates[index], aNow));
    }
  }
  bool room = leastLoad * 100 <= mOptions.local_load_percent;
  return local.empty() || !room ? aUsable : local;
}

std::size_t
upstream_picker::LesserOfTwo(const std::vector<upstream_candidate>& aCandidates,
                             const std::vector<std::size_t>& aUsable,
                             time_point aNow)
{
  std::uniform_int_distribution<std::size_t> draw(0, aUsable.size() - 1);
  std::size_t first = aUsable[draw(mRandom)];
  std::size_t second = aUsable[draw(mRandom)];
  bool secondIsLess =
    LoadOf(aCandidates[second], aNow) < LoadOf(aCandidates[first], aNow);
  return secondIsLess ? second : first;
}

std::optional<std::size_t>
upstream_picker::Pick(const std::vector<upstream_candidate>& aCandidates,
                      const std::vector<node_id>& aTried,
                      time_point aNow)
{
  std::vector<std::size_t> usable = Usable(aCandidates, aTried, aNow);
  if (usable.empty()) {
    return std::nullopt;
  }
  return LesserOfTwo(
    aCandidates, PreferLocal(aCandidates, std::move(usable), aNow), aNow);
}

void
upstream_picker::Started(const node_id& aNode)
{
  ++mLoads[aNode].outstanding;
}

void
upstream_picker::Finished(const node_id& aNode,
                          call_outcome aOutcome,
                          time_point aNow)
{
  node_load& load = mLoads[aNode];
  load.outstanding -= load.outstanding > 0 ? 1 : 0;
  if (aOutcome != call_outcome::refused) {
    Judge(aNode, aOutcome == call_outcome::failed, aNow);
  }
}

void
upstream_picker::Judge(const node_id& aNode, bool aFailed, time_point aNow)
{
  node_load& load = mLoads[aNode];
  load.failure_rate +=
    kFailureSmoothing * ((aFailed ? 1 : 0) - load.failure_rate);
  ++load.judged;
  if (!aFailed) {
    load.failures_in_row = 0;
    bool recovered = load.failure_rate < mOptions.failure_rate_to_eject / 2;
    load.ejections = recovered ? 0 : load.ejections;
    return;
  }
  ++load.failures_in_row;
  if (load.failures_in_row < mOptions.failures_to_eject && !IsOutlier(aNode)) {
    return;
  }
  load.failures_in_row = 0;
  load.judged = 0;
  duration length =
    mOptions.first_ejection * (1U << std::min(load.ejections, kMostDoublings));
  load.ejected_until = aNow + std::min(length, mOptions.longest_ejection);
  ++load.ejections;
}

bool
upstream_picker::IsOutlier(const node_id& aNode) const
{
  const node_load& own = mLoads.at(aNode);
  double others = 0;
  unsigned count = 0;
  for (const auto& [node, load] : mLoads) {
    if (node != aNode && load.judged >= kLeastJudged) {
      others += load.failure_rate;
      ++count;
    }
  }
  bool enough = own.judged >= kLeastJudged && count > 0;
  return enough && own.failure_rate > mOptions.failure_rate_to_eject &&
         own.failure_rate > kOutlierFactor * others / count;
}

void
upstream_picker::Hint(const node_id& aNode,
                      std::uint32_t aBusy,
                      std::uint32_t aQueued,
                      time_point aNow)
{
  node_load& load = mLoads[aNode];
  load.hinted = aBusy + aQueued;
  load.hinted_at = aNow;
}

void
upstream_picker::Forget(const node_id& aNode)
{
  mLoads.erase(aNode);
}

} // namespace eelgrasstrack
