#ifndef EELGRASSTRACK_MESH_OWN_ENTRY_H_
#define EELGRASSTRACK_MESH_OWN_ENTRY_H_

#include "mesh/departure-acknowledger.h"

namespace eelgrasstrack {

/// Receives what happens to a host's own entry.
class own_entry_delegate
{
public:
  virtual ~own_entry_delegate() = default;
  /// The entry was read. `aFirst`: this process knew of none before.
  virtual void OnEntryRead(const host_record& aEntry, bool aFirst) = 0;
  /// The entry was written. `aFirst`: this process knew of none before.
  virtual void OnEntryWritten(bool aFirst) = 0;
};

/// The entry of this host in the store: keeps it up to date with the node's
/// record, and acknowledges departures that it shows.
class own_entry
{
public:
  /// `aRecord` is the node's record; it must outlive this object.
  own_entry(loop& aLoop,
            control_store& aStore,
            const host_record& aRecord,
            own_entry_delegate& aDelegate);

  /// Writes the entry if an address or the instance has changed.
  void Publish();
  /// Publishes after a delay, to combine changes into one write.
  void SchedulePublish();
  /// Publishes after a delay: this one if an instance that leaves waits for it,
  /// else the usual one.
  void PublishSoon(duration aDelay);

  /// Calls `aDone` once the entry shows this departure, which the node's record
  /// already does. Fails with `not_ready` if that takes longer than 0.9 s.
  void AcknowledgeDeparture(const instance_incarnation& aDeparture,
                            done_callback aDone);

  /// A listing of the store holds the entry.
  void HandleListed(const host_record& aEntry);
  /// The store holds the entry no longer.
  void HandleLost();

  /// Publishes from now on only for departures: the node is stopping.
  void SetStopping() { mStopping = true; }

private:
  void HandleWritten(const host_record& aEntry);
  void HandleWriteFailed(const error& aError);
  /// Reads the entry that another write has left, and publishes again.
  void Read();
  void HandleRead(const host_record& aEntry, bool aFirst);

  loop& mLoop;
  control_store& mStore;
  const host_record& mRecord;
  own_entry_delegate& mDelegate;
  departure_acknowledger mDepartures;
  /// The entry as last written or read.
  std::optional<host_record> mStored;
  bool mCalling = false;
  bool mScheduled = false;
  bool mStopping = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_OWN_ENTRY_H_
