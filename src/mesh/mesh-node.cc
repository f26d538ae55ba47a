#include "mesh/mesh-node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/invariant.h"
#include "base/log.h"
#include "mesh/role-assignment.h"
#include "wire/compression.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kMaintainPeriod = std::chrono::milliseconds(1000);
constexpr duration kHopSweepPeriod = std::chrono::milliseconds(200);
constexpr duration kRoleCheckPeriod = std::chrono::milliseconds(400);
/// Silence of the watchers of the failure domain after which further nodes
/// watch the store.
constexpr duration kWatcherTimeout = std::chrono::milliseconds(1200);
/// The store has to have answered within this for a watcher to be trusted:
/// longer than one watch.
constexpr duration kStoreAnswerWindow = std::chrono::milliseconds(3000);
/// Time for the first listing of the others, before a node watches alone.
constexpr duration kFirstListingTime = std::chrono::milliseconds(800);
/// How long a first start waits for the first announcement of its instance.
constexpr duration kFirstAnnouncementTimeout = std::chrono::milliseconds(2000);
constexpr duration kFirstAnnouncementCheckPeriod =
  std::chrono::milliseconds(100);
/// Changes of the node's entry within this time are written at once.
constexpr duration kPublishDelay = std::chrono::milliseconds(700);
constexpr duration kListRetryDelay = std::chrono::milliseconds(500);
constexpr duration kConfigFetchTimeout = std::chrono::milliseconds(900);
/// Time that a node of another failure domain leaves to the own watchers.
constexpr duration kOtherDomainFetchDelay = std::chrono::milliseconds(600);
constexpr std::size_t kMaxConfigBytes = 16U << 20U;
/// Heartbeats that may be missing before the instance counts as gone.
constexpr int kMaxMissedHeartbeats = 4;
/// How long callers and nodes may still send after a stop was announced.
constexpr duration kMinDrainTime = std::chrono::milliseconds(2600);
/// From then on new requests are refused: callers may go on sending while too
/// few other nodes are ready, and the rest of the grace period is for what
/// runs.
constexpr duration kRefuseAfter = std::chrono::milliseconds(2900);
constexpr duration kDrainCheckPeriod = std::chrono::milliseconds(100);
/// Time kept back from the grace period for the end of the process.
constexpr duration kExitReserve = std::chrono::milliseconds(400);
/// A host that was unreachable for so long is taken to be gone for good.
constexpr duration kRemoveHostAfter = std::chrono::seconds(60);
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
                     socket_host& aHost,
                     control_client& aCaller,
                     control_store& aStore,
                     proxy_counters& aCounters,
                     const header_names& aNames,
                     mesh_settings aSettings)
  : mLoop(aLoop)
  , mSockets(aHost)
  , mClient(aCaller)
  , mStore(aStore)
  , mCounters(aCounters)
  , mNames(aNames)
  , mSettings(std::move(aSettings))
  , mDirectory(mSettings.name)
  , mChooser(mSettings.domain, std::random_device{}())
  , mDispatcher(aHost, mNames)
  , mHopClient(aHost, mNames)
  , mIngress({ aHost,
               mNames,
               mDispatcher,
               mHopClient,
               mDirectory,
               mChooser,
               mRetries,
               mVersions,
               aCounters })
  , mHopServer(aHost, mNames, mDispatcher)
  , mGossip(aLoop, aCaller, mDirectory, mVersions, aCounters, *this)
  , mCanaryDriver(aLoop,
                  aCaller,
                  aStore,
                  mDirectory,
                  mVersions,
                  aCounters,
                  *this)
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
  retry_window_options retries;
  retries.ratio = mSettings.bounds.retry_ratio;
  retries.allowance = mSettings.bounds.retry_allowance;
  retries.window = mSettings.bounds.retry_window;
  mRetries.SetOptions(retries);
  mCanaryDriver.SetBounds(mSettings.bounds);
  mDispatcher.SetDrainTime(mSettings.bounds.drain_time);
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
    opened =
      ServeAt(mSockets,
              mSettings.control_listen,
              [this](buffered_request aRequest, respond_callback aRespond) {
                ServeControl(std::move(aRequest), std::move(aRespond));
              });
  }
  if (opened) {
    opened = ServeAt(
      mSockets,
      mSettings.ready_listen,
      [this](const buffered_request&, const respond_callback& aRespond) {
        aRespond(Response(Ready() ? status::kOk : status::kUnavailable));
      });
  }
  if (!opened) {
    return opened;
  }
  mDispatcher.OnResult([this](const run_result& aResult) {
    mCanaryDriver.OnResult(mDispatcher.Instance().service, aResult);
  });
  mHopClient.OnDoubt(
    [this](const std::string& aName) { mGossip.Probe(aName); });
  mHopClient.OnOutdated(
    [this](const std::string& aName) { mGossip.CompareUnlessRecent(aName); });
  mGossip.OnLost(
    [this](const std::string& aName) { mHopClient.HostLost(aName); });
  mGossip.Start();
  mCanaryDriver.Start();
  mStore.SetObserver(*this);
  Join();
  mLoop.Every(kMaintainPeriod, [this] { RunMaintenance(); });
  mLoop.Every(kRoleCheckPeriod, [this] { UpdateWatcherRole(); });
  mLoop.Every(kHopSweepPeriod, [this] { mHopClient.Sweep(mLoop.Now()); });
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
         !mDraining;
}

