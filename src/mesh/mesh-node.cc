#include "mesh/mesh-node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "base/json-decode.h"
#include "base/log.h"
#include "mesh/order-id-json.h"
#include "mesh/role-assignment.h"
#include "proxy/instance-notices.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kMaintenancePeriod = std::chrono::milliseconds(1000);
constexpr duration kHopSweepPeriod = std::chrono::milliseconds(200);
constexpr duration kRoleCheckPeriod = std::chrono::milliseconds(400);
/// Time between two announcements of a watcher.
constexpr duration kAnnouncePeriod = std::chrono::milliseconds(400);
/// Minimum time between an announcement and one that tells that the store has
/// confirmed the configuration.
constexpr duration kMinAnnouncePeriod = std::chrono::milliseconds(100);
/// Part of the propagation time for which the store holds a watch of the
/// configuration open. Knowledge of the store is too old a little later.
constexpr double kWatchWaitShare = 0.4;
/// Limit to the multiples of the usual number of watchers that are added; the
/// other nodes read the configuration.
constexpr std::size_t kMaxAdditionalWatchers = 2;
/// A node removes the entry of a host from the store only if the store has
/// answered within this time.
constexpr duration kStoreAnswerWindow = std::chrono::milliseconds(3000);
/// Time for the first listing of hosts, before a node that knows no others
/// watches the store.
constexpr duration kFirstListingTime = std::chrono::milliseconds(800);
/// Maximum wait for the first announcement of the instance on a first start.
constexpr duration kFirstAnnouncementTimeout = std::chrono::milliseconds(2000);
constexpr duration kFirstAnnouncementCheckPeriod =
  std::chrono::milliseconds(100);
constexpr duration kListRetryDelay = std::chrono::milliseconds(500);
/// Number of heartbeat intervals without a heartbeat after which the instance
/// is marked absent.
constexpr int kMaxMissedHeartbeats = 4;
/// Time after the start within which a node is not ready while other nodes hold
/// a later configuration than the store has shown it.
constexpr duration kCatchUpTimeout = std::chrono::milliseconds(2500);
/// Minimum time to keep accepting requests after a stop was announced, as
/// callers and other nodes may still send them.
constexpr duration kMinDrainTime = std::chrono::milliseconds(2600);
/// Time after a stop was announced when the node begins to refuse new requests.
/// Callers may keep sending while too few other nodes are ready, and the rest
/// of the grace period is for running requests.
constexpr duration kRefuseAfter = std::chrono::milliseconds(2900);
constexpr duration kDrainCheckPeriod = std::chrono::milliseconds(100);
/// Part of the grace period reserved for the exit of the process.
constexpr duration kExitReserve = std::chrono::milliseconds(400);
/// Time from the deadline of the last requests to the exit, for their answers.
constexpr duration kLastAnswerReserve = std::chrono::milliseconds(200);
/// A host that was unreachable for longer is removed from the directory.
constexpr duration kRemoveHostAfter = std::chrono::seconds(60);
/// Part of the allowed requests beyond the canary share that the canary phase
/// uses. The rest is for the time between promotion and a rollback.
constexpr double kExtraCanaryFraction = 0.5;
/// Requests to a new version, over all nodes, that are enough to judge it.
constexpr double kWantedCanaryRequests = 40;
constexpr duration kIdleConnectionTimeout = std::chrono::seconds(20);

buffered_response
Response(int aStatus, std::string aBody = "")
{
  buffered_response response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

} // namespace

mesh_node::mesh_node(loop& aLoop,
                     tcp_transport& aTransport,
                     control_client& aClient,
                     control_store& aStore,
                     proxy_counters& aCounters,
                     const header_names& aNames,
                     mesh_settings aSettings)
  : mLoop(aLoop)
  , mTransport(aTransport)
  , mClient(aClient)
  , mStore(aStore)
  , mCounters(aCounters)
  , mNames(aNames)
  , mSettings(std::move(aSettings))
  , mDirectory(mSettings.name)
  , mChooser(mSettings.domain, std::random_device{}())
  , mVersions(std::random_device{}())
  , mLinkPacer(aLoop)
  , mDispatcher(aTransport, mNames, mLinkPacer.Scheduler(), mCrashes, mVersions)
  , mHopClient(aTransport, mNames)
  , mQuota(aLoop, aClient, mDirectory)
  , mConfig(aLoop, aClient, aStore, aCounters, mSettings.domain, *this)
  , mIngress({ aTransport,
               mNames,
               mDispatcher,
               mHopClient,
               mDirectory,
               mChooser,
               mRetries,
               mVersions,
               aCounters,
               mCrashes,
               mEvacuations,
               mQuota.Requests(),
               mConfig.Knowledge() })
  , mHopServer(aTransport, mNames, mDispatcher, mLinkPacer)
  , mQuarantine(aLoop, mCrashes)
  , mGossip(aLoop,
            aClient,
            mDirectory,
            mVersions,
            mCrashes,
            mEvacuations,
            aCounters,
            *this)
  , mEntryRepair(aLoop, aStore, mDirectory, mGossip)
  , mCanaryDriver(aLoop,
                  aClient,
                  aStore,
                  mDirectory,
                  mVersions,
                  aCounters,
                  *this)
  , mEntry(aLoop, aStore, mOwnRecord, *this)
{
  mOwnRecord.name = mSettings.name;
  mOwnRecord.domain = mSettings.domain;
  mOwnRecord.hop = mSettings.hop_listen;
  mOwnRecord.control = mSettings.control_listen;
  mOwnRecord.incarnation = aLoop.UnixMilliseconds();
  mIngress.SetCallerService(mSettings.service);
  Reload(mSettings);
}

