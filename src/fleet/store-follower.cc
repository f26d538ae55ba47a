#include "fleet/store-follower.h"

#include <algorithm>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kInitialRetryDelay = milliseconds(200);
constexpr duration kMaxRetryDelay = seconds(5);
/// How long the store holds a watch call open (long poll). A watch whose
/// connection has fallen silent hides a change for this time and the call
/// timeout. The answer carries the whole configuration, so a shorter wait costs
/// bandwidth. The waits differ, as all watches start again at each change.
constexpr duration kMinWatchTimeout = seconds(6);
constexpr duration kMaxWatchTimeout = seconds(8);
/// A node whose knowledge of the store is older reads the store itself. That,
/// the spread, and a read that gets no answer stay within the time in which a
/// change is in force everywhere.
constexpr duration kMaxKnowledgeAge = seconds(9);
/// Nodes whose knowledge grows old together spread their reads over this time.
constexpr duration kFreshReadSpread = seconds(1);
/// The second attempt is for a kept connection that has fallen silent.
constexpr unsigned kFreshReadAttempts = 2;
/// Starting nodes spread their first reads over time, so that a restart of the
/// whole fleet stays below the store's rate limit: the read of the bootstrap
/// record over a fixed time, and that of the configuration over a time that
/// grows with the fleet.
constexpr duration kBootstrapReadSpread = seconds(3);
constexpr double kMinConfigReadSpreadSeconds = 1.5;
/// In a large fleet, the first reads of the configuration come at this rate.
constexpr double kStartupReadsPerSecond = 500;

} // namespace

store_follower::store_follower(object_store& aStore,
                               task_scheduler& aScheduler,
                               const clock_source& aClock,
                               store_follower_owner& aOwner,
                               std::string aDomain,
                               std::uint64_t aSeed)
  : mStore(aStore)
  , mScheduler(aScheduler)
  , mClock(aClock)
  , mOwner(aOwner)
  , mDomain(std::move(aDomain))
  , mRandom(aSeed)
  , mBootstrapBackoff(kInitialRetryDelay, kMaxRetryDelay, aSeed + 1)
  , mConfigBackoff(kInitialRetryDelay, kMaxRetryDelay, aSeed + 2)
  , mWatchBackoff(kInitialRetryDelay, kMaxRetryDelay, aSeed + 3)
  , mMaxKnowledgeAge(DrawMaxKnowledgeAge())
{
}

void
store_follower::Start()
{
  std::uniform_int_distribution<duration::rep> spread(
    0, kBootstrapReadSpread.count());
  mScheduler.RunAfter(duration(spread(mRandom)),
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
      mScheduler.RunAfter(mBootstrapBackoff.NextDelay(),
                          [this, aPurpose] { ReadBootstrap(aPurpose); });
      return;
    }
    HandleBootstrap(aPurpose, *aObject);
  });
}

void
store_follower::HandleBootstrap(bootstrap_purpose aPurpose,
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
      if (!known && listed.size() < kBootstrapNodesPerDomain) {
        listed.push_back(node);
      }
    }
  }
  if (listed == before) {
    mBootstrapBackoff.Reset();
    return;
  }
  record.fleet_size = std::max<std::size_t>(mOwner.FleetSize(), 1);
  WriteBootstrap(aPurpose, std::move(record), aObject.version);
}

void
store_follower::ScheduleConfigRead(std::size_t aFleetSize)
{
  double seconds =
    std::max(kMinConfigReadSpreadSeconds,
             static_cast<double>(aFleetSize) / kStartupReadsPerSecond);
  std::uniform_real_distribution<double> spread(0, seconds);
  mScheduler.RunAfter(std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(spread(mRandom))),
                      [this] { ReadConfig(); });
}

