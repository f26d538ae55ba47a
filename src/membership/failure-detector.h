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
  duration pause_gap = std::chrono::seconds(3);
  /// Greatest factor by which own slowness stretches `suspect_after`.
  unsigned max_local_health = 4;
};

/// Watches the neighbours that a node probes. When the node itself was slow,
/// it trusts its own suspicions less (Lifeguard: Dadgar, Phillips and Currey,
/// 2017).
class failure_detector
{
public:
  explicit failure_detector(failure_detector_options aOptions);

  /// Sets whom to watch; a new neighbour starts as just heard from.
  void Watch(const std::vector<node_id>& aNeighbours, time_point aNow);

  void Heard(const node_id& aNode, time_point aNow);

  /// The link broke and could not be opened again.
  void Unreachable(const node_id& aNode);

  /// Neighbours that are silent for too long; each is named once until it is
  /// heard from again. `paused` tells that this process was paused.
  struct verdict
  {
    std::vector<node_id> suspects;
    bool paused = false;
  };
  verdict Check(time_point aNow);

  unsigned LocalHealth() const { return mLocalHealth; }

private:
  struct neighbour
  {
    time_point heard{};
    bool unreachable = false;
    bool named = false;
  };

  failure_detector_options mOptions;
  std::map<node_id, neighbour> mNeighbours;
  time_point mLastCheck{};
  unsigned mLocalHealth = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_FAILURE_DETECTOR_H_