void
mesh_node::Reload(const mesh_settings& aSettings)
{
  mSettings.bounds = aSettings.bounds;
  mSettings.heartbeat_interval = aSettings.heartbeat_interval;
  mSettings.link_bits_per_second = aSettings.link_bits_per_second;
  mSettings.clients = aSettings.clients;
  ApplyClientLimits();
  mLinkPacer.SetLinkRate(mSettings.link_bits_per_second);
  shared_retry_budget_options retryOptions;
  retryOptions.ratio = mSettings.bounds.retry_ratio;
  retryOptions.allowance = mSettings.bounds.retry_allowance;
  retryOptions.window = mSettings.bounds.retry_window;
  mRetries.SetOptions(retryOptions);
  mCanaryDriver.SetBounds(mSettings.bounds);
  mQuota.SetBounds(mSettings.bounds.quota);
  duration propagation = mSettings.bounds.propagation_time;
  mConfig.SetPropagationTime(propagation);
  mStore.SetConfigWatchWait(
    std::chrono::duration_cast<duration>(propagation * kWatchWaitShare));
  bool evacuates = mSettings.bounds.evacuation_time.has_value();
  mEvacuations.SetEnabled(evacuates);
  mStore.SetFollowsEvacuations(evacuates);
  mDispatcher.SetEvacuated(mEvacuations.Contains(mOwnRecord.domain));
  mDispatcher.SetDrainTime(mSettings.bounds.drain_time);
  if (mDraining) {
    LimitServingTime();
  }
}

void
mesh_node::ApplyClientLimits()
{
  const client_limits& limits = mSettings.clients;
  mBodies.SetLimit(limits.body_bytes);
  mAnswers.SetLimit(limits.answer_bytes);
  mControlBytes.SetLimit(limits.control_bytes);
  mClient.SetAnswerLimit(limits.control_bytes);
  session_limits sessions;
  sessions.stall_time = limits.stall_time;
  sessions.stall_time_when_full = limits.stall_time_when_full;
  sessions.max_connections = limits.caller_connections;
  mIngress.SetClientLimits(mBodies, mAnswers, sessions);
  // The first hop ends an upload that stalls; if it does not, the
  // connection between the nodes is closed later.
  session_limits hops;
  hops.stall_time = limits.stall_time * 2;
  hops.stall_time_when_full = limits.stall_time;
  mHopServer.SetClientLimits(mBodies, hops);
  mDispatcher.SetStallTimes(limits.stall_time, limits.stall_time_when_full);
}

