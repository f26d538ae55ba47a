#ifndef EELGRASSTRACK_MESH_HOST_ENTRY_REPAIR_H_
#define EELGRASSTRACK_MESH_HOST_ENTRY_REPAIR_H_

#include "mesh/control-store.h"
#include "mesh/gossip.h"

namespace eelgrasstrack {

/// Whether two records of a host need the same entry in the store.
bool
HaveSameEntry(const host_record& aLeft, const host_record& aRight);

/// Whether this node is the one that removes the entry of a host that is gone.
bool
IsRemoverOf(const host_directory& aDirectory, const std::string& aHost);

/// Repairs the entries of hosts after the store was restored from a backup:
/// hosts whose entry was lost are asked to write it, entries that were removed
/// are removed again. Runs on the nodes that watch the store; each one repairs
/// the entries of its own failure domain.
class host_entry_repair
{
public:
  host_entry_repair(loop& aLoop,
                    control_store& aStore,
                    host_directory& aDirectory,
                    gossip& aGossip);

  /// Sets the function that is called when this node's own entry was lost.
  void OnOwnEntryLost(std::function<void()> aHandler);

  /// Sets whether this node repairs entries. Checks in progress end when it no
  /// longer does.
  void SetActive(bool aActive) { mActive = aActive; }

  /// Lists and repairs the entries, a few times until none is missing.
  void Start();

private:
  void Check(unsigned aRounds);
  void MergeListed(const std::vector<host_record>& aListed);
  /// Hosts of the own failure domain whose entry is missing or out of date.
  std::vector<std::string> LostEntries(
    const std::vector<host_record>& aListed) const;
  void Report(const std::string& aHost);

  loop& mLoop;
  control_store& mStore;
  host_directory& mDirectory;
  gossip& mGossip;
  std::function<void()> mOnOwnEntryLost;
  bool mActive = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_HOST_ENTRY_REPAIR_H_
