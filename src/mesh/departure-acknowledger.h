#ifndef EELGRASSTRACK_MESH_DEPARTURE_ACKNOWLEDGER_H_
#define EELGRASSTRACK_MESH_DEPARTURE_ACKNOWLEDGER_H_

#include <memory>
#include <vector>

#include "http/loop.h"
#include "mesh/control-store.h"

namespace eelgrasstrack {

/// Acknowledges that an instance leaves once the host's entry in the store says
/// so. Nodes keep nothing, and all of them may be killed at once, so only the
/// store can tell a node that starts again.
class departure_acknowledger
{
public:
  explicit departure_acknowledger(loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// Calls `aDone` once the departure is recorded. Fails with `not_ready` if it
  /// is not within 0.9 s. The caller writes the entry.
  void Await(const instance_incarnation& aDeparture, done_callback aDone);

  /// The store holds this entry of the host.
  void HandleEntryStored(const host_record& aEntry);

  /// Whether an instance waits for its departure to be recorded.
  bool IsWaiting() const { return !mPending.empty(); }

private:
  struct pending_departure
  {
    instance_incarnation departure;
    std::vector<done_callback> waiting;
  };
  using pending_ptr = std::shared_ptr<pending_departure>;

  pending_ptr Find(const instance_incarnation& aDeparture) const;
  pending_ptr Begin(const instance_incarnation& aDeparture);
  void Finish(const pending_ptr& aPending, const result<void>& aResult);

  loop& mLoop;
  std::vector<pending_ptr> mPending;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_DEPARTURE_ACKNOWLEDGER_H_