result<void>
mesh_node::Start()
{
  mStarted = mLoop.Now();
  mDirectory.Merge(mOwnRecord, mStarted);
  result<void> opened = mIngress.Listen(mSettings.caller_listen);
  if (opened) {
    opened = mHopServer.Listen(mSettings.hop_listen);
  }
  if (opened) {
    opened = ServeAt(
      mTransport,
      mSettings.control_listen,
      [this](buffered_request aRequest, respond_callback aRespond) {
        ServeControl(std::move(aRequest), std::move(aRespond));
      },
      &mControlBytes);
  }
  if (opened) {
    opened = ServeAt(
      mTransport,
      mSettings.ready_listen,
      [this](const buffered_request&, const respond_callback& aRespond) {
        aRespond(Response(Ready() ? status::kOk : status::kUnavailable));
      },
      &mControlBytes);
  }
  if (!opened) {
    return opened;
  }
  mDispatcher.OnResult([this](const run_result& aResult) {
    mCanaryDriver.OnResult(mDispatcher.Instance().service, aResult);
  });
  mDispatcher.OnInstanceLeaving([this] { HandleInstanceLeaving(); });
  mDispatcher.OnInstanceDown([this] { HandleInstanceDown(); });
  mDispatcher.SetHold([this] { return IsHeld(); });
  mCanaryDriver.SetRunningRequests([this](const std::string& aService) {
    return mDispatcher.Instance().service == aService
             ? mDispatcher.RunningRequests()
             : std::vector<run_result>{};
  });
  mHopClient.OnHostSuspected(
    [this](const std::string& aName) { mGossip.Probe(aName); });
  mHopClient.OnHostRecordStale(
    [this](const std::string& aName) { mGossip.CompareUnlessRecent(aName); });
  mGossip.OnUnreachable([this](const std::string& aName) {
    mHopClient.HandleUnreachableHost(aName);
    mQuota.HandleUnreachableHost();
  });
  mCrashes.OnChange([this](const std::vector<crash_record>& aRecords) {
    mGossip.SpreadCrashes(aRecords);
    if (mQuarantine.AddTo(mOwnRecord, aRecords)) {
      SpreadOwnRecord();
    }
  });
  mEntryRepair.OnOwnEntryLost([this] { OnRemovedByOthers(); });
  mGossip.Start();
  mCanaryDriver.Start();
  mQuota.Start([this](const std::string& aName) { mGossip.ProbeTwice(aName); });
  mStore.SetObserver(*this);
  mConfig.Start();
  Join();
  mLoop.RunEvery(kMaintenancePeriod, [this] { RunMaintenance(); });
  mLoop.RunEvery(kRoleCheckPeriod, [this] { UpdateWatcherRole(); });
  mLoop.RunEvery(kHopSweepPeriod, [this] { mHopClient.Sweep(mLoop.Now()); });
  LogEvent(log_level::info,
           "node_started",
           { { "name", mOwnRecord.name },
             { "domain", mOwnRecord.domain },
             { "service", mSettings.service } });
  return {};
}

bool
mesh_node::Ready() const
{
  return mIngress.Table() != nullptr && mDirectory.All().size() > 1 &&
         !mDraining && HasCaughtUp();
}

bool
mesh_node::HasCaughtUp() const
{
  if (mSettings.first_start || mLoop.Now() - mStarted > kCatchUpTimeout) {
    return true;
  }
  std::optional<std::uint64_t> latest = mGossip.LatestPeerConfig();
  return latest && ConfigVersion() >= *latest;
}

void
mesh_node::Join()
{
  if (!mSettings.first_start) {
    ListOtherHosts();
    return;
  }
  // Wait for the first announcement of the instance, so that one write contains
  // both the node and the instance.
  bool waiting = mOwnRecord.instance.state == instance_state::absent &&
                 mLoop.Now() - mStarted < kFirstAnnouncementTimeout;
  if (waiting) {
    mLoop.RunAfter(kFirstAnnouncementCheckPeriod, [this] { Join(); });
    return;
  }
  mEntry.Publish();
}

void
mesh_node::ListOtherHosts()
{
  mStore.ListHosts([this](result<std::vector<host_record>> aHosts) {
    if (!aHosts) {
      LogEvent(log_level::debug,
               "listing_failed",
               { { "reason", aHosts.error().message } });
      mLoop.RunAfter(kListRetryDelay, [this] { ListOtherHosts(); });
      return;
    }
    for (const host_record& record : *aHosts) {
      mQuarantine.Learn(record);
      if (record.name == mOwnRecord.name) {
        mEntry.HandleListed(record);
      } else {
        mDirectory.Merge(record, mLoop.Now());
      }
    }
    mHostsListed = true;
    OnHostsChanged();
    UpdateWatcherRole();
    mGossip.SpreadHost(mOwnRecord);
    // Other nodes supply the changes made since the entries were written.
    mGossip.CompareAtStart();
    mEntry.PublishSoon(duration(0));
  });
}

void
mesh_node::OnEntryWritten(bool aFirst)
{
  // Nodes that publish after this write see this node's entry when they list
  // the hosts. Nodes that published earlier may miss it: list again to find
  // them.
  if (aFirst || !mHostsListed) {
    ListOtherHosts();
  }
}

void
mesh_node::OnEntryRead(const host_record& aEntry, bool aFirst)
{
  if (aFirst) {
    mOwnRecord.quarantined = aEntry.quarantined;
  }
  FollowRecord(aEntry);
  RestoreDepartures(aEntry);
  if (mOwnRecord.instance.id.empty()) {
    RestoreInstance(aEntry.instance);
  } else {
    // A late heartbeat may have come before the entry.
    EndDepartedInstance("entry");
  }
}