void
mesh_node::Join()
{
  if (!mSettings.first_start) {
    ListOtherHosts();
    return;
  }
  // One write is enough if it holds the instance: wait for its first words.
  bool waiting = mOwnRecord.instance.state == instance_state::absent &&
                 mLoop.Now() - mStarted < kFirstAnnouncementTimeout;
  if (waiting) {
    mLoop.After(kFirstAnnouncementCheckPeriod, [this] { Join(); });
    return;
  }
  PublishOwnRecord();
}

void
mesh_node::PublishOwnRecord()
{
  if (mPublishing || mDraining) {
    return;
  }
  if (mPublished && mPublished->hop == mOwnRecord.hop &&
      mPublished->control == mOwnRecord.control &&
      mPublished->instance.id == mOwnRecord.instance.id &&
      mPublished->instance.state == mOwnRecord.instance.state) {
    return;
  }
  mPublishing = true;
  host_record written = mOwnRecord;
  mStore.PublishHost(written, [this, written](result<void> aDone) {
    mPublishing = false;
    if (!aDone) {
      LogEvent(log_level::debug,
               "publish_failed",
               { { "reason", aDone.error().message } });
      SchedulePublish();
      return;
    }
    // Whoever writes and lists after this sees this node; those who wrote
    // before have to be listed once more.
    bool first = !mPublished;
    mPublished = written;
    if (first) {
      ListOtherHosts();
    }
    PublishOwnRecord(); // what changed meanwhile
  });
}

void
mesh_node::SchedulePublish()
{
  if (mPublishScheduled) {
    return;
  }
  mPublishScheduled = true;
  mLoop.After(kPublishDelay, [this] {
    mPublishScheduled = false;
    PublishOwnRecord();
  });
}

void
mesh_node::ListOtherHosts()
{
  mStore.ListHosts([this](result<std::vector<host_record>> aHosts) {
    if (!aHosts) {
      LogEvent(log_level::debug,
               "listing_failed",
               { { "reason", aHosts.error().message } });
      mLoop.After(kListRetryDelay, [this] { ListOtherHosts(); });
      return;
    }
    for (const host_record& record : *aHosts) {
      if (record.name == mOwnRecord.name) {
        RestoreOwnEntry(record);
      } else {
        mDirectory.Merge(record, mLoop.Now());
      }
    }
    mHostsListed = true;
    OnHostsChanged();
    UpdateWatcherRole();
    mGossip.SpreadHost(mOwnRecord);
    // One other node tells what changed since the entries were written.
    for (const auto& [name, host] : mDirectory.All()) {
      if (name != mOwnRecord.name) {
        mGossip.CompareWith(name);
        break;
      }
    }
    SchedulePublish();
  });
}

