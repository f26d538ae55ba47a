#include "membership/failure-detector.h"

#include <algorithm>

namespace eelgrasstrack {

failure_detector::failure_detector(failure_detector_options aOptions)
  : mOptions(aOptions)
{
}

void
failure_detector::Watch(const std::vector<node_id>& aNeighbours,
                        time_point aNow)
{
  std::map<node_id, neighbour> watched;
  for (const node_id& node : aNeighbours) {
    auto known = mNeighbours.find(node);
    watched[node] =
      known == mNeighbours.end() ? neighbour{ aNow } : known->second;
  }
  mNeighbours = std::move(watched);
}

void
failure_detector::Heard(const node_id& aNode, time_point aNow)
{
  auto found = mNeighbours.find(aNode);
  if (found != mNeighbours.end()) {
    found->second = neighbour{ aNow };
  }
}

void
failure_detector::Unreachable(const node_id& aNode)
{
  auto found = mNeighbours.find(aNode);
  if (found != mNeighbours.end()) {
    found->second.unreachable = true;
  }
}

failure_detector::verdict
failure_detector::Check(time_point aNow)
{
  verdict outcome;
  bool first = mLastCheck == time_point{};
  outcome.paused = !first && aNow - mLastCheck > mOptions.pause_gap;
  mLastCheck = aNow;
  if (outcome.paused) {
    mLocalHealth = std::min(mLocalHealth + 1, mOptions.max_local_health);
    for (auto& [node, state] : mNeighbours) {
      state.heard = aNow;
    }
    return outcome;
  }
  duration limit = mOptions.suspect_after * (1 + mLocalHealth);
  bool allHeard = true;
  for (auto& [node, state] : mNeighbours) {
    bool silent = state.unreachable || aNow - state.heard > limit;
    allHeard = allHeard && !silent;
    if (silent && !state.named) {
      state.named = true;
      outcome.suspects.push_back(node);
    }
  }
  if (allHeard && mLocalHealth > 0) {
    --mLocalHealth;
  }
  return outcome;
}

} // namespace eelgrasstrack