void
mesh_node::FollowRecord(const host_record& aRecord)
{
  if (!IsNewer(aRecord, mOwnRecord) || aRecord.incarnation >= kMaxTimeMs) {
    return;
  }
  LogEvent(log_level::warning,
           "incarnation_raised",
           { { "to", std::to_string(aRecord.incarnation + 1) },
             { "before", std::to_string(mOwnRecord.incarnation) } });
  mOwnRecord.incarnation = aRecord.incarnation + 1;
  SpreadOwnRecord();
}

void
mesh_node::RestoreDepartures(const host_record& aEntry)
{
  if (aEntry.last_departure) {
    RecordDeparture(*aEntry.last_departure);
  }
  bool exited =
    !mExitedBeforeRestore.empty() && mExitedBeforeRestore == aEntry.instance.id;
  if (IsLeaving(aEntry.instance.state) || exited) {
    RecordDeparture(IncarnationOf(aEntry.instance));
  }
  mExitedBeforeRestore.clear();
}

void
mesh_node::RestoreInstance(const instance_record& aInstance)
{
  if (aInstance.state == instance_state::absent) {
    return;
  }
  if (!mDirectory.IsRecordedAsLeaving(mOwnRecord.name, aInstance)) {
    // The instance kept running while this process was down. If it has been
    // replaced since, the new instance refuses requests addressed to the old
    // one.
    ResumeInstance(aInstance);
    return;
  }
  mOwnRecord.instance = aInstance;
  SetInstanceState(IsLeaving(aInstance.state) ? aInstance.state
                                              : instance_state::gone);
}

void
mesh_node::ResumeInstance(const instance_record& aInstance)
{
  mOwnRecord.instance = aInstance;
  mOwnRecord.instance.warmup_left = duration(0);
  mAnnouncedAt = mLoop.Now();
  mDispatcher.SetInstance(mOwnRecord.instance);
  // It may be cold; its next heartbeat tells.
  RecordWarmUp(mSettings.heartbeat_interval * kMaxMissedHeartbeats);
  UpdateColdLimit();
  SpreadOwnRecord();
  LogEvent(log_level::info,
           "instance_resumed",
           { { "instance", mOwnRecord.instance.id } });
}

void
mesh_node::SpreadOwnRecord()
{
  ++mOwnRecord.sequence;
  mDirectory.Merge(mOwnRecord, mLoop.Now());
  RefreshVersions();
  mGossip.SpreadHost(mOwnRecord);
  if (mHostsListed) {
    mEntry.SchedulePublish();
  }
}

bool
mesh_node::HandleAnnouncement(const instance_announcement& aAnnouncement)
{
  const instance_record& known = mOwnRecord.instance;
  const instance_record& announced = aAnnouncement.instance;
  bool sameIncarnation = announced.id == known.id &&
                         announced.started_unix_ms == known.started_unix_ms;
  bool late = sameIncarnation
                ? aAnnouncement.sequence <= mAnnouncedSequence
                : announced.started_unix_ms < known.started_unix_ms;
  // A node that has started again knows the departure from its entry or from
  // other nodes.
  bool knownToLeave = sameIncarnation && IsLeaving(known.state);
  late = late || (announced.state == instance_state::ready && !knownToLeave &&
                  mDirectory.IsRecordedAsLeaving(mOwnRecord.name, announced));
  if (late) {
    LogEvent(log_level::info,
             "announcement_late",
             { { "instance", announced.id },
               { "sequence", std::to_string(aAnnouncement.sequence) } });
    return false;
  }
  if (knownToLeave) {
    return true; // it does not become ready again
  }
  mAnnouncedSequence = aAnnouncement.sequence;
  mAnnouncedAt = mLoop.Now();
  bool cooled = RecordWarmUp(announced.warmup_left) && LimitsColdInstance();
  bool changed = !sameIncarnation || cooled || announced.state != known.state ||
                 announced.slots != known.slots ||
                 !(announced.address == known.address) ||
                 announced.version != known.version;
  if (!changed) {
    UpdateColdLimit();
    return true;
  }
  LogEvent(log_level::info,
           "instance_changed",
           { { "instance", announced.id },
             { "version", announced.version },
             { "state", std::string(NameOf(announced.state)) },
             { "born", std::to_string(announced.started_unix_ms) } });
  mOwnRecord.instance = announced;
  if (IsLeaving(announced.state)) {
    RecordDeparture(IncarnationOf(announced));
  }
  mDispatcher.SetInstance(announced);
  UpdateColdLimit();
  SpreadOwnRecord();
  return true;
}

