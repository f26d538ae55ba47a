#include "daemon/node.h"

#include <algorithm>
#include <random>

#include "base/invariant.h"
#include "base/log.h"
#include "daemon/state-dump.h"

namespace eelgrasstrack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kRolloutPeriod = milliseconds(100);
/// Period of `TickSlow`.
constexpr duration kSlowPeriod = seconds(1);
/// An upstream is removed if it has not announced itself for this time.
constexpr duration kAnnouncementLease = seconds(5);
constexpr duration kLinkIdleTimeout = seconds(60);
/// Minimum drain time. Other nodes may keep sending calls until they know that
/// this node is leaving.
constexpr duration kMinDrainTime = seconds(2);
constexpr duration kDrainCheckPeriod = milliseconds(100);
/// Number of nodes that collect the evidence of one rollout.
constexpr std::size_t kCollectorCount = 2;
/// Limit for peer frames and for request bodies of operators (4 MiB).
constexpr std::size_t kMaxFrameBytes = std::size_t{ 4 } << 20U;
/// Maximum number of ended rollouts that the configuration keeps as history.
constexpr std::size_t kMaxEndedRollouts = 100;

/// Connection to an upstream over HTTP.
class http_upstream final : public upstream_connection
{
public:
  http_upstream(tcp_transport& aTransport,
                endpoint aTarget,
                http_client_options aOptions)
    : mClient(aTransport, std::move(aTarget), aOptions)
  {
  }

  std::shared_ptr<http_call> Start(http_request aRequest,
                                   duration aTimeout,
                                   http_callback aDone) override
  {
    return mClient.Start(std::move(aRequest), aTimeout, std::move(aDone));
  }

private:
  http_client mClient;
};

std::uint64_t
SeedOf(const node_settings& aSettings)
{
  return aSettings.random_seed != 0 ? aSettings.random_seed
                                    : std::random_device()();
}

distribution_mode
ModeOf(const std::string& aName)
{
  if (aName == "watch-all") {
    return distribution_mode::every_node_watches;
  }
  return aName == "poll" ? distribution_mode::every_node_polls
                         : distribution_mode::overlay;
}

fleet_options
FleetOptions(const loop& aLoop, const node_settings& aSettings)
{
  fleet_options options;
  options.self.node = ToString(aSettings.peer_listen);
  options.self.domain = aSettings.domain;
  options.self.region = aSettings.region;
  options.self.incarnation =
    static_cast<std::uint64_t>(aLoop.UnixMilliseconds());
  options.seeds = aSettings.seeds;
  options.mode = ModeOf(aSettings.distribution);
  options.ping_period = milliseconds(aSettings.ping_ms);
  options.random_seed = SeedOf(aSettings);
  return options;
}

first_hop_options
FirstHopOptions(const node_settings& aSettings)
{
  first_hop_options options;
  options.self = ToString(aSettings.peer_listen);
  options.domain = aSettings.domain;
  options.random_seed = SeedOf(aSettings);
  return options;
}

http_object_store_options
StoreOptions(const node_settings& aSettings)
{
  http_object_store_options options;
  options.target = aSettings.store;
  options.calls_per_second = aSettings.store_calls_per_second;
  options.burst = aSettings.store_calls_per_second * 5;
  return options;
}

recorded_attempt
ToRecordedAttempt(const observed_attempt& aAttempt)
{
  recorded_attempt recorded;
  recorded.route = aAttempt.route;
  recorded.caller = aAttempt.caller;
  recorded.node = aAttempt.node;
  recorded.exposed = aAttempt.exposed;
  recorded.failed = aAttempt.result == attempt_result::failure;
  recorded.warming_up = aAttempt.warming;
  recorded.service_time = aAttempt.service_time;
  return recorded;
}

/// Removes the oldest ended rollouts in excess of `kMaxEndedRollouts`.
void
TrimHistory(document_map& aDocuments)
{
  std::vector<rollout_declaration> ended;
  for (const auto& [key, text] : aDocuments) {
    result<parsed_document> parsed = ParseDocument({ key, text });
    if (parsed && parsed->rollout && !parsed->rollout->IsOpen()) {
      ended.push_back(*parsed->rollout);
    }
  }
  if (ended.size() <= kMaxEndedRollouts) {
    return;
  }
  std::sort(
    ended.begin(), ended.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.ended_unix_ms < aRight.ended_unix_ms;
    });
  for (std::size_t i = 0; i + kMaxEndedRollouts < ended.size(); ++i) {
    aDocuments.erase("rollout/" + ended[i].id);
  }
}

