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
constexpr duration kDutyPeriod = std::chrono::milliseconds(400);
/// Silence of the watchers of the failure domain after which further nodes
/// watch the store.
constexpr duration kWatcherSilence = std::chrono::milliseconds(1200);
/// The store has to have answered within this for a watcher to be trusted:
/// longer than one watch.
constexpr duration kStoreHeard = std::chrono::milliseconds(3000);
/// Time for the first listing of the others, before a node watches alone.
constexpr duration kListingTime = std::chrono::milliseconds(800);
/// How long a first start waits for the first announcement of its instance.
constexpr duration kFirstWords = std::chrono::milliseconds(2000);
constexpr duration kFirstWordsCheck = std::chrono::milliseconds(100);
/// Changes of the node's entry within this time are written at once.
constexpr duration kPublishDelay = std::chrono::milliseconds(700);
constexpr duration kListAgain = std::chrono::milliseconds(500);
constexpr duration kConfigFetchTimeout = std::chrono::milliseconds(900);
/// Time that a node of another failure domain leaves to the own watchers.
constexpr duration kFarConfigDelay = std::chrono::milliseconds(600);
constexpr std::size_t kMaxConfigBytes = 16U << 20U;
/// Heartbeats that may be missing before the instance counts as gone.
constexpr int kMissedHeartbeats = 4;
/// How long callers and nodes may still send after a stop was announced.
constexpr duration kLinger = std::chrono::milliseconds(2600);
/// From then on new requests are refused: callers may go on sending while too
/// few other nodes are ready, and the rest of the grace period is for what
/// runs.
constexpr duration kRefuseAfter = std::chrono::milliseconds(2900);
constexpr duration kDrainCheckPeriod = std::chrono::milliseconds(100);
/// Time kept back from the grace period for the end of the process.
constexpr duration kExitReserve = std::chrono::milliseconds(400);
/// A host that was unreachable for so long is taken to be gone for good.
constexpr duration kLostAfter = std::chrono::seconds(60);
constexpr duration kIdleCalls = std::chrono::seconds(20);

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
  , mHost(aHost)
  , mCaller(aCaller)
  , mStore(aStore)
  , mCounters(aCounters)
  , mNames(aNames)
  , mSettings(std::move(aSettings))
  , mDirectory(mSettings.name)
  , mChooser(mSettings.domain, std::random_device{}())
  , mLocal(aHost, mNames)
  , mHops(aHost, mNames)
  , mIngress({ aHost,
               mNames,
               mLocal,
               mHops,
               mDirectory,
               mChooser,
               mRetries,
               mVersions,
               aCounters })
  , mHopServer(aHost, mNames, mLocal)
  , mGossip(aLoop, aCaller, mDirectory, mVersions, aCounters, *this)
  , mMoves(aLoop, aCaller, aStore, mDirectory, mVersions, aCounters, *this)
{
  mSelf.name = mSettings.name;
  mSelf.domain = mSettings.domain;
  mSelf.hop = mSettings.hop_listen;
  mSelf.control = mSettings.control_listen;
  mSelf.incarnation = aLoop.UnixMilliseconds();
  mIngress.SetCallerService(mSettings.service);
  Reload(mSettings);
}

void
mesh_node::Reload(const mesh_settings& aSettings)
{
  mSettings.bounds = aSettings.bounds;
  mSettings.heartbeat_interval = aSettings.heartbeat_interval;
  shared_retry_budget_options retries;
  retries.ratio = mSettings.bounds.retry_ratio;
  retries.allowance = mSettings.bounds.retry_allowance;
  retries.window = mSettings.bounds.retry_window;
  mRetries.SetOptions(retries);
  mMoves.SetBounds(mSettings.bounds);
  mLocal.SetDrainTime(mSettings.bounds.drain_time);
}