instance_incarnation
mesh_node::HandleInstanceExit(const exit_notice& aNotice)
{
  instance_incarnation departure{
    aNotice.id, aNotice.started_unix_ms.value_or(StartBeforeExit(aNotice.id))
  };
  if (!aNotice.started_unix_ms && mOwnRecord.instance.id.empty()) {
    mExitedBeforeRestore = aNotice.id;
  }
  bool isNew = RecordDeparture(departure);
  const instance_record& known = mOwnRecord.instance;
  if (known.state != instance_state::gone && HasLeft(departure, known)) {
    LogEvent(log_level::info, "instance_left", { { "instance", aNotice.id } });
    SetInstanceState(instance_state::gone);
  } else if (isNew) {
    SpreadOwnRecord();
  }
  return departure;
}

std::int64_t
mesh_node::StartBeforeExit(const std::string& aId) const
{
  const instance_record& known = mOwnRecord.instance;
  if (known.id == aId) {
    return known.started_unix_ms;
  }
  // Without a known instance, as after a start of the node, any that has
  // started by now; otherwise a predecessor of the known one.
  return known.id.empty()
           ? mLoop.UnixMilliseconds()
           : std::max<std::int64_t>(known.started_unix_ms - 1, 0);
}

void
mesh_node::AcknowledgeDeparture(const instance_incarnation& aDeparture,
                                done_callback aDone)
{
  // An announcement that counted as late, or of an instance that is known to
  // leave by one of its answers, has not recorded it.
  if (RecordDeparture(aDeparture)) {
    EndDepartedInstance("announcement");
  }
  mEntry.AcknowledgeDeparture(aDeparture, std::move(aDone));
}

bool
mesh_node::RecordDeparture(const instance_incarnation& aDeparture)
{
  const std::string& self = mOwnRecord.name;
  bool isPresent =
    !mOwnRecord.instance.id.empty() && HasLeft(aDeparture, mOwnRecord.instance);
  bool isNew =
    isPresent ? mDirectory.RecordPresentLeaving(self, aDeparture, mLoop.Now())
              : mDirectory.RecordLeaving(self, aDeparture, mLoop.Now());
  mOwnRecord.last_departure = mDirectory.LastDeparture(self);
  return isNew;
}

void
mesh_node::EndDepartedInstance(const std::string& aSource)
{
  const instance_record& known = mOwnRecord.instance;
  if (IsLeaving(known.state) ||
      !mDirectory.IsRecordedAsLeaving(mOwnRecord.name, known)) {
    return;
  }
  LogEvent(log_level::info,
           "instance_left",
           { { "instance", known.id }, { "source", aSource } });
  SetInstanceState(instance_state::gone);
}

void
mesh_node::SetInstanceState(instance_state aState)
{
  mOwnRecord.instance.state = aState;
  mDispatcher.SetInstance(mOwnRecord.instance);
  SpreadOwnRecord();
}

void
mesh_node::HandleInstanceLeaving()
{
  if (IsLeaving(mOwnRecord.instance.state)) {
    return;
  }
  LogEvent(log_level::info,
           "instance_leaving",
           { { "instance", mOwnRecord.instance.id } });
  SetInstanceState(instance_state::draining);
}

void
mesh_node::HandleInstanceDown()
{
  if (mOwnRecord.instance.state != instance_state::ready) {
    return;
  }
  LogEvent(log_level::warning,
           "instance_down",
           { { "instance", mOwnRecord.instance.id } });
  SetInstanceState(instance_state::absent);
}

bool
mesh_node::RecordWarmUp(duration aWarmUpLeft)
{
  time_point now = mLoop.Now();
  bool cooled = now >= mColdUntil && aWarmUpLeft > duration(0);
  mColdUntil = now + aWarmUpLeft;
  return cooled;
}

bool
mesh_node::LimitsColdInstance() const
{
  const traffic_table_ptr& table = mIngress.Table();
  return table && table->Service(mSettings.service).cold_requests_per_second;
}

void
mesh_node::UpdateColdLimit()
{
  const traffic_table_ptr& table = mIngress.Table();
  if (!table) {
    return;
  }
  mDispatcher.SetColdLimit(
    table->Service(mSettings.service).cold_requests_per_second,
    mColdUntil - mLoop.Now());
}

bool
mesh_node::IsHeld()
{
  // Without a configuration, the rate for a cold instance is unknown.
  bool rateUnknown =
    mSettings.bounds.limits_cold_instances && !mIngress.Table();
  return rateUnknown || mCanaryDriver.IsHeld(mDispatcher.Instance());
}

void
mesh_node::CheckHeartbeat()
{
  if (mOwnRecord.instance.state != instance_state::ready) {
    return;
  }
  duration sinceHeartbeat = mLoop.Now() - mAnnouncedAt;
  if (sinceHeartbeat > mSettings.heartbeat_interval * kMaxMissedHeartbeats) {
    LogEvent(log_level::warning,
             "instance_silent",
             { { "instance", mOwnRecord.instance.id },
               { "silent_ms", std::to_string(Milliseconds(sinceHeartbeat)) } });
    SetInstanceState(instance_state::absent);
  }
}