result<rollout_declaration>
FindRollout(const document_map& aDocuments, const std::string& aId)
{
  auto found = aDocuments.find("rollout/" + aId);
  if (found == aDocuments.end()) {
    return Fail(error_kind::not_found, "rollout '" + aId + "' does not exist");
  }
  result<parsed_document> parsed =
    ParseDocument({ found->first, found->second });
  if (!parsed) {
    return tl::unexpected<error>(parsed.error());
  }
  return *parsed->rollout;
}

void
PutDocument(document_map& aDocuments, const config_document& aDocument)
{
  aDocuments[aDocument.key] = aDocument.text;
}

/// Records the outcome of a rollout in its document. If it is done, the service
/// declaration gets the new version. Fails with `conflict` if the rollout has
/// already ended.
result<void>
EndRollout(document_map& aDocuments,
           const std::string& aId,
           rollout_phase aPhase,
           const rollout_state& aState,
           std::int64_t aNowMs)
{
  result<rollout_declaration> rollout = FindRollout(aDocuments, aId);
  if (!rollout) {
    return tl::unexpected<error>(rollout.error());
  }
  if (!rollout->IsOpen()) {
    return Fail(error_kind::conflict,
                "rollout '" + aId + "' is already " +
                  std::string(NameOf(rollout->phase)));
  }
  CheckInvariant(invariant::single_outcome, rollout->ended_unix_ms == 0);
  rollout->phase = aPhase;
  rollout->ended_unix_ms = aNowMs;
  rollout->reason = aState.halt_reason;
  rollout->callers_exposed = aState.callers_exposed;
  rollout->callers_hurt = aState.callers_hurt;
  if (aPhase == rollout_phase::done) {
    result<parsed_document> service =
      ParseDocument({ "service/" + rollout->service,
                      aDocuments["service/" + rollout->service] });
    if (!service) {
      return tl::unexpected<error>(service.error());
    }
    service->service->version = rollout->to_version;
    PutDocument(aDocuments, DocumentOf(*service->service));
  }
  PutDocument(aDocuments, DocumentOf(*rollout));
  TrimHistory(aDocuments);
  return {};
}

} // namespace

