#include "fleet/store-follower.h"

#include <algorithm>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kFirstRetry = milliseconds(200);
constexpr duration kLongestRetry = seconds(5);
constexpr duration kWatchWait = seconds(25);
/// First reads are spread over this time, and over longer in a large fleet, so
/// that a restart of everything stays below the store's rate.
constexpr duration kStartSpread = milliseconds(1500);
constexpr double kLeastConfigSpreadSeconds = 0.5;
constexpr double kFirstReadsPerSecond = 500;

} // namespace

store_follower::store_follower(object_store& aStore,
                               delayed_tasks& aTasks,
                               store_follower_owner& aOwner,
                               std::string aDomain,
                               std::uint64_t aSeed)
  : mStore(aStore)
  , mTasks(aTasks)
  , mOwner(aOwner)
  , mDomain(std::move(aDomain))
  , mRandom(aSeed)
  , mBootstrapBackoff(kFirstRetry, kLongestRetry, aSeed + 1)
  , mConfigBackoff(kFirstRetry, kLongestRetry, aSeed + 2)
  , mWatchBackoff(kFirstRetry, kLongestRetry, aSeed + 3)
{
}

void
store_follower::Start()
{
  std::uniform_int_distribution<duration::rep> spread(0, kStartSpread.count());
  mTasks.RunAfter(duration(spread(mRandom)), [this] { ReadBootstrap(true); });
}

void
store_follower::ReadBootstrap(bool aThenConfig)
{
  if (mBootstrapPending) {
    return;
  }
  mBootstrapPending = true;
  mStore.Get(kBootstrapKey, [this, aThenConfig](result<stored_object> aObject) {
    mBootstrapPending = false;
    if (!aObject) {
      mTasks.RunAfter(mBootstrapBackoff.NextDelay(),
                      [this, aThenConfig] { ReadBootstrap(aThenConfig); });
      return;
    }
    mBootstrapBackoff.Reset();
    bootstrap_record record;
    if (aObject->version != 0) {
      result<bootstrap_record> decoded = DecodeBootstrap(aObject->value);
      if (decoded) {
        record = std::move(*decoded);
      } else {
        LogEvent(log_level::error,
                 "bootstrap_unreadable",
                 { { "reason", decoded.error().message } });
      }
    }
    mOwner.OnBootstrap(record);
    std::vector<node_id> wanted = mOwner.BootstrapNodesOfDomain();
    std::size_t fleetSize = record.fleet_size;
    std::vector<node_id>& listed = record.domains[mDomain];
    bool room = listed.size() < kBootstrapNodes;
    bool differs = aThenConfig ? room : listed != wanted;
    if (differs) {
      if (aThenConfig) {
        for (const node_id& node : wanted) {
          bool known =
            std::find(listed.begin(), listed.end(), node) != listed.end();
          if (!known && listed.size() < kBootstrapNodes) {
            listed.push_back(node);
          }
        }
      } else {
        listed = std::move(wanted);
      }
      record.fleet_size = std::max<std::size_t>(mOwner.FleetSize(), 1);
      WriteBootstrap(std::move(record), aObject->version);
    }
    if (aThenConfig) {
      double spreadSeconds =
        std::max(kLeastConfigSpreadSeconds,
                 static_cast<double>(fleetSize) / kFirstReadsPerSecond);
      std::uniform_real_distribution<double> spread(0, spreadSeconds);
      mTasks.RunAfter(std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(spread(mRandom))),
                      [this] { ReadConfig(); });
    }
  });
}

void
store_follower::WriteBootstrap(bootstrap_record aRecord, std::uint64_t aVersion)
{
  mStore.Put(kBootstrapKey,
             EncodeBootstrap(aRecord),
             aVersion,
             [this](result<std::uint64_t> aWritten) {
               if (!aWritten && aWritten.error().kind == error_kind::conflict) {
                 mTasks.RunAfter(mBootstrapBackoff.NextDelay(),
                                 [this] { ReadBootstrap(false); });
               }
             });
}

void
store_follower::RefreshBootstrap()
{
  ReadBootstrap(false);
}

void
store_follower::ReadConfig()
{
  if (mConfigRead) {
    return;
  }
  mStore.Get(kConfigKey, [this](result<stored_object> aObject) {
    if (!TakeConfig(aObject)) {
      mTasks.RunAfter(mConfigBackoff.NextDelay(), [this] { ReadConfig(); });
    }
  });
}

bool
store_follower::TakeConfig(const result<stored_object>& aObject)
{
  if (!aObject) {
    return false;
  }
  mStoreVersion = std::max(mStoreVersion, aObject->version);
  if (aObject->version == 0) {
    mConfigRead = true;
    mOwner.OnStoreEmpty();
    return true;
  }
  result<config_state> state = DecodeConfigState(aObject->value);
  if (!state) {
    LogEvent(log_level::error,
             "store_config_unreadable",
             { { "reason", state.error().message } });
    return false;
  }
  mConfigRead = true;
  mOwner.OnStoreConfig(*state);
  return true;
}

void
store_follower::SetWatching(bool aWatching)
{
  mWatching = aWatching;
  if (mWatching && !mWatchPending) {
    Watch();
  }
}

void
store_follower::Watch()
{
  mWatchPending = true;
  mStore.Watch(kConfigKey,
               mStoreVersion,
               kWatchWait,
               [this](result<stored_object> aObject) {
                 mWatchPending = false;
                 bool taken = TakeConfig(aObject);
                 if (!mWatching) {
                   return;
                 }
                 if (taken) {
                   mWatchBackoff.Reset();
                   Watch();
                   return;
                 }
                 mWatchPending = true;
                 mTasks.RunAfter(mWatchBackoff.NextDelay(), [this] {
                   mWatchPending = false;
                   SetWatching(mWatching);
                 });
               });
}

void
store_follower::PollEvery(duration aPeriod)
{
  mTasks.RunAfter(aPeriod, [this, aPeriod] {
    mStore.Get(kConfigKey,
               [this](result<stored_object> aObject) { TakeConfig(aObject); });
    PollEvery(aPeriod);
  });
}

} // namespace eelgrasstrack