void
mesh_node::RefreshVersions()
{
  std::size_t nodes = 0;
  std::map<std::string, std::size_t> instances;
  for (const auto& [name, host] : mDirectory.All()) {
    nodes += host.unreachable ? 0 : 1;
    const instance_record& instance = host.record.instance;
    if (instance.state == instance_state::ready) {
      mVersions.RecordVersion(
        instance.service, instance.version, instance.started_unix_ms);
      const canary_rollout* canary = mVersions.CanaryOf(instance.service);
      bool isTarget =
        canary != nullptr && canary->target_version == instance.version;
      instances[instance.service] += isTarget ? 0 : 1;
    }
  }
  mRetries.SetNodeCount(nodes);
  mVersions.SetInstanceCounts(std::move(instances));
  auto divisor = static_cast<double>(std::max<std::size_t>(nodes, 1));
  mVersions.SetExtraCanaryRequests(kExtraCanaryFraction *
                                     mSettings.bounds.canary_slack / divisor,
                                   kWantedCanaryRequests / divisor);
}

void
mesh_node::RunMaintenance()
{
  time_point now = mLoop.Now();
  mIngress.Sweep(now);
  mHopServer.Sweep(now);
  mDispatcher.Sweep(now);
  mClient.CloseIdle(kIdleConnectionTimeout);
  mChooser.RemoveUnused(now);
  mCrashes.RemoveExpired(now);
  if (mQuarantine.RemoveEndedFrom(mOwnRecord)) {
    SpreadOwnRecord();
  }
  CheckHeartbeat();
  RemoveUnreachableHosts();
}

void
mesh_node::RemoveUnreachableHosts()
{
  time_point now = mLoop.Now();
  for (const host_record& removed :
       mDirectory.RemoveUnreachable(kRemoveHostAfter, now)) {
    LogEvent(log_level::info, "host_dropped", { { "host", removed.name } });
    if (!removed.leaving) {
      mQuota.HandleRemovedHost(removed.name);
    }
    if (IsRemoverOf(mDirectory, removed.name) &&
        mStore.AnsweredSince(now - kStoreAnswerWindow)) {
      mStore.RemoveHost(removed.name, removed.incarnation);
    }
  }
}

void
mesh_node::UpdateWatcherRole()
{
  time_point now = mLoop.Now();
  if (!mHostsListed && now - mStarted < kFirstListingTime) {
    return; // no other host is known yet, so every node would watch
  }
  // While no watcher reaches the store, more nodes watch as time passes.
  duration age = mConfig.StoreAge();
  std::size_t additional =
    std::min(kMaxAdditionalWatchers,
             static_cast<std::size_t>(age / mConfig.MaxStoreAge()));
  std::vector<std::string> watchers = WatchersOf(
    mDirectory, mOwnRecord.domain, kWatchersPerDomain * (1 + additional));
  bool watches = !mDraining && IndexOf(watchers, mOwnRecord.name) >= 0;
  if (watches != mWatches) {
    mWatches = watches;
    LogEvent(log_level::info,
             watches ? "store_watch_started" : "store_watch_stopped",
             { { "watchers", std::to_string(watchers.size()) },
               { "store_age_ms", std::to_string(Milliseconds(age)) } });
  }
  mStore.SetWatching(watches);
  mEntryRepair.SetActive(watches);
  AnnounceAsWatcher(kAnnouncePeriod);
}

void
mesh_node::AnnounceAsWatcher(duration aMinPeriod)
{
  time_point now = mLoop.Now();
  if (mWatches && mConfig.HasFreshRead() &&
      now - mAnnouncedConfigAt >= aMinPeriod) {
    mAnnouncedConfigAt = now;
    mGossip.SpreadConfigVersion(true);
  }
}

void
mesh_node::Drain()
{
  if (mDraining) {
    return;
  }
  LogEvent(log_level::info, "node_stopping");
  mDraining = true;
  mEntry.SetStopping();
  mDrainStarted = mLoop.Now();
  mOwnRecord.leaving = true;
  mDispatcher.SetLeaving(true);
  mIngress.SetClosing(true);
  LimitServingTime();
  mHopServer.SetClosing(true);
  SpreadOwnRecord();
  mLoop.RunEvery(kDrainCheckPeriod, [this] { CheckDrained(); });
}

void
mesh_node::LimitServingTime()
{
  mIngress.SetServingUntil(mDrainStarted + mSettings.bounds.shutdown_grace -
                           kExitReserve - kLastAnswerReserve);
}

