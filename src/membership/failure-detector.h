#ifndef EELGRASSTRACK_MEMBERSHIP_FAILURE_DETECTOR_H_
#define EELGRASSTRACK_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <map>
#include <vector>

#include "base/clock.h"
#include "membership/member.h"

namespace eelgrasstrack {

struct failure_detector_options
{
  /// A neighbour that sent nothing for this long is suspected.
  duration suspect_after = std::chrono::seconds(5);
  /// A longer gap between two checks means that this process was paused.
  duration pause_threshold = std::chrono::seconds(3);
  /// Upper bound of the local health score. `suspect_after` is multiplied by
  /// the score plus one.
  unsigned max_local_health_score = 4;
};

/// Detects failed neighbours among those that a node probes. After the node
/// itself was paused, it waits longer before it suspects a neighbour, because
/// its own delay may be the reason that it received no message (Lifeguard:
/// Dadgar, Phillips and Currey, 2017).
class failure_detector
{
public:
  explicit failure_detector(failure_detector_options aOptions);

  /// Sets the neighbours to check. A new neighbour counts as active at `aNow`.
  void SetNeighbours(const std::vector<node_id>& aNeighbours, time_point aNow);

  /// Records that a message arrived from a node. Ignored if the node is not a
  /// neighbour.
  void RecordActivity(const node_id& aNode, time_point aNow);

  /// Marks a neighbour whose link broke and could not be reopened. The next
  /// check reports it without waiting for `suspect_after`.
  void MarkUnreachable(const node_id& aNode);

  struct check_result
  {
    /// Neighbours that became suspect. Each is reported once until it sends a
    /// message again.
    std::vector<node_id> suspects;
    /// This process was paused. No neighbour is reported in that case.
    bool process_paused = false;
  };
  check_result Check(time_point aNow);

  /// 0 is healthy. Rises with each pause of this process and falls with each
  /// check in which no neighbour was inactive or unreachable.
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
