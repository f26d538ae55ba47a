#ifndef EELGRASSTRACK_FLEET_STORE_FOLLOWER_H_
#define EELGRASSTRACK_FLEET_STORE_FOLLOWER_H_

#include <memory>
#include <random>

#include "distribution/config-state.h"
#include "distribution/config-writer.h"
#include "fleet/bootstrap-record.h"
#include "store/call-budget.h"
#include "store/object-store.h"

namespace eelgrasstrack {

/// Receives what the store holds.
class store_follower_owner
{
public:
  virtual ~store_follower_owner() = default;
  virtual void OnStoreConfig(const config_state& aState) = 0;
  virtual void OnStoreEmpty() = 0;
  virtual void OnBootstrap(const bootstrap_record& aRecord) = 0;
  /// The nodes that the bootstrap record should list for this domain.
  virtual std::vector<node_id> BootstrapNodesOfDomain() const = 0;
  virtual std::size_t FleetSize() const = 0;
};

/// The reading side of the store: the first read at start, the watch on the
/// configuration while this node is one of its domain's watchers, and the
/// upkeep of the bootstrap record. One call of each kind at a time; failures
/// are retried with jittered backoff.
class store_follower
{
public:
  store_follower(object_store& aStore,
                 task_scheduler& aScheduler,
                 store_follower_owner& aOwner,
                 std::string aDomain,
                 std::uint64_t aSeed);

  /// Reads the bootstrap record, then the configuration.
  void Start();

  /// Begins or ends the watch on the configuration.
  void SetWatching(bool aWatching);
  bool Watching() const { return mWatching; }

  /// Reads the configuration every `aPeriod` (a baseline for the bench).
  void PollEvery(duration aPeriod);

  /// Writes this domain's part of the bootstrap record if it differs from what
  /// the owner wants.
  void RefreshBootstrap();

private:
  /// Why the bootstrap record is read.
  enum class bootstrap_purpose
  {
    /// To find others, to be listed if there is room, then to read the
    /// configuration.
    start,
    /// To be listed if there is room, after another write came first.
    join,
    /// To list whom the owner wants for this domain.
    refresh,
  };

  void ReadBootstrap(bootstrap_purpose aPurpose);
  void HandleBootstrap(bootstrap_purpose aPurpose,
                       const stored_object& aObject);
  void ScheduleConfigRead(std::size_t aFleetSize);
  void WriteBootstrap(bootstrap_purpose aPurpose,
                      bootstrap_record aRecord,
                      std::uint64_t aVersion);
  void ReadConfig();
  void Watch();
  bool HandleConfig(const result<stored_object>& aObject);

  object_store& mStore;
  task_scheduler& mScheduler;
  store_follower_owner& mOwner;
  std::string mDomain;
  std::mt19937_64 mRandom;
  jittered_backoff mBootstrapBackoff;
  jittered_backoff mConfigBackoff;
  jittered_backoff mWatchBackoff;
  std::uint64_t mStoreVersion = 0;
  bool mConfigLoaded = false;
  bool mWatching = false;
  bool mWatchPending = false;
  bool mBootstrapPending = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_STORE_FOLLOWER_H_