void
mesh_node::CheckDrained()
{
  duration elapsed = mLoop.Now() - mDrainStarted;
  if (elapsed < kMinDrainTime) {
    return;
  }
  if (elapsed > kRefuseAfter) {
    mIngress.SetRefusing(true);
  }
  bool busy = mIngress.BusySessionCount() > 0 || mDispatcher.RequestCount() > 0;
  if (busy && elapsed < mSettings.bounds.shutdown_grace - kExitReserve) {
    return;
  }
  LogEvent(log_level::info,
           "node_stopped",
           { { "unfinished", std::to_string(mIngress.BusySessionCount()) } });
  mLoop.Stop();
}

// control_store_observer

void
mesh_node::OnTable(accepted_table aTable)
{
  mConfig.HandleStored(aTable);
}

void
mesh_node::OnConfigConfirmed(time_point aTime)
{
  mConfig.HandleConfirmed(aTime);
  AnnounceAsWatcher(kMinAnnouncePeriod);
}

void
mesh_node::OnOrder(const canary_order& aOrder)
{
  mCanaryDriver.OnOrder(aOrder);
  mDispatcher.RefuseWaitingIfRolledBack();
}

void
mesh_node::OnOrderRemoved(const std::string& aService)
{
  mCanaryDriver.OnOrderRemoved(aService);
}

void
mesh_node::OnEvacuations(const evacuation_snapshot& aSnapshot)
{
  if (mEvacuations.Merge(aSnapshot)) {
    OnEvacuationsChanged();
    mGossip.SpreadEvacuations();
  }
}

void
mesh_node::OnStoreRestored()
{
  mEntryRepair.Start();
}

// gossip_delegate

const config_knowledge&
mesh_node::Configuration() const
{
  return mConfig.Knowledge();
}

void
mesh_node::OnConfigAnnounced(const host_record& aFrom,
                             std::uint64_t aVersion,
                             std::optional<duration> aStoreAge)
{
  mConfig.HandleAnnounced(aFrom, aVersion, aStoreAge);
}

void
mesh_node::OnHostsChanged()
{
  if (!mHostsListed && !mSettings.first_start && mDirectory.All().size() > 1) {
    mHostsListed = true; // gossip supplied what the store could not
  }
  RefreshVersions();
}

void
mesh_node::OnInstanceLeft(const instance_incarnation& aInstance)
{
  RecordDeparture(aInstance);
  EndDepartedInstance("other nodes");
}

void
mesh_node::OnNewerOwnRecord(const host_record& aRecord)
{
  FollowRecord(aRecord);
}

void
mesh_node::OnEvacuationsChanged()
{
  mDispatcher.SetEvacuated(mEvacuations.Contains(mOwnRecord.domain));
}

void
mesh_node::OnRemovedByOthers()
{
  LogEvent(log_level::info, "dropped_by_others");
  mEntry.HandleLost();
}

void
mesh_node::OnCanaryUpdates(const std::vector<canary_rollout>& aCanaries)
{
  for (const canary_rollout& canary : aCanaries) {
    mCanaryDriver.OnCanaryUpdate(canary);
  }
}

// config_follower_delegate

void
mesh_node::OnConfigTaken(const traffic_table_ptr& aTable,
                         const std::string& aFrom)
{
  mIngress.SetTable(aTable);
  mQuota.SetTable(aTable);
  UpdateColdLimit();
  if (aFrom.empty()) {
    mAnnouncedConfigAt = mLoop.Now();
    mGossip.SpreadConfigVersion(mWatches);
  } else {
    mGossip.ForwardConfigVersion(aFrom);
  }
}

// canary_observer

void
mesh_node::OnCanaryUpdate(const canary_rollout& aCanary)
{
  mDispatcher.RefuseWaitingIfRolledBack();
  mGossip.SpreadCanary(aCanary);
}

void
mesh_node::OnCanaryLearned()
{
  mDispatcher.RefuseWaitingIfRolledBack();
}

void
mesh_node::OnDeciderSilent(const std::string& aHost)
{
  mGossip.Probe(aHost);
}