node::node(loop& aLoop, node_settings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mSockets(aLoop)
  , mStore(mSockets, StoreOptions(mSettings))
  , mLastHop(aLoop, 0)
  , mHopExchange(aLoop,
                 ToString(mSettings.peer_listen),
                 mLastHop,
                 mSettings.max_body_bytes)
  , mClaimExchange(aLoop, ToString(mSettings.peer_listen))
  , mSwitch(aLoop,
            *this,
            ToString(mSettings.peer_listen),
            peer_transport_options{ mSettings.peer_listen,
                                    mSettings.peer_secret,
                                    kMaxFrameBytes })
  , mFleet(FleetOptions(aLoop, mSettings), mSwitch, mStore, *this, aLoop, *this)
  , mDriver(*this, aLoop)
  , mFirstHop(aLoop,
              *this,
              mHopExchange,
              mClaimExchange,
              *this,
              FirstHopOptions(mSettings))
  , mOperatorApi(*this,
                 operator_api_options{ mSettings.operator_secret,
                                       mSettings.upstream_address })
{
  mHopExchange.SetSwitch(mSwitch);
  mClaimExchange.Initialize(mSwitch, mFleet.Members());
  mLastHop.SetIncarnation(mFleet.Self().incarnation);
  http_server_options callers;
  callers.listen = mSettings.caller_listen;
  callers.max_body_bytes = mSettings.max_body_bytes;
  mCallerServer = std::make_unique<http_server>(aLoop, *this, callers);
  http_server_options operators;
  operators.listen = mSettings.operator_listen;
  operators.max_body_bytes = kMaxFrameBytes;
  mOperatorServer =
    std::make_unique<http_server>(aLoop, mOperatorApi, operators);
  mFirstHop.on_finished =
    [this](const std::string& aRoute, duration aTime, int aStatus) {
      mLatencies[aRoute].Add(aTime);
      ++mStatusCounts[aStatus];
    };
}

node::~node() = default;

void
node::Start()
{
  mStartedAt = mLoop.Now();
  mFleet.Start();
  mLoop.RunEvery(fleet_node::kTickPeriod, [this] { TickFast(); });
  mLoop.RunEvery(kSlowPeriod, [this] { TickSlow(); });
  LogEvent(log_level::info,
           "node_started",
           { { "node", SelfNode() },
             { "domain", mSettings.domain },
             { "callers", ToString(mSettings.caller_listen) },
             { "operators", ToString(mSettings.operator_listen) } });
}

void
node::TickFast()
{
  mFleet.Tick();
  mDriver.Tick();
  mLastHop.Tick();
}

void
node::TickSlow()
{
  ExpireUpstream();
  mSwitch.CloseIdle(mLoop.Now() - kLinkIdleTimeout);
}

void
node::RunAfter(duration aDelay, std::function<void()> aTask)
{
  mLoop.RunAfter(aDelay, std::move(aTask));
}

void
node::Handle(std::shared_ptr<http_exchange> aExchange)
{
  caller_request call;
  call.request = aExchange->Request();
  call.respond = [aExchange](http_response aResponse) {
    aExchange->Respond(std::move(aResponse));
  };
  std::shared_ptr<call_session> session = mFirstHop.StartCall(std::move(call));
  if (!aExchange->Answered()) {
    aExchange->OnAbandoned([session] { session->Cancel(); });
  }
}

void
node::OnPeerUp(const node_id& aNode)
{
  mFleet.OnLinkUp(aNode);
}

void
node::OnPeerDown(const node_id& aNode, bool aWasOpen)
{
  mFleet.OnLinkDown(aNode, aWasOpen);
}

void
node::OnPeerMessage(const node_id& aNode,
                    const link_ptr& aLink,
                    peer_message aMessage)
{
  bool claim = std::holds_alternative<claim_message>(aMessage) ||
               std::holds_alternative<claim_answer_message>(aMessage);
  if (claim) {
    mClaimExchange.OnMessage(aLink, aMessage);
    return;
  }
  if (IsCallTraffic(aMessage.index())) {
    mHopExchange.OnMessage(aLink, aMessage);
    return;
  }
  mFleet.OnMessage(aNode, aMessage);
}

void
node::OnLinkLost(const link_ptr& aLink, bool aWasOpen)
{
  mHopExchange.OnLinkLost(aLink, aWasOpen);
}

void
node::OnConfig(const snapshot_ptr&)
{
  RefreshUpstream();
}

void
node::OnRollouts()
{
}

void
node::OnMembers()
{
  mLastHop.SetIncarnation(mFleet.Self().incarnation);
}

void
node::OnEvidence(const node_id&, const evidence_report& aReport)
{
  mDriver.OnReport(aReport);
}

void
node::OnEvidenceAck(const node_id& aFrom, const evidence_ack_message& aAck)
{
  mDriver.OnAck(aFrom, aAck.rollout, aAck.incarnation, aAck.next_window);
}

const std::vector<upstream_candidate>&
node::Candidates(const std::string& aService, const std::string& aVersion)
{
  return mDirectory.Find(mFleet.Members(), aService, aVersion);
}

attempt_id
node::OnAttemptStarted(const observed_attempt& aAttempt)
{
  attempt_id id = mNextAttempt++;
  mDriver.OnAttemptStarted(aAttempt.rollout, id, ToRecordedAttempt(aAttempt));
  return id;
}

void
node::OnAttemptFinished(attempt_id aId, const observed_attempt& aAttempt)
{
  bool counts = aAttempt.result != attempt_result::no_evidence;
  mDriver.OnAttemptFinished(
    aAttempt.rollout, aId, ToRecordedAttempt(aAttempt), counts);
}

void
node::OnCallFailed(const std::string& aRollout, const std::string& aCaller)
{
  mDriver.OnCallerHurt(aRollout, aCaller);
}

std::vector<std::string>
node::CollectorsOf(const std::string& aRollout) const
{
  return RendezvousMembers(
    mFleet.Members(), "collect/" + aRollout, kCollectorCount);
}

std::uint32_t
node::SlotsOf(const std::string& aService, const std::string& aVersion) const
{
  std::uint32_t slots = 0;
  for (const auto& [name, entry] : mFleet.Members().Entries()) {
    const member_record& record = entry.record;
    bool acceptsCalls = record.state == member_state::alive &&
                        record.upstream && !record.upstream->leaving &&
                        record.upstream->service == aService &&
                        record.upstream->version == aVersion;
    slots += acceptsCalls ? record.upstream->slots : 0;
  }
  return slots;
}

void
node::PublishState(const rollout_state& aState)
{
  mFleet.PublishRollout(aState);
}

void
node::SendReport(const std::string& aCollector, evidence_report aReport)
{
  mFleet.SendEvidence(aCollector, std::move(aReport));
}

void
node::SendAck(const std::string& aReporter,
              const std::string& aRollout,
              std::uint64_t aIncarnation,
              std::uint64_t aNextWindow)
{
  mFleet.SendEvidenceAck(
    aReporter, evidence_ack_message{ aRollout, aIncarnation, aNextWindow });
}

void
node::RecordOutcome(const std::string& aRollout,
                    rollout_phase aPhase,
                    const rollout_state& aState)
{
  config_command command;
  command.operation_id =
    "outcome." + aRollout + "." + std::string(NameOf(aPhase));
  command.rebase_on_conflict = true;
  std::int64_t now = mLoop.UnixMilliseconds();
  command.edit = [aRollout, aPhase, aState, now](document_map& aDocuments) {
    return EndRollout(aDocuments, aRollout, aPhase, aState, now);
  };
  SubmitChange(std::move(command),
               [aRollout, aPhase](result<change_answer> aDone) {
                 LogEvent(aDone ? log_level::info : log_level::warning,
                          aDone ? "rollout_recorded" : "rollout_not_recorded",
                          { { "rollout", aRollout },
                            { "outcome", std::string(NameOf(aPhase)) },
                            { "detail", aDone ? "" : aDone.error().message } });
               });
}

void
node::SubmitChange(config_command aCommand, change_callback aDone)
{
  snapshot_ptr before = mFleet.Config();
  mFleet.Submit(
    std::move(aCommand), [before, aDone](result<accepted_config> aAccepted) {
      aDone(aAccepted.map([&](const accepted_config& aConfig) {
        change_answer answer;
        answer.version = aConfig.version;
        answer.changed =
          DifferingKeys(before->documents, aConfig.snapshot->documents);
        answer.already_applied = aConfig.already_applied;
        return answer;
      }));
    });
}

void
node::Apply(apply_request aRequest, change_callback aDone)
{
  auto edit = [documents = aRequest.documents,
               removed = aRequest.removed](document_map& aDocuments) {
    for (const config_document& document : documents) {
      PutDocument(aDocuments, document);
    }
    for (const std::string& key : removed) {
      bool writable =
        key.rfind("service/", 0) == 0 || key.rfind("routes/", 0) == 0;
      if (!writable || aDocuments.erase(key) == 0) {
        return result<void>(
          Fail(error_kind::not_found, "document '" + key + "' does not exist"));
      }
    }
    return result<void>();
  };
  if (aRequest.dry_run) {
    document_map documents = mFleet.Config()->documents;
    result<void> edited = edit(documents);
    if (!edited) {
      aDone(tl::unexpected<error>(edited.error()));
      return;
    }
    std::uint64_t version = mFleet.Config()->version;
    std::vector<std::string> changed =
      DifferingKeys(mFleet.Config()->documents, documents);
    aDone(BuildSnapshot(version, std::move(documents))
            .map([&](const snapshot_ptr&) {
              return change_answer{ version, changed, false, true };
            }));
    return;
  }
  config_command command;
  command.operation_id = aRequest.operation_id;
  command.expected_version = aRequest.expected_version;
  command.edit = edit;
  SubmitChange(std::move(command), std::move(aDone));
}

void
node::StartRollout(start_rollout_request aRequest, change_callback aDone)
{
  std::int64_t now = mLoop.UnixMilliseconds();
  config_command command;
  command.operation_id = aRequest.operation_id;
  command.edit = [aRequest, now](document_map& aDocuments) -> result<void> {
    if (aRequest.deadline_unix_ms <= now) {
      return Fail(error_kind::invalid_argument,
                  "by_ms: the deadline has already passed");
    }
    std::string key = "service/" + aRequest.service;
    auto found = aDocuments.find(key);
    if (found == aDocuments.end()) {
      return Fail(error_kind::not_found,
                  "service '" + aRequest.service + "' does not exist");
    }
    result<parsed_document> service = ParseDocument({ key, found->second });
    if (!service) {
      return tl::unexpected<error>(service.error());
    }
    if (service->service->version == aRequest.to_version) {
      return Fail(error_kind::invalid_argument,
                  aRequest.service + " already has version " +
                    aRequest.to_version);
    }
    for (const auto& [other, text] : aDocuments) {
      result<parsed_document> parsed = ParseDocument({ other, text });
      bool open = parsed && parsed->rollout && parsed->rollout->IsOpen() &&
                  parsed->rollout->service == aRequest.service;
      if (open) {
        return Fail(error_kind::conflict,
                    "rollout '" + parsed->rollout->id + "' of " +
                      aRequest.service +
                      " is still open; wait until it ends or use take-back");
      }
    }
    rollout_declaration rollout;
    rollout.id = aRequest.operation_id;
    rollout.service = aRequest.service;
    rollout.from_version = service->service->version;
    rollout.to_version = aRequest.to_version;
    rollout.routes = aRequest.routes;
    rollout.start_unix_ms = now;
    rollout.deadline_unix_ms = aRequest.deadline_unix_ms;
    PutDocument(aDocuments, DocumentOf(rollout));
    return {};
  };
  SubmitChange(std::move(command), std::move(aDone));
}

void
node::ChangeRollout(const std::string& aId,
                    rollout_command aCommand,
                    const std::string& aOperationId,
                    change_callback aDone)
{
  std::int64_t now = mLoop.UnixMilliseconds();
  config_command command;
  command.operation_id = aOperationId;
  command.rebase_on_conflict = true;
  if (aCommand != rollout_command::roll_back) {
    rollout_phase phase = aCommand == rollout_command::pause
                            ? rollout_phase::paused
                            : rollout_phase::running;
    command.edit = [aId, phase](document_map& aDocuments) -> result<void> {
      result<rollout_declaration> rollout = FindRollout(aDocuments, aId);
      if (!rollout) {
        return tl::unexpected<error>(rollout.error());
      }
      if (!rollout->IsOpen()) {
        return Fail(error_kind::conflict,
                    "rollout '" + aId + "' is already " +
                      std::string(NameOf(rollout->phase)));
      }
      rollout->phase = phase;
      PutDocument(aDocuments, DocumentOf(*rollout));
      return {};
    };
    SubmitChange(std::move(command), std::move(aDone));
    return;
  }
  const rollout_declaration* open = nullptr;
  auto known = mFleet.Config()->rollouts.find(aId);
  if (known != mFleet.Config()->rollouts.end() && known->second.IsOpen()) {
    open = &known->second;
  }
  rollout_state state;
  // Halting the published state rolls back at once, even if the store cannot be
  // written.
  if (open != nullptr) {
    const rollout_state* knownState = mFleet.Rollouts().Find(aId);
    state = knownState == nullptr ? rollout_state{} : *knownState;
    state.id = aId;
    state.halted = true;
    state.halt_reason = "taken back by an operator";
    mFleet.PublishRollout(state);
  }
  command.edit = [aId, state, now](document_map& aDocuments) {
    return EndRollout(aDocuments, aId, rollout_phase::taken_back, state, now);
  };
  bool inForce = open != nullptr;
  std::uint64_t version = mFleet.Config()->version;
  SubmitChange(std::move(command),
               [aDone, inForce, version](result<change_answer> aAnswer) {
                 bool unrecorded = !aAnswer && inForce &&
                                   aAnswer.error().kind != error_kind::conflict;
                 // The collectors repeat the write until the outcome is
                 // recorded.
                 if (unrecorded) {
                   aDone(change_answer{ version, {}, false, false });
                   return;
                 }
                 aDone(std::move(aAnswer));
               });
}

result<void>
node::AnnounceUpstream(const upstream_announcement& aUpstream)
{
  endpoint address = ParseEndpoint(aUpstream.address);
  if (address.port == 0) {
    return Fail(error_kind::invalid_argument,
                "address: '" + aUpstream.address + "' is not IP:port");
  }
  time_point now = mLoop.Now();
  bool unchanged = mAnnouncement && mUpstream != nullptr &&
                   mAnnouncement->address == aUpstream.address &&
                   mAnnouncement->service == aUpstream.service &&
                   mAnnouncement->version == aUpstream.version;
  if (!unchanged) {
    http_client_options options;
    options.max_connections = 110;
    options.max_body_bytes = mSettings.max_body_bytes;
    mUpstream = std::make_shared<http_upstream>(mSockets, address, options);
    mUpstreamSince = now;
    LogEvent(log_level::info,
             "upstream_announced",
             { { "service", aUpstream.service },
               { "version", aUpstream.version },
               { "address", aUpstream.address } });
  }
  mAnnouncement = aUpstream;
  mAnnouncedAt = now;
  RefreshUpstream();
  return {};
}

void
node::RefreshUpstream()
{
  if (!mAnnouncement) {
    return;
  }
  const service_declaration* declared =
    mFleet.Config()->FindService(mAnnouncement->service);
  service_declaration defaults;
  const service_declaration& service = declared ? *declared : defaults;
  local_upstream local;
  local.service = mAnnouncement->service;
  local.version = mAnnouncement->version;
  local.limits.slots =
    mAnnouncement->slots != 0 ? mAnnouncement->slots : service.slots;
  local.limits.max_queued = service.queue;
  local.leaving = mAnnouncement->leaving || mDraining;
  local.warm_up_until = mUpstreamSince + milliseconds(service.warm_up_ms);
  mLastHop.SetUpstream(local, mUpstream);
  mFleet.SetUpstream(upstream_record{
    local.service, local.version, local.limits.slots, local.leaving });
}

void
node::ExpireUpstream()
{
  bool expired =
    mAnnouncement && mLoop.Now() - mAnnouncedAt > kAnnouncementLease;
  if (!expired) {
    return;
  }
  LogEvent(log_level::warning,
           "upstream_silent",
           { { "service", mAnnouncement->service },
             { "version", mAnnouncement->version } });
  mAnnouncement.reset();
  mLastHop.SetUpstream(local_upstream{}, nullptr);
  mFleet.SetUpstream(std::nullopt);
}

std::optional<rollout_status>
node::RolloutStatus(const std::string& aId) const
{
  return mDriver.StatusOf(aId);
}

void
node::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  LogEvent(log_level::info, "node_leaving");
  RefreshUpstream();
  mFleet.Leave();
  StopWhenDrained(mLoop.Now());
}

