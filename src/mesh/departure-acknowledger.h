#ifndef EELGRASSTRACK_MESH_DEPARTURE_ACKNOWLEDGER_H_
#define EELGRASSTRACK_MESH_DEPARTURE_ACKNOWLEDGER_H_

#include <memory>
#include <set>
#include <vector>

#include "mesh/control-store.h"
#include "mesh/gossip.h"

namespace eelgrasstrack {

/// Acknowledges that an instance leaves once that is recorded outside this
/// process, which keeps nothing: in the entry in the store or, while the store
/// does not answer, at two other nodes. A node that starts again learns it from
/// either.
class departure_acknowledger
{
public:
  departure_acknowledger(loop& aLoop, gossip& aGossip);

  /// Calls `aDone` once the departure is recorded. Fails with `not_ready` if it
  /// is not within 0.9 s. The caller writes the entry.
  void Await(const instance_incarnation& aDeparture, done_callback aDone);

  /// The store holds this entry of the host.
  void HandleEntryWritten(const host_record& aEntry);

  /// The store did not write an entry of the host.
  void HandleWriteFailed();

  /// Whether a departure is not recorded yet.
  bool IsWaiting() const { return !mPending.empty(); }

private:
  struct pending_departure
  {
    instance_incarnation departure;
    std::vector<done_callback> waiting;
    /// Other nodes that have recorded it.
    std::set<std::string> recorded_by;
    bool others_asked = false;
  };
  using pending_ptr = std::shared_ptr<pending_departure>;

  pending_ptr Find(const instance_incarnation& aDeparture) const;
  pending_ptr Begin(const instance_incarnation& aDeparture);
  void AskOthers(const pending_ptr& aPending);
  void HandleRecorded(const pending_ptr& aPending, const std::string& aHost);
  void Finish(const pending_ptr& aPending, const result<void>& aResult);

  loop& mLoop;
  gossip& mGossip;
  std::vector<pending_ptr> mPending;
};

/// Whether a restarted node that reads this entry would take the instance for
/// ready.
bool
NamesAsReady(const host_record& aEntry, const instance_incarnation& aInstance);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_DEPARTURE_ACKNOWLEDGER_H_