void
mesh_node::RestoreOwnEntry(const host_record& aEntry)
{
  if (!mPublished) {
    mPublished = aEntry;
  }
  // The instance lived on while this process was away. Should it have been
  // replaced, it refuses what is meant for the one named here.
  if (mOwnRecord.instance.state == instance_state::absent &&
      aEntry.instance.state == instance_state::ready) {
    mOwnRecord.instance = aEntry.instance;
    mOwnRecord.instance.warmup_left = duration(0);
    mAnnouncedAt = mLoop.Now();
    mDispatcher.SetInstance(mOwnRecord.instance);
    SpreadOwnRecord();
    LogEvent(log_level::info,
             "instance_resumed",
             { { "instance", mOwnRecord.instance.id } });
  }
}

void
mesh_node::SpreadOwnRecord()
{
  ++mOwnRecord.sequence;
  mDirectory.Merge(mOwnRecord, mLoop.Now());
  RefreshVersions();
  mGossip.SpreadHost(mOwnRecord);
  if (mHostsListed) {
    SchedulePublish();
  }
}

bool
mesh_node::HandleAnnouncement(const instance_announcement& aAnnouncement)
{
  const instance_record& known = mOwnRecord.instance;
  const instance_record& said = aAnnouncement.instance;
  bool sameLife =
    said.id == known.id && said.started_unix_ms == known.started_unix_ms;
  bool late = sameLife ? aAnnouncement.sequence <= mAnnouncedSequence
                       : said.started_unix_ms < known.started_unix_ms;
  if (late) {
    LogEvent(log_level::info,
             "announcement_late",
             { { "instance", said.id },
               { "sequence", std::to_string(aAnnouncement.sequence) } });
    return false;
  }
  if (sameLife && (known.state == instance_state::draining ||
                   known.state == instance_state::gone)) {
    return true; // it has said that it leaves, and does not come back
  }
  mAnnouncedSequence = aAnnouncement.sequence;
  mAnnouncedAt = mLoop.Now();
  bool changed =
    !sameLife || said.state != known.state || said.slots != known.slots ||
    !(said.address == known.address) || said.version != known.version;
  if (!changed) {
    return true;
  }
  LogEvent(log_level::info,
           "instance_changed",
           { { "instance", said.id },
             { "version", said.version },
             { "state", std::string(NameOf(said.state)) },
             { "born", std::to_string(said.started_unix_ms) } });
  mOwnRecord.instance = said;
  mDispatcher.SetInstance(said);
  SpreadOwnRecord();
  return true;
}

void
mesh_node::HandleInstanceExit(const std::string& aId)
{
  if (mOwnRecord.instance.id != aId ||
      mOwnRecord.instance.state == instance_state::gone) {
    return;
  }
  LogEvent(log_level::info, "instance_left", { { "instance", aId } });
  mOwnRecord.instance.state = instance_state::gone;
  mDispatcher.SetInstance(mOwnRecord.instance);
  SpreadOwnRecord();
}

void
mesh_node::CheckHeartbeat()
{
  if (mOwnRecord.instance.state != instance_state::ready) {
    return;
  }
  duration silent = mLoop.Now() - mAnnouncedAt;
  if (silent > mSettings.heartbeat_interval * kMaxMissedHeartbeats) {
    LogEvent(log_level::warning,
             "instance_silent",
             { { "instance", mOwnRecord.instance.id },
               { "silent_ms", std::to_string(Milliseconds(silent)) } });
    mOwnRecord.instance.state = instance_state::absent;
    mDispatcher.SetInstance(mOwnRecord.instance);
    SpreadOwnRecord();
  }
}

void
mesh_node::RefreshVersions()
{
  std::size_t nodes = 0;
  for (const auto& [name, host] : mDirectory.All()) {
    nodes += host.unreachable ? 0 : 1;
    const instance_record& instance = host.record.instance;
    if (instance.state == instance_state::ready) {
      mVersions.RecordVersion(
        instance.service, instance.version, instance.started_unix_ms);
    }
  }
  mRetries.SetNodes(nodes);
}

