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
constexpr duration kStartSpread = seconds(3);
constexpr double kLeastConfigSpreadSeconds = 1.5;
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
  mTasks.RunAfter(duration(spread(mRandom)),
                  [this] { ReadBootstrap(bootstrap_purpose::start); });
}

void
store_follower::ReadBootstrap(bootstrap_purpose aPurpose)
{
  if (mBootstrapPending) {
    return;
  }
  mBootstrapPending = true;
  mStore.Get(kBootstrapKey, [this, aPurpose](result<stored_object> aObject) {
    mBootstrapPending = false;
    if (!aObject) {
      mTasks.RunAfter(mBootstrapBackoff.NextDelay(),
                      [this, aPurpose] { ReadBootstrap(aPurpose); });
      return;
    }
    mBootstrapBackoff.Reset();
    TakeBootstrap(aPurpose, *aObject);
  });
}

void
store_follower::TakeBootstrap(bootstrap_purpose aPurpose,
                              const stored_object& aObject)
{
  bootstrap_record record;
  if (aObject.version != 0) {
    result<bootstrap_record> decoded = DecodeBootstrap(aObject.value);
    if (decoded) {
      record = std::move(*decoded);
    } else {
      LogEvent(log_level::error,
               "bootstrap_unreadable",
               { { "reason", decoded.error().message } });
    }
  }
  mOwner.OnBootstrap(record);
  if (aPurpose == bootstrap_purpose::start) {
    ScheduleConfigRead(record.fleet_size);
  }
  std::vector<node_id>& listed = record.domains[mDomain];
  std::vector<node_id> before = listed;
  std::vector<node_id> wanted = mOwner.BootstrapNodesOfDomain();
  if (aPurpose == bootstrap_purpose::refresh) {
    listed = std::move(wanted);
  } else {
    for (const node_id& node : wanted) {
      bool known =
        std::find(listed.begin(), listed.end(), node) != listed.end();
      if (!known && listed.size() < kBootstrapNodes) {
        listed.push_back(node);
      }
    }
  }
  if (listed != before) {
    record.fleet_size = std::max<std::size_t>(mOwner.FleetSize(), 1);
    WriteBootstrap(aPurpose, std::move(record), aObject.version);
  }
}

void
store_follower::ScheduleConfigRead(std::size_t aFleetSize)
{
  double seconds =
    std::max(kLeastConfigSpreadSeconds,
             static_cast<double>(aFleetSize) / kFirstReadsPerSecond);
  std::uniform_real_distribution<double> spread(0, seconds);
  mTasks.RunAfter(std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(spread(mRandom))),
                  [this] { ReadConfig(); });
}

void
store_follower::WriteBootstrap(bootstrap_purpose aPurpose,
                               bootstrap_record aRecord,
                               std::uint64_t aVersion)
{
  bootstrap_purpose again = aPurpose == bootstrap_purpose::refresh
                              ? bootstrap_purpose::refresh
                              : bootstrap_purpose::join;
  mStore.Put(kBootstrapKey,
             EncodeBootstrap(aRecord),
             aVersion,
             [this, again](result<std::uint64_t> aWritten) {
               if (!aWritten && aWritten.error().kind == error_kind::conflict) {
                 mTasks.RunAfter(mBootstrapBackoff.NextDelay(),
                                 [this, again] { ReadBootstrap(again); });
               }
             });
}

void
store_follower::RefreshBootstrap()
{
  ReadBootstrap(bootstrap_purpose::refresh);
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