result<void>
mesh_node::Start()
{
  mStarted = mLoop.Now();
  mDirectory.Merge(mSelf, mStarted);
  result<void> opened = mIngress.Listen(mSettings.caller_listen);
  if (opened) {
    opened = mHopServer.Listen(mSettings.hop_listen);
  }
  if (opened) {
    opened =
      ServeAt(mHost,
              mSettings.control_listen,
              [this](buffered_request aRequest, respond_callback aRespond) {
                ServeControl(std::move(aRequest), std::move(aRespond));
              });
  }
  if (opened) {
    opened = ServeAt(
      mHost,
      mSettings.ready_listen,
      [this](const buffered_request&, const respond_callback& aRespond) {
        aRespond(Response(Ready() ? status::kOk : status::kUnavailable));
      });
  }
  if (!opened) {
    return opened;
  }
  mLocal.OnResult([this](const run_result& aResult) {
    mMoves.OnResult(mLocal.Instance().service, aResult);
  });
  mHops.OnDoubt([this](const std::string& aName) { mGossip.Probe(aName); });
  mHops.OnOutdated(
    [this](const std::string& aName) { mGossip.CompareUnlessRecent(aName); });
  mGossip.OnLost([this](const std::string& aName) { mHops.HostLost(aName); });
  mGossip.Start();
  mMoves.Start();
  mStore.SetObserver(*this);
  Join();
  mLoop.Every(kMaintainPeriod, [this] { Maintain(); });
  mLoop.Every(kDutyPeriod, [this] { ReviewDuty(); });
  mLoop.Every(kHopSweepPeriod, [this] { mHops.Sweep(mLoop.Now()); });
  LogEvent(log_level::info,
           "node_started",
           { { "name", mSelf.name },
             { "domain", mSelf.domain },
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
    ListOthers();
    return;
  }
  // One write is enough if it holds the instance: wait for its first words.
  bool waiting = mSelf.instance.state == instance_state::absent &&
                 mLoop.Now() - mStarted < kFirstWords;
  if (waiting) {
    mLoop.After(kFirstWordsCheck, [this] { Join(); });
    return;
  }
  PublishSelf();
}

void
mesh_node::PublishSelf()
{
  if (mPublishing || mDraining) {
    return;
  }
  if (mPublished && mPublished->hop == mSelf.hop &&
      mPublished->control == mSelf.control &&
      mPublished->instance.id == mSelf.instance.id &&
      mPublished->instance.state == mSelf.instance.state) {
    return;
  }
  mPublishing = true;
  host_record written = mSelf;
  mStore.PublishHost(written, [this, written](result<void> aDone) {
    mPublishing = false;
    if (!aDone) {
      LogEvent(log_level::debug,
               "publish_failed",
               { { "reason", aDone.error().message } });
      PublishSoon();
      return;
    }
    // Whoever writes and lists after this sees this node; those who wrote
    // before have to be listed once more.
    bool first = !mPublished;
    mPublished = written;
    if (first) {
      ListOthers();
    }
    PublishSelf(); // what changed meanwhile
  });
}

void
mesh_node::PublishSoon()
{
  if (mPublishSoon) {
    return;
  }
  mPublishSoon = true;
  mLoop.After(kPublishDelay, [this] {
    mPublishSoon = false;
    PublishSelf();
  });
}

void
mesh_node::ListOthers()
{
  mStore.ListHosts([this](result<std::vector<host_record>> aHosts) {
    if (!aHosts) {
      LogEvent(log_level::debug,
               "listing_failed",
               { { "reason", aHosts.error().message } });
      mLoop.After(kListAgain, [this] { ListOthers(); });
      return;
    }
    for (const host_record& record : *aHosts) {
      if (record.name == mSelf.name) {
        TakeOwnEntry(record);
      } else {
        mDirectory.Merge(record, mLoop.Now());
      }
    }
    mListed = true;
    OnHostsChanged();
    ReviewDuty();
    mGossip.SpreadHost(mSelf);
    // One other node tells what changed since the entries were written.
    for (const auto& [name, host] : mDirectory.All()) {
      if (name != mSelf.name) {
        mGossip.CompareWith(name);
        break;
      }
    }
    PublishSoon();
  });
}

void
mesh_node::TakeOwnEntry(const host_record& aEntry)
{
  if (!mPublished) {
    mPublished = aEntry;
  }
  // The instance lived on while this process was away. Should it have been
  // replaced, it refuses what is meant for the one named here.
  if (mSelf.instance.state == instance_state::absent &&
      aEntry.instance.state == instance_state::ready) {
    mSelf.instance = aEntry.instance;
    mSelf.instance.warmup_left = duration(0);
    mAnnouncedAt = mLoop.Now();
    mLocal.SetInstance(mSelf.instance);
    ChangeSelf();
    LogEvent(log_level::info,
             "instance_resumed",
             { { "instance", mSelf.instance.id } });
  }
}

void
mesh_node::ChangeSelf()
{
  ++mSelf.sequence;
  mDirectory.Merge(mSelf, mLoop.Now());
  RefreshVersions();
  mGossip.SpreadHost(mSelf);
  if (mListed) {
    PublishSoon();
  }
}

bool
mesh_node::HandleAnnouncement(const instance_announcement& aAnnouncement)
{
  const instance_record& known = mSelf.instance;
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
  mSelf.instance = said;
  mLocal.SetInstance(said);
  ChangeSelf();
  return true;
}

void
mesh_node::HandleInstanceExit(const std::string& aId)
{
  if (mSelf.instance.id != aId ||
      mSelf.instance.state == instance_state::gone) {
    return;
  }
  LogEvent(log_level::info, "instance_left", { { "instance", aId } });
  mSelf.instance.state = instance_state::gone;
  mLocal.SetInstance(mSelf.instance);
  ChangeSelf();
}

void
mesh_node::WatchInstance()
{
  if (mSelf.instance.state != instance_state::ready) {
    return;
  }
  duration silent = mLoop.Now() - mAnnouncedAt;
  if (silent > mSettings.heartbeat_interval * kMissedHeartbeats) {
    LogEvent(log_level::warning,
             "instance_silent",
             { { "instance", mSelf.instance.id },
               { "silent_ms", std::to_string(Milliseconds(silent)) } });
    mSelf.instance.state = instance_state::absent;
    mLocal.SetInstance(mSelf.instance);
    ChangeSelf();
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
  mRetries.SetNodeCount(nodes);
}

void
mesh_node::Maintain()
{
  time_point now = mLoop.Now();
  mIngress.Sweep(now);
  mHopServer.Sweep(now);
  mLocal.CloseIdle(now);
  mCaller.CloseIdle(kIdleCalls);
  mChooser.Forget(now);
  WatchInstance();
  DropLostHosts();
}

void
mesh_node::DropLostHosts()
{
  time_point now = mLoop.Now();
  for (const host_record& lost :
       mDirectory.RemoveUnreachable(kLostAfter, now)) {
    LogEvent(log_level::info, "host_dropped", { { "host", lost.name } });
    bool removes = IndexOf(DecidersOf(mDirectory, lost.name), mSelf.name) == 0;
    if (removes && mStore.AnsweredSince(now - kStoreHeard)) {
      mStore.RemoveHost(lost.name, lost.incarnation);
    }
  }
}

void
mesh_node::ReviewDuty()
{
  time_point now = mLoop.Now();
  if (!mListed && now - mStarted < kListingTime) {
    return; // nobody else is known yet, so everyone would watch
  }
  // While no watcher reaches the store, a few more try as time goes by.
  duration silence = now - std::max(mGossip.LastWatcherMessage(), mStarted);
  auto further = static_cast<std::size_t>(silence / kWatcherSilence);
  std::vector<std::string> watchers =
    WatchersOf(mDirectory, mSelf.domain, kWatchersPerDomain * (1 + further));
  bool watches = !mDraining && IndexOf(watchers, mSelf.name) >= 0;
  mStore.SetWatching(watches);
  if (watches && mStore.AnsweredSince(now - kStoreHeard)) {
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
  mDrainBegan = mLoop.Now();
  mSelf.leaving = true;
  mLocal.SetLeaving(true);
  mIngress.SetClosing(true);
  mHopServer.SetClosing(true);
  ChangeSelf();
  mLoop.Every(kDrainCheckPeriod, [this] { FinishDraining(); });
}

void
mesh_node::FinishDraining()
{
  duration passed = mLoop.Now() - mDrainBegan;
  if (passed < kLinger) {
    return;
  }
  if (passed > kRefuseAfter) {
    mIngress.SetRefusing(true);
  }
  bool busy = mIngress.BusySessionCount() > 0 || mLocal.Active() > 0;
  if (busy && passed < mSettings.bounds.shutdown_grace - kExitReserve) {
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
  if (TakeTable(std::move(aTable))) {
    mGossip.SpreadConfigVersion(false);
  }
}

bool
mesh_node::TakeTable(accepted_table aTable)
{
  if (aTable.table->Version() <= ConfigVersion()) {
    return false;
  }
  LogEvent(log_level::info,
           "configuration_taken",
           { { "version", std::to_string(aTable.table->Version()) },
             { "before", std::to_string(ConfigVersion()) },
             { "routes", std::to_string(aTable.table->RouteCount()) } });
  mPackedConfig = Compress(aTable.text);
  mIngress.SetTable(aTable.table);
  return true;
}

void
mesh_node::OnOrder(const canary_order& aOrder)
{
  mMoves.OnOrder(aOrder);
}

void
mesh_node::OnOrderRemoved(const std::string& aService)
{
  mMoves.OnOrderRemoved(aService);
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
  if (aFrom.domain == mSelf.domain || ConfigVersion() == 0) {
    FetchConfig(aFrom, aVersion);
    return;
  }
  mLoop.After(kFarConfigDelay,
              [this, from = aFrom, aVersion] { FetchConfig(from, aVersion); });
}

void
mesh_node::FetchConfig(const host_record& aFrom, std::uint64_t aVersion)
{
  if (ConfigVersion() >= aVersion) {
    return;
  }
  if (mFetchingConfig) {
    mNextFetch = config_source{ aFrom, aVersion };
    return;
  }
  mFetchingConfig = true;
  buffered_request request;
  request.target = "/v1/config";
  mCounters.Add(proxy_event::peer_message);
  mCaller.Call(aFrom.control,
               std::move(request),
               kConfigFetchTimeout,
               [this, from = aFrom.name](result<buffered_response> aResponse) {
                 mFetchingConfig = false;
                 TakeFetchedConfig(from, std::move(aResponse));
                 // What was told of meanwhile.
                 if (std::optional<config_source> next =
                       std::exchange(mNextFetch, std::nullopt)) {
                   FetchConfig(next->host, next->version);
                 }
               });
}

void
mesh_node::TakeFetchedConfig(const std::string& aFrom,
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
  if (TakeTable(std::move(*table))) {
    mGossip.ForwardConfigVersion(aFrom);
  }
}

void
mesh_node::OnHostsChanged()
{
  if (!mListed && !mSettings.first_start && mDirectory.All().size() > 1) {
    mListed = true; // others have told what the store could not
  }
  RefreshVersions();
}

void
mesh_node::OnRemovedByOthers()
{
  LogEvent(log_level::info, "dropped_by_others");
  mPublished.reset();
  PublishSoon();
}

void
mesh_node::OnCanaryUpdates(const std::vector<canary_rollout>& aMoves)
{
  for (const canary_rollout& move : aMoves) {
    mMoves.OnCanaryUpdate(move);
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
    result<void> taken = mMoves.HandleReport(aRequest.body);
    if (!taken) {
      LogEvent(log_level::warning,
               "peer_counts_refused",
               { { "reason", taken.error().message } });
    }
    aRespond(Response(taken ? status::kOk : status::kBadRequest));
    return;
  }
  if (aRequest.target == "/v1/config") {
    aRespond(mPackedConfig.empty() ? Response(status::kNotFound)
                                   : Response(status::kOk, mPackedConfig));
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
          std::to_string(mLocal.Load().busy) +
          "\neelgrasstrack_instance_waiting " +
          std::to_string(mLocal.Load().waiting) + "\n";
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
  run_load load = mLocal.Load();
  return json({ { "name", mSelf.name },
                { "ready", Ready() },
                { "config_version", ConfigVersion() },
                { "hosts", std::move(hosts) },
                { "moves", std::move(moves) },
                { "busy", load.busy },
                { "waiting", load.waiting } })
    .dump();
}

} // namespace eelgrasstrack