void
mesh_node::RunMaintenance()
{
  time_point now = mLoop.Now();
  mIngress.Sweep(now);
  mHopServer.Sweep(now);
  mDispatcher.CloseIdle(now);
  mClient.CloseIdle(kIdleConnectionTimeout);
  mChooser.Forget(now);
  CheckHeartbeat();
  RemoveLostHosts();
}

void
mesh_node::RemoveLostHosts()
{
  time_point now = mLoop.Now();
  for (const host_record& lost :
       mDirectory.RemoveUnreachable(kRemoveHostAfter, now)) {
    LogEvent(log_level::info, "host_dropped", { { "host", lost.name } });
    bool removes =
      IndexOf(DecidersOf(mDirectory, lost.name), mOwnRecord.name) == 0;
    if (removes && mStore.AnsweredSince(now - kStoreAnswerWindow)) {
      mStore.RemoveHost(lost.name, lost.incarnation);
    }
  }
}

void
mesh_node::UpdateWatcherRole()
{
  time_point now = mLoop.Now();
  if (!mHostsListed && now - mStarted < kFirstListingTime) {
    return; // nobody else is known yet, so everyone would watch
  }
  // While no watcher reaches the store, a few more try as time goes by.
  duration silence = now - std::max(mGossip.LastWatcherMessage(), mStarted);
  auto further = static_cast<std::size_t>(silence / kWatcherTimeout);
  std::vector<std::string> watchers = WatchersOf(
    mDirectory, mOwnRecord.domain, kWatchersPerDomain * (1 + further));
  bool watches = !mDraining && IndexOf(watchers, mOwnRecord.name) >= 0;
  mStore.SetWatching(watches);
  if (watches && mStore.AnsweredSince(now - kStoreAnswerWindow)) {
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
  mDrainStarted = mLoop.Now();
  mOwnRecord.leaving = true;
  mDispatcher.SetLeaving(true);
  mIngress.SetClosing(true);
  mHopServer.SetClosing(true);
  SpreadOwnRecord();
  mLoop.Every(kDrainCheckPeriod, [this] { CheckDrained(); });
}

void
mesh_node::CheckDrained()
{
  duration passed = mLoop.Now() - mDrainStarted;
  if (passed < kMinDrainTime) {
    return;
  }
  if (passed > kRefuseAfter) {
    mIngress.SetRefusing(true);
  }
  bool busy = mIngress.Busy() > 0 || mDispatcher.Active() > 0;
  if (busy && passed < mSettings.bounds.shutdown_grace - kExitReserve) {
    return;
  }
  LogEvent(log_level::info,
           "node_stopped",
           { { "unfinished", std::to_string(mIngress.Busy()) } });
  mLoop.Stop();
}

// control_store_observer

void
mesh_node::OnTable(accepted_table aTable)
{
  if (ApplyTable(std::move(aTable))) {
    mGossip.SpreadConfigVersion(false);
  }
}

bool
mesh_node::ApplyTable(accepted_table aTable)
{
  if (aTable.table->Version() <= ConfigVersion()) {
    return false;
  }
  LogEvent(log_level::info,
           "configuration_taken",
           { { "version", std::to_string(aTable.table->Version()) },
             { "before", std::to_string(ConfigVersion()) },
             { "routes", std::to_string(aTable.table->RouteCount()) } });
  mCompressedConfig = Compress(aTable.text);
  mIngress.SetTable(aTable.table);
  return true;
}

void
mesh_node::OnOrder(const canary_order& aOrder)
{
  mCanaryDriver.OnOrder(aOrder);
}

void
mesh_node::OnOrderRemoved(const std::string& aService)
{
  mCanaryDriver.OnOrderRemoved(aService);
}

// gossip_delegate

std::uint64_t
mesh_node::ConfigVersion() const
{
  return mIngress.Table() ? mIngress.Table()->Version() : 0;
}

void
mesh_node::OnNewerConfig(const host_record& aFrom, std::uint64_t aVersion)
{
  if (aFrom.domain == mOwnRecord.domain || ConfigVersion() == 0) {
    FetchConfig(aFrom, aVersion);
    return;
  }
  mLoop.After(kOtherDomainFetchDelay,
              [this, from = aFrom, aVersion] { FetchConfig(from, aVersion); });
}

void
mesh_node::FetchConfig(const host_record& aFrom, std::uint64_t aVersion)
{
  if (ConfigVersion() >= aVersion) {
    return;
  }
  if (mFetchingConfig) {
    mPendingFetch = config_source{ aFrom, aVersion };
    return;
  }
  mFetchingConfig = true;
  buffered_request request;
  request.target = "/v1/config";
  mCounters.Add(proxy_event::peer_message);
  mClient.Call(aFrom.control,
               std::move(request),
               kConfigFetchTimeout,
               [this, from = aFrom.name](result<buffered_response> aResponse) {
                 mFetchingConfig = false;
                 HandleFetchedConfig(from, std::move(aResponse));
                 // What was told of meanwhile.
                 if (std::optional<config_source> next =
                       std::exchange(mPendingFetch, std::nullopt)) {
                   FetchConfig(next->host, next->version);
                 }
               });
}

void
mesh_node::HandleFetchedConfig(const std::string& aFrom,
                               result<buffered_response> aResponse)
{
  if (!aResponse || aResponse->status != status::kOk) {
    mCounters.Add(proxy_event::peer_failed);
    return;
  }
  result<std::string> text = Decompress(aResponse->body, kMaxConfigBytes);
  result<accepted_table> table =
    text ? mStore.ParseTable(std::move(*text))
         : result<accepted_table>(tl::unexpected<error>(text.error()));
  if (!table) {
    LogEvent(log_level::warning,
             "configuration_refused",
             { { "from", aFrom }, { "reason", table.error().message } });
    return;
  }
  if (ApplyTable(std::move(*table))) {
    mGossip.ForwardConfigVersion(aFrom);
  }
}

void
mesh_node::OnHostsChanged()
{
  if (!mHostsListed && !mSettings.first_start && mDirectory.All().size() > 1) {
    mHostsListed = true; // others have told what the store could not
  }
  RefreshVersions();
}

void
mesh_node::OnRemovedByOthers()
{
  LogEvent(log_level::info, "dropped_by_others");
  mPublished.reset();
  SchedulePublish();
}

void
mesh_node::OnCanaryUpdates(const std::vector<canary_rollout>& aMoves)
{
  for (const canary_rollout& move : aMoves) {
    mCanaryDriver.OnCanaryUpdate(move);
  }
}

// canary_observer

void
mesh_node::OnCanaryUpdate(const canary_rollout& aMove)
{
  mGossip.SpreadCanary(aMove);
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
    result<void> taken = mCanaryDriver.HandleReport(aRequest.body);
    if (!taken) {
      LogEvent(log_level::warning,
               "peer_counts_refused",
               { { "reason", taken.error().message } });
    }
    aRespond(Response(taken ? status::kOk : status::kBadRequest));
    return;
  }
  if (aRequest.target == "/v1/config") {
    aRespond(mCompressedConfig.empty()
               ? Response(status::kNotFound)
               : Response(status::kOk, mCompressedConfig));
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
mesh_node::Metrics() const
{
  std::string text;
  mCounters.AppendMetrics(text);
  text += "eelgrasstrack_config_version " + std::to_string(ConfigVersion()) +
          "\neelgrasstrack_hosts " + std::to_string(mDirectory.All().size()) +
          "\neelgrasstrack_instance_busy " +
          std::to_string(mDispatcher.Load().busy) +
          "\neelgrasstrack_instance_waiting " +
          std::to_string(mDispatcher.Load().waiting) + "\n";
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
  json moves = json::array();
  for (const auto& [service, move] : mVersions.Canaries()) {
    moves.push_back({ { "service", service },
                      { "to", move.target_version },
                      { "order", move.order_id },
                      { "phase", NameOf(move.phase) } });
  }
  run_load load = mDispatcher.Load();
  return json({ { "name", mOwnRecord.name },
                { "ready", Ready() },
                { "config_version", ConfigVersion() },
                { "hosts", std::move(hosts) },
                { "moves", std::move(moves) },
                { "busy", load.busy },
                { "waiting", load.waiting } })
    .dump();
}

} // namespace eelgrasstrack
