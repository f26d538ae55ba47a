#include "membership/failure-detector.h"

#include <algorithm>

namespace eelgrasstrack {

failure_detector::failure_detector(failure_detector_options aOptions)
  : mOptions(aOptions)
{
}

void
failure_detector::SetNeighbours(const std::vector<node_id>& aNeighbours,
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
failure_detector::RecordActivity(const node_id& aNode, time_point aNow)
{
  auto found = mNeighbours.find(aNode);
  if (found != mNeighbours.end()) {
    found->second = neighbour{ aNow };
  }
}

void
failure_detector::MarkUnreachable(const node_id& aNode)
{
  auto found = mNeighbours.find(aNode);
  if (found != mNeighbours.end()) {
    found->second.unreachable = true;
  }
}

failure_detector::check_result
failure_detector::Check(time_point aNow)
{
  check_result outcome;
  bool first = mLastCheck == time_point{};
  outcome.process_paused =
    !first && aNow - mLastCheck > mOptions.pause_threshold;
  mLastCheck = aNow;
  if (outcome.process_paused) {
    mLocalHealthScore =
      std::min(mLocalHealthScore + 1, mOptions.max_local_health_score);
    for (auto& [node, state] : mNeighbours) {
      state.last_activity = aNow;
    }
    return outcome;
  }
  duration limit = mOptions.suspect_after * (1 + mLocalHealthScore);
  bool allActive = true;
  for (auto& [node, state] : mNeighbours) {
    bool inactive = state.unreachable || aNow - state.last_activity > limit;
    allActive = allActive && !inactive;
    if (inactive && !state.reported) {
      state.reported = true;
      outcome.suspects.push_back(node);
    }
  }
  if (allActive && mLocalHealthScore > 0) {
    --mLocalHealthScore;
  }
  return outcome;
}

} // namespace eelgrasstrack