void
node::StopWhenDrained(time_point aSince)
{
  duration elapsed = mLoop.Now() - aSince;
  bool idle = mCallerServer->ExchangesInProgress() == 0 &&
              mLastHop.InProgress() == 0 && mHopExchange.OutgoingCount() == 0;
  bool timedOut = elapsed >= milliseconds(mSettings.drain_ms);
  if ((idle && elapsed >= kMinDrainTime) || timedOut) {
    LogEvent(log_level::info,
             "node_stopped",
             { { "running", std::to_string(mLastHop.InProgress()) } });
    mLoop.Stop();
    return;
  }
  mCallerServer->DisableKeepAlive();
  mLoop.RunAfter(kDrainCheckPeriod,
                 [this, aSince] { StopWhenDrained(aSince); });
}

std::string
node::Dump() const
{
  time_point now = mLoop.Now();
  state_dump_sources sources{
    mFleet,    mSwitch, mLastHop,         mStore,
    mFirstHop, now,     now - mStartedAt, IsServing()
  };
  return DumpState(sources);
}

std::string
node::Metrics() const
{
  time_point now = mLoop.Now();
  state_dump_sources sources{
    mFleet,    mSwitch, mLastHop,         mStore,
    mFirstHop, now,     now - mStartedAt, IsServing()
  };
  std::string text = ExposeCounters(sources);
  for (const auto& [status, count] : mStatusCounts) {
    text += "eelgrasstrack_answers_total{status=\"" + std::to_string(status) +
            "\"} " + std::to_string(count) + "\n";
  }
  for (const auto& [route, histogram] : mLatencies) {
    histogram.Expose(
      text, "eelgrasstrack_call_seconds", "route=\"" + route + "\"");
  }
  return text;
}

} // namespace eelgrasstrack
