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

/// Receives the objects read from the store and supplies the content of the
/// bootstrap record.
class store_follower_owner
{
public:
  virtual ~store_follower_owner() = default;
  /// The store held this configuration at `aAsOf`.
  virtual void OnStoreConfig(const config_state& aState, time_point aAsOf) = 0;
  /// The store held no configuration at `aAsOf`.
  virtual void OnStoreEmpty(time_point aAsOf) = 0;
  virtual void OnBootstrap(const bootstrap_record& aRecord) = 0;
  /// Nodes that the bootstrap record should list for this failure domain.
  virtual std::vector<node_id> BootstrapNodesOfDomain() const = 0;
  /// Version in force at this node, 0 if there is none.
  virtual std::uint64_t ConfigVersion() const = 0;
  /// Number of nodes that are alive.
  virtual std::size_t FleetSize() const = 0;
};

/// Reads the configuration at start, watches it while this node is one of its
/// domain's watchers, reads it when the node's knowledge of the store has grown
/// old, and maintains the bootstrap record. At most one watch and
/// one read of the bootstrap record are pending at a time. Failed reads and
/// watches are retried with jittered backoff.
class store_follower
{
public:
  store_follower(object_store& aStore,
                 task_scheduler& aScheduler,
                 const clock_source& aClock,
                 store_follower_owner& aOwner,
                 std::string aDomain,
                 std::uint64_t aSeed);

  /// Reads the bootstrap record, then the configuration.
  void Start();

  /// Starts or stops watching the configuration. A pending watch call is not
  /// cancelled.
  void SetWatching(bool aWatching);
  bool Watching() const { return mWatching; }

  /// Reads the configuration every `aPeriod`, as a baseline for the bench.
  void PollEvery(duration aPeriod);

  /// Reads the configuration if the store was last known at `aKnownAt`, too
  /// long ago for a node that relies on others. Must be called regularly.
  void ReadIfStale(time_point aKnownAt);

  /// Updates this domain's part of the bootstrap record if it differs from the
  /// owner's `BootstrapNodesOfDomain`.
  void RefreshBootstrap();

private:
  /// Purpose of a read of the bootstrap record.
  enum class bootstrap_purpose
  {
    /// Find other nodes, add the owner's nodes to the record if there is room,
    /// then read the configuration.
    start,
    /// Add the owner's nodes if there is room, after a concurrent write of the
    /// record took effect first.
    join,
    /// Replace this domain's nodes by those of the owner.
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
  /// Reads the configuration, at most `aAttempts` times, for `ReadIfStale`.
  void ReadFresh(unsigned aAttempts);
  duration DrawMaxKnowledgeAge();
  /// Starts a watch, or a read while the store does not answer.
  void Watch();
  /// Handles what a watch or read returned, and starts the next one.
  void HandleWatched(const result<stored_object>& aObject, time_point aAsOf);
  /// Passes the object, which the store held at `aAsOf`, to the owner. Returns
  /// false if it could not be read or decoded, or is missing although this node
  /// has a configuration.
  bool HandleConfig(const result<stored_object>& aObject, time_point aAsOf);
  /// Logs the first failed call in a row and the first answer after it.
  void LogStoreState(const result<stored_object>& aObject);

  object_store& mStore;
  task_scheduler& mScheduler;
  const clock_source& mClock;
  store_follower_owner& mOwner;
  std::string mDomain;
  std::mt19937_64 mRandom;
  jittered_backoff mBootstrapBackoff;
  jittered_backoff mConfigBackoff;
  jittered_backoff mWatchBackoff;
  /// Knowledge of the store that is older makes this node read it.
  duration mMaxKnowledgeAge;
  time_point mFreshReadEnded{};
  bool mFreshReadPending = false;
  std::uint64_t mStoreVersion = 0;
  bool mConfigLoaded = false;
  bool mStoreLost = false;
  bool mConfigMissing = false;
  bool mWatching = false;
  bool mWatchPending = false;
  bool mBootstrapPending = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_STORE_FOLLOWER_H_
