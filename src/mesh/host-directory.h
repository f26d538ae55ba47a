#ifndef EELGRASSTRACK_MESH_HOST_DIRECTORY_H_
#define EELGRASSTRACK_MESH_HOST_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mesh/host-record.h"

namespace eelgrasstrack {

/// The record of a host and whether this node can reach the host.
struct known_host
{
  host_record record;
  /// Local time of the last update of the record.
  time_point updated_at{};
  /// A probe went unanswered. Requests go to other hosts until a probe succeeds
  /// or a message arrives.
  bool unreachable = false;
  time_point unreachable_since{};
};

/// All hosts that this node knows, including its own.
class host_directory
{
public:
  explicit host_directory(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /// Merges a record unless it is no newer than the known one. Returns whether
  /// it was merged.
  bool Merge(const host_record& aRecord, time_point aNow);

  /// Records that the instance of a host is leaving. The host no longer counts
  /// as serving, whatever its records say, until it has another instance or
  /// incarnation. Returns whether it was not recorded before.
  bool RecordLeaving(const std::string& aHost,
                     const instance_incarnation& aInstance,
                     time_point aNow);

  /// Same for the instance that the host has now, which is later than any whose
  /// departure is recorded.
  bool RecordPresentLeaving(const std::string& aHost,
                            const instance_incarnation& aInstance,
                            time_point aNow);
  /// The last departure recorded for a host, if any.
  std::optional<instance_incarnation> LastDeparture(
    const std::string& aHost) const;
  /// Whether this instance of a host is recorded as leaving.
  bool IsRecordedAsLeaving(const std::string& aHost,
                           const instance_record& aInstance) const;
  /// The recorded departure of a host's instance that the host's own record
  /// does not show: its node has started again since.
  std::optional<host_departure> UnreportedDeparture(
    const std::string& aHost) const;
  /// Those of all hosts.
  std::vector<host_departure> UnreportedDepartures() const;

  /// Marks a known host as unreachable, except this node's own.
  void MarkUnreachable(const std::string& aName, time_point aNow);
  /// Marks a host as reachable. Returns whether it was marked unreachable.
  bool MarkReachable(const std::string& aName);

  /// Removes and returns hosts that were unreachable for longer than `aAfter`.
  /// A node that reaches half of the hosts or fewer removes none: it may itself
  /// be partitioned, and needs the records to reconnect.
  std::vector<host_record> RemoveUnreachable(duration aAfter, time_point aNow);
  /// Whether the host was removed and no record of it was merged since.
  bool WasRemoved(const std::string& aName) const
  {
    return mRemoved.count(aName) > 0;
  }

  /// Returns the host with this name, or null.
  const known_host* Find(const std::string& aName) const;
  const std::map<std::string, known_host>& All() const { return mHosts; }
  const std::string& Self() const { return mSelf; }
  /// Increases with each change of a record and of whether a host is reachable.
  std::uint64_t Revision() const { return mRevision; }

  /// Hosts with a ready instance of the service that accept new requests,
  /// sorted by name. The reference is valid until the directory changes.
  const std::vector<const known_host*>& ServingHosts(
    const std::string& aService) const;

private:
  struct leaving_instance
  {
    instance_incarnation incarnation;
    time_point recorded_at{};
  };

  /// Remembers the instance of a record that is about to be dropped, if it is
  /// leaving or gone: a node that starts again may take it for ready.
  void RememberIfLeaving(const host_record& aDropped, time_point aNow);
  /// Records the last departure that the record names.
  void RecordLastDeparture(const host_record& aRecord, time_point aNow);
  /// Forgets the leaving instances of hosts that were removed long ago.
  void ForgetLeaving(time_point aNow);
  bool ReachesMajority() const;
  bool IsServing(const host_record& aRecord) const;
  void RebuildIndex() const;
  void MarkChanged()
  {
    mIndexValid = false;
    ++mRevision;
  }

  std::string mSelf;
  std::map<std::string, known_host> mHosts;
  std::set<std::string> mRemoved;
  /// The last instance of each host that is known to be leaving or gone.
  std::map<std::string, leaving_instance> mLeaving;
  /// Serving hosts by service: read for every request, while records rarely
  /// change. Rebuilt by the first read after a change.
  mutable std::map<std::string, std::vector<const known_host*>> mServing;
  mutable bool mIndexValid = false;
  std::uint64_t mRevision = 1;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_HOST_DIRECTORY_H_