void
store_follower::WriteBootstrap(bootstrap_purpose aPurpose,
                               bootstrap_record aRecord,
                               std::uint64_t aVersion)
{
  bootstrap_purpose retryPurpose = aPurpose == bootstrap_purpose::refresh
                                     ? bootstrap_purpose::refresh
                                     : bootstrap_purpose::join;
  mStore.Put(kBootstrapKey,
             EncodeBootstrap(aRecord),
             aVersion,
             [this, retryPurpose](result<std::uint64_t> aWritten) {
               if (aWritten) {
                 mBootstrapBackoff.Reset();
                 return;
               }
               if (aWritten.error().kind == error_kind::conflict) {
                 mScheduler.RunAfter(
                   mBootstrapBackoff.NextDelay(),
                   [this, retryPurpose] { ReadBootstrap(retryPurpose); });
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
  if (mConfigLoaded) {
    return;
  }
  time_point startedAt = mClock.Now();
  mStore.Get(kConfigKey, [this, startedAt](result<stored_object> aObject) {
    if (!HandleConfig(aObject, startedAt)) {
      mScheduler.RunAfter(mConfigBackoff.NextDelay(), [this] { ReadConfig(); });
    }
  });
}

duration
store_follower::DrawMaxKnowledgeAge()
{
  std::uniform_int_distribution<duration::rep> draw(0,
                                                    kFreshReadSpread.count());
  return kMaxKnowledgeAge + duration(draw(mRandom));
}

void
store_follower::ReadIfStale(time_point aKnownAt)
{
  time_point now = mClock.Now();
  time_point since = std::max(aKnownAt, mFreshReadEnded);
  if (mFreshReadPending || now - since < mMaxKnowledgeAge) {
    return;
  }
  LogEvent(
    log_level::info,
    "store_knowledge_old",
    { { "store_age_ms", std::to_string(Milliseconds(now - aKnownAt)) } });
  mFreshReadPending = true;
  ReadFresh(kFreshReadAttempts);
}

void
store_follower::ReadFresh(unsigned aAttempts)
{
  time_point startedAt = mClock.Now();
  mStore.Get(
    kConfigKey, [this, startedAt, aAttempts](result<stored_object> aObject) {
      bool handled = HandleConfig(aObject, startedAt);
      if (!handled && aAttempts > 1) {
        mScheduler.RunAfter(kInitialRetryDelay,
                            [this, aAttempts] { ReadFresh(aAttempts - 1); });
        return;
      }
      mFreshReadPending = false;
      mFreshReadEnded = mClock.Now();
      mMaxKnowledgeAge = DrawMaxKnowledgeAge();
    });
}

bool
store_follower::HandleConfig(const result<stored_object>& aObject,
                             time_point aAsOf)
{
  LogStoreState(aObject);
  if (!aObject) {
    return false;
  }
  bool missing = aObject->version == 0 && mOwner.ConfigVersion() > 0;
  if (missing && !mConfigMissing) {
    LogEvent(log_level::error, "store_config_missing");
  }
  mConfigMissing = missing;
  if (missing) {
    return false;
  }
  if (aObject->version == 0) {
    mConfigLoaded = true;
    mOwner.OnStoreEmpty(aAsOf);
    return true;
  }
  result<config_state> state = DecodeConfigState(aObject->value);
  if (!state) {
    LogEvent(log_level::error,
             "store_config_unreadable",
             { { "reason", state.error().message } });
    return false;
  }
  mConfigLoaded = true;
  mStoreVersion = aObject->version;
  mOwner.OnStoreConfig(*state, aAsOf);
  return true;
}

void
store_follower::LogStoreState(const result<stored_object>& aObject)
{
  bool lost = !aObject;
  if (lost == mStoreLost) {
    return;
  }
  mStoreLost = lost;
  if (lost) {
    LogEvent(log_level::warning,
             "store_lost",
             { { "reason", aObject.error().message } });
  } else {
    LogEvent(log_level::info, "store_regained");
  }
}

void
store_follower::SetWatching(bool aWatching)
{
  if (mWatching != aWatching) {
    LogEvent(log_level::info,
             aWatching ? "store_watch_started" : "store_watch_stopped");
  }
  mWatching = aWatching;
  if (mWatching && !mWatchPending) {
    Watch();
  }
}

void
store_follower::Watch()
{
  mWatchPending = true;
  time_point startedAt = mClock.Now();
  if (mStoreLost) {
    // A read shows sooner than a watch whether the store answers again.
    mStore.Get(kConfigKey, [this, startedAt](result<stored_object> aObject) {
      HandleWatched(aObject, startedAt);
    });
    return;
  }
  std::uniform_int_distribution<duration::rep> draw(kMinWatchTimeout.count(),
                                                    kMaxWatchTimeout.count());
  duration wait(draw(mRandom));
  mStore.Watch(kConfigKey,
               mStoreVersion,
               wait,
               [this, startedAt, wait](result<stored_object> aObject) {
                 // What the call took beyond its wait may be the delay of the
                 // answer on its way.
                 time_point now = mClock.Now();
                 duration delay = std::max(duration(0), now - startedAt - wait);
                 HandleWatched(aObject, now - delay);
               });
}

void
store_follower::HandleWatched(const result<stored_object>& aObject,
                              time_point aAsOf)
{
  mWatchPending = false;
  bool handled = HandleConfig(aObject, aAsOf);
  if (!mWatching) {
    return;
  }
  if (handled) {
    mWatchBackoff.Reset();
    Watch();
    return;
  }
  mWatchPending = true;
  mScheduler.RunAfter(mWatchBackoff.NextDelay(), [this] {
    mWatchPending = false;
    SetWatching(mWatching);
  });
}

void
store_follower::PollEvery(duration aPeriod)
{
  mScheduler.RunAfter(aPeriod, [this, aPeriod] {
    time_point startedAt = mClock.Now();
    mStore.Get(kConfigKey, [this, startedAt](result<stored_object> aObject) {
      HandleConfig(aObject, startedAt);
    });
    PollEvery(aPeriod);
  });
}

} // namespace eelgrasstrack