void
mesh_node::ServeControl(buffered_request aRequest, respond_callback aRespond)
{
  if (aRequest.target == "/v1/ping") {
    aRespond(Response(status::kOk));
    return;
  }
  if (aRequest.target == "/v1/gossip") {
    result<std::string> answer = mGossip.HandleMessage(aRequest.body);
    if (!answer) {
      LogEvent(log_level::warning,
               "peer_message_refused",
               { { "reason", answer.error().message } });
    }
    aRespond(answer ? Response(status::kOk, std::move(*answer))
                    : Response(status::kBadRequest));
    return;
  }
  if (aRequest.target == "/v1/evidence") {
    result<std::string> answer = mCanaryDriver.HandleReport(aRequest.body);
    if (!answer) {
      LogEvent(log_level::warning,
               "peer_counts_refused",
               { { "reason", answer.error().message } });
    }
    aRespond(answer ? Response(status::kOk, std::move(*answer))
                    : Response(status::kBadRequest));
    return;
  }
  if (aRequest.target == kPermitsTarget) {
    aRespond(mQuota.HandleMessage(aRequest.body));
    return;
  }
  if (aRequest.target == "/v1/config") {
    const std::string& text = mConfig.CompressedText();
    aRespond(text.empty() ? Response(status::kNotFound)
                          : Response(status::kOk, text));
    return;
  }
  if (aRequest.target == "/metrics") {
    aRespond(Response(status::kOk, Metrics()));
    return;
  }
  if (aRequest.target == "/state") {
    aRespond(Response(status::kOk, Dump()));
    return;
  }
  aRespond(Response(status::kNotFound));
}

std::string
mesh_node::ClientMetrics() const
{
  const session_counts& callers = mIngress.SessionCounts();
  const session_counts& nodes = mHopServer.SessionCounts();
  std::string text;
  auto add = [&text](const char* aName, std::uint64_t aValue) {
    text += "eelgrasstrack_";
    text += aName;
    text += ' ' + std::to_string(aValue) + '\n';
  };
  add("body_bytes", mBodies.HeldBytes());
  add("body_bytes_limit", mBodies.Limit());
  add("answer_bytes", mAnswers.HeldBytes());
  add("answer_bytes_limit", mAnswers.Limit());
  add("control_bytes", mControlBytes.HeldBytes());
  add("control_bytes_limit", mControlBytes.Limit());
  add("bodies_refused_memory_total",
      callers.refused_memory + nodes.refused_memory);
  add("bodies_stalled_total", callers.stalled + nodes.stalled);
  add("connections_closed_for_others_total", callers.closed_for_others);
  return text;
}

std::string
mesh_node::Metrics() const
{
  std::string text;
  mCounters.AppendMetrics(text);
  mQuota.AppendMetrics(text);
  text += ClientMetrics();
  run_load load = mDispatcher.Load();
  mConfig.AppendMetrics(text);
  text += "eelgrasstrack_store_watcher " + std::to_string(mWatches ? 1 : 0) +
          "\neelgrasstrack_hosts " + std::to_string(mDirectory.All().size()) +
          "\neelgrasstrack_instance_busy " + std::to_string(load.busy) +
          "\neelgrasstrack_instance_waiting " + std::to_string(load.waiting) +
          "\neelgrasstrack_store_era " + std::to_string(mStore.Era()) +
          "\neelgrasstrack_instance_sent_total " +
          std::to_string(mDispatcher.SentCount()) +
          "\neelgrasstrack_quarantined_requests " +
          std::to_string(mCrashes.QuarantinedCount()) +
          "\neelgrasstrack_evacuated_domains " +
          std::to_string(mEvacuations.Snapshot().domains.size()) +
          "\neelgrasstrack_instance_cold " +
          std::to_string(mLoop.Now() < mColdUntil ? 1 : 0) + "\n";
  if (const std::optional<double>& limit = mDispatcher.RequestLimit()) {
    text +=
      "eelgrasstrack_instance_request_limit " + RequestLimitText(limit) + "\n";
  }
  return text;
}

std::string
mesh_node::Dump() const
{
  json hosts = json::array();
  for (const auto& [name, host] : mDirectory.All()) {
    json entry = EncodeHostRecord(host.record);
    entry["unreachable"] = host.unreachable;
    hosts.push_back(std::move(entry));
  }
  json canaries = json::array();
  for (const auto& [service, canary] : mVersions.Canaries()) {
    json entry = { { "service", service },
                   { "to", canary.target_version },
                   { "phase", NameOf(canary.phase) } };
    AddOrderId(entry, canary.order_id);
    canaries.push_back(std::move(entry));
  }
  json crashes = json::array();
  for (const crash_record& record : mCrashes.Records()) {
    duration age = mLoop.Now() - record.changed;
    crashes.push_back({ { "fingerprint", HexOf(record.fingerprint) },
                        { "crashes", record.count.crashes },
                        { "age_ms", Milliseconds(age) } });
  }
  run_load load = mDispatcher.Load();
  return json({ { "name", mOwnRecord.name },
                { "ready", Ready() },
                { "config_version", ConfigVersion() },
                { "configuration", mConfig.Dump() },
                { "watches_store", mWatches },
                { "hosts", std::move(hosts) },
                { "moves", std::move(canaries) },
                { "evacuated", mEvacuations.Snapshot().domains },
                { "crashing_requests", std::move(crashes) },
                { "busy", load.busy },
                { "waiting", load.waiting } })
    .dump();
}

} // namespace eelgrasstrack
