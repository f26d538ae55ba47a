#ifndef EELGRASSTRACK_MESH_QUARANTINE_ENTRIES_H_
#define EELGRASSTRACK_MESH_QUARANTINE_ENTRIES_H_

#include "base/clock.h"
#include "mesh/host-record.h"
#include "proxy/crash-table.h"

namespace eelgrasstrack {

/// Keeps quarantined requests in the entry of the node that has seen the last
/// crash, so that they are still known after all nodes were killed at once.
class quarantine_entries
{
public:
  quarantine_entries(const clock_source& aClock, crash_table& aCrashes);

  /// Adds the records of quarantined requests to this node's record, up to 32;
  /// the newest replace the oldest. Returns whether the record has changed.
  bool AddTo(host_record& aOwn,
             const std::vector<crash_record>& aRecords) const;

  /// Removes requests that are no longer quarantined from this node's record.
  /// Returns whether the record has changed.
  bool RemoveEndedFrom(host_record& aOwn) const;

  /// Takes over the quarantined requests in a listed record.
  void Learn(const host_record& aListed);

private:
  const clock_source& mClock;
  crash_table& mCrashes;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_QUARANTINE_ENTRIES_H_
