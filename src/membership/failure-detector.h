#ifndef EELGRASSTRACK_MEMBERSHIP_FAILURE_DETECTOR_H_
#define EELGRASSTRACK_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <map>
#include <vector>

#include "base/clock.h"
#include "membership/member.h"

namespace eelgrasstrack {

struct failure_detector_options
{
  /// Silence after which a neighbour is suspected.
  duration suspect_after = std::chrono::seconds(5);
  /// A gap between two checks that shows that this process itself was paused.
  duration pause_threshold = std::chrono::seconds(3);
  /// Greatest factor by which own slowness stretches `suspect_after`.
  unsigned max_local_health_score = 4;
};

/// Watches the neighbours that a node probes. When the node itself was slow,
/// it trusts its own suspicions less (Lifeguard: Dadgar, Phillips and Currey,
/// 2017).
class failure_detector
{
public:
  explicit failure_detector(failure_detector_options aOptions);

  /// Sets whom to watch; a new neighbour starts as just heard from.
  void SetNeighbours(const std::vector<node_id>& aNeighbours, time_point aNow);

  void RecordActivity(const node_id& aNode, time_point aNow);

  /// The link broke and could not be opened again.
  void MarkUnreachable(const node_id& aNode);

  /// Neighbours that are silent for too long; each is named once until it is
  /// heard from again. `paused` tells that this process was paused.
  struct check_result
  {
    std::vector<node_id> suspects;
    bool process_paused = false;
  };
  check_result Check(time_point aNow);

  unsigned LocalHealthScore() const { return mLocalHealthScore; }

private:
  struct neighbour
  {
    time_point last_activity{};
    bool unreachable = false;
    bool reported = false;
  };

  failure_detector_options mOptions;
  std::map<node_id, neighbour> mNeighbours;
  time_point mLastCheck{};
  unsigned mLocalHealthScore = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_FAILURE_DETECTOR_H_
