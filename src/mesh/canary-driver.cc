#include "mesh/canary-driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json-decode.h"
#include "base/log.h"
#include "mesh/gossip-codec.h"
#include "mesh/order-id-json.h"
#include "mesh/role-assignment.h"
#include "mesh/version-sample-json.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kTickPeriod = std::chrono::milliseconds(125);
/// While all requests go to the new version, counts are reported in every tick,
/// so that little is lost to a fault; before, in every second one.
constexpr std::uint64_t kTicksPerCanaryReport = 2;
/// A decider logs what it has counted in one tick of this many.
constexpr std::uint64_t kTicksPerCountsLog = 8;
/// Counts of other nodes show for this long that they take this node for a
/// decider: four reports of a canary phase.
constexpr duration kReportValidity = std::chrono::milliseconds(1000);
/// Time for which canary requests are held: two reports of a canary phase, the
/// answers to which extend it.
constexpr duration kHoldTime = std::chrono::milliseconds(600);
constexpr duration kReportTimeout = std::chrono::milliseconds(800);
/// Delay between one decider and the next before it changes the phase.
constexpr duration kDeciderStagger = std::chrono::milliseconds(200);
constexpr duration kRecordRetryDelay = std::chrono::milliseconds(400);
/// Time after which the completion of a rollout is recorded again if the store
/// does not show it. Until then the record of another decider may be on its
/// way.
constexpr duration kMissingRecordDelay = std::chrono::milliseconds(800);
/// Part of the allowed exposure that the steady canary share uses. The rest is
/// for canary bursts and for the time between promotion and a rollback.
constexpr double kSteadyShareFraction = 0.15;

} // namespace

canary_driver::canary_driver(loop& aLoop,
                             control_client& aClient,
                             control_store& aStore,
                             host_directory& aDirectory,
                             version_selector& aVersions,
                             proxy_counters& aCounters,
                             canary_observer& aObserver)
  : mLoop(aLoop)
  , mClient(aClient)
  , mStore(aStore)
  , mDirectory(aDirectory)
  , mVersions(aVersions)
  , mCounters(aCounters)
  , mObserver(aObserver)
{
}

void
canary_driver::Start()
{
  mLoop.RunEvery(kTickPeriod, [this] { Tick(); });
}

time_point
canary_driver::StartTimeOf(const canary_order& aOrder) const
{
  time_point now = mLoop.Now();
  if (aOrder.started_unix_ms <= 0) {
    return now;
  }
  // Clocks differ between hosts and may jump: clamp the elapsed time to the
  // time limit of the order.
  duration elapsed = std::chrono::milliseconds(mLoop.UnixMilliseconds() -
                                               aOrder.started_unix_ms);
  return now - std::clamp(elapsed, duration(0), aOrder.time_limit);
}

void
canary_driver::OnOrder(const canary_order& aOrder)
{
  canary_rollout canary;
  canary.service = aOrder.service;
  canary.target_version = aOrder.target_version;
  canary.order_id = aOrder.order_id;
  canary.phase = aOrder.phase;
  canary.share = kSteadyShareFraction * mBounds.canary_share;
  canary.time_limit = aOrder.time_limit;
  canary.started_at = StartTimeOf(aOrder);
  if (mVersions.Merge(canary)) {
    mObserver.OnCanaryUpdate(canary);
  }
  const canary_rollout* known = mVersions.CanaryOf(aOrder.service);
  if (known == nullptr || known->order_id > aOrder.order_id) {
    return;
  }
  if (IsFinal(aOrder.phase)) {
    mOpenOrders.erase(aOrder.service);
    return;
  }
  OpenOrder(aOrder, known->started_at);
  open_order& open = mOpenOrders[aOrder.service];
  open.order = aOrder;
  open.from_store = true;
}

void
canary_driver::OpenOrder(const canary_order& aOrder, time_point aStartedAt)
{
  auto open = mOpenOrders.find(aOrder.service);
  if (open != mOpenOrders.end() &&
      (open->second.order.order_id == aOrder.order_id ||
       IsKnownOrderRestored(open->second.order, aOrder))) {
    open->second.order.order_id = aOrder.order_id;
    return;
  }
  LogEvent(log_level::info,
           "move_begins",
           { { "service", aOrder.service },
             { "to", aOrder.target_version },
             { "order", std::to_string(aOrder.order_id.number) },
             { "era", std::to_string(aOrder.order_id.era) } });
  open_order added;
  added.order = aOrder;
  added.started_at = aStartedAt;
  added.opened_at = mLoop.Now();
  mOwnSamples[aOrder.service].clear();
  mOpenOrders.insert_or_assign(aOrder.service, std::move(added));
}

void
canary_driver::OnOrderRemoved(const std::string& aService)
{
  mOpenOrders.erase(aService);
}

void
canary_driver::OnCanaryUpdate(const canary_rollout& aCanary)
{
  if (!mVersions.Merge(aCanary)) {
    return;
  }
  mObserver.OnCanaryLearned();
  LogEvent(log_level::info,
           "move_step_learned",
           { { "service", aCanary.service },
             { "to", aCanary.target_version },
             { "phase", std::string(NameOf(aCanary.phase)) } });
  if (aCanary.phase == canary_phase::complete) {
    mOpenOrders.erase(aCanary.service);
  } else { // a rollback may still have to be recorded
    canary_order order;
    order.service = aCanary.service;
    order.target_version = aCanary.target_version;
    order.order_id = aCanary.order_id;
    order.time_limit = aCanary.time_limit;
    OpenOrder(order, aCanary.started_at);
  }
}

void
canary_driver::OnResult(const std::string& aService, const run_result& aResult)
{
  if (mOpenOrders.count(aService) == 0) {
    return;
  }
  version_sample& sample =
    mOwnSamples[aService][aResult.version][aResult.route];
  if (aResult.unanswered) {
    sample.AddUnanswered(aResult.latency);
  } else {
    sample.Add(aResult.failed, aResult.latency);
  }
}

version_samples
canary_driver::OwnSamples(const std::string& aService) const
{
  auto counted = mOwnSamples.find(aService);
  version_samples samples =
    counted == mOwnSamples.end() ? version_samples{} : counted->second;
  if (mRunningRequests) {
    for (const run_result& running : mRunningRequests(aService)) {
      samples[running.version][running.route].AddUnanswered(running.latency);
    }
  }
  return samples;
}

void
canary_driver::Tick()
{
  bool reportsAll = mTickCount % kTicksPerCanaryReport == 0;
  bool logsCounts = mTickCount % kTicksPerCountsLog == 0;
  ++mTickCount;
  std::vector<std::string> services;
  for (const auto& [service, open] : mOpenOrders) {
    services.push_back(service);
  }
  for (const std::string& service : services) {
    auto open = mOpenOrders.find(service);
    const canary_rollout* canary = mVersions.CanaryOf(service);
    if (reportsAll ||
        (canary != nullptr && canary->phase == canary_phase::promoted)) {
      ReportSamples(service, open->second);
    }
    if (logsCounts) {
      LogCounts(open->second);
    }
    DecideNextPhase(open->second);
  }
}

void
canary_driver::LogCounts(const open_order& aOpenOrder) const
{
  const std::string& service = aOpenOrder.order.service;
  int deciderIndex =
    IndexOf(DecidersOf(mDirectory, service), mDirectory.Self());
  if (deciderIndex < 0) {
    return;
  }
  const std::string& version = aOpenOrder.order.target_version;
  LogEvent(log_level::info,
           "move_counts",
           { { "service", service },
             { "to", version },
             { "decider", std::to_string(deciderIndex) },
             { "reports", std::to_string(aOpenOrder.reports.Size()) },
             { "counts", SummaryOf(aOpenOrder.reports.Total(), version) } });
}

void
canary_driver::ReportSamples(const std::string& aService,
                             open_order& aOpenOrder)
{
  version_samples own = OwnSamples(aService);
  if (own.empty()) {
    return;
  }
  json report = { { "service", aService },
                  { "from", mDirectory.Self() },
                  { "incarnation", OwnIncarnation() },
                  { "samples", EncodeSamples(own) } };
  AddOrderId(report, aOpenOrder.order.order_id);
  if (const canary_rollout* canary = mVersions.CanaryOf(aService)) {
    report["phase"] = NameOf(canary->phase);
  }
  std::string body = report.dump();
  for (const std::string& decider : DecidersOf(mDirectory, aService)) {
    if (decider == mDirectory.Self()) {
      aOpenOrder.reports.Add(decider, OwnIncarnation(), own);
    } else {
      SendReport(decider, body);
    }
  }
}

std::int64_t
canary_driver::OwnIncarnation() const
{
  const known_host* self = mDirectory.Find(mDirectory.Self());
  return self == nullptr ? 0 : self->record.incarnation;
}

void
canary_driver::SendReport(const std::string& aHost, const std::string& aBody)
{
  const known_host* host = mDirectory.Find(aHost);
  if (host == nullptr) {
    return;
  }
  buffered_request request;
  request.method = "POST";
  request.target = "/v1/evidence";
  request.body = aBody;
  mCounters.Add(proxy_event::peer_message);
  mClient.Call(host->record.control,
               std::move(request),
               kReportTimeout,
               [this, aHost](result<buffered_response> aResponse) {
                 if (!aResponse) { // the next report repeats all counts
                   mCounters.Add(proxy_event::peer_failed);
                   mObserver.OnDeciderSilent(aHost);
                 } else if (!aResponse->body.empty()) {
                   HandleReportAnswer(aHost, aResponse->body);
                 }
               });
}

void
canary_driver::HandleReportAnswer(const std::string& aHost,
                                  const std::string& aBody)
{
  result<void> handled = DecodeJsonText<void>(
    "answer of a decider", aBody, [this](const json& aAnswer) -> result<void> {
      if (aAnswer.contains("hold_ms")) {
        HoldCanary(aAnswer.at("service").get<std::string>(),
                   std::chrono::milliseconds(TimeIn(aAnswer.at("hold_ms"))));
        return {};
      }
      return DecodeCanary(aAnswer, mLoop.Now())
        .map(
          [this](const canary_rollout& aCanary) { OnCanaryUpdate(aCanary); });
    });
  if (!handled) {
    LogEvent(log_level::warning,
             "peer_answer_skipped",
             { { "host", aHost }, { "reason", handled.error().message } });
  }
}

void
canary_driver::HoldCanary(const std::string& aService, duration aTime)
{
  auto open = mOpenOrders.find(aService);
  if (open == mOpenOrders.end()) {
    return;
  }
  time_point now = mLoop.Now();
  if (now >= open->second.held_until) {
    LogEvent(
      log_level::info,
      "move_held",
      { { "service", aService }, { "to", open->second.order.target_version } });
  }
  open->second.held_until = now + std::min(aTime, kHoldTime);
}

bool
canary_driver::IsHeld(const instance_record& aInstance) const
{
  auto open = mOpenOrders.find(aInstance.service);
  const canary_rollout* canary = mVersions.CanaryOf(aInstance.service);
  return open != mOpenOrders.end() && canary != nullptr &&
         canary->phase == canary_phase::canary &&
         canary->target_version == aInstance.version &&
         mLoop.Now() < open->second.held_until;
}

std::string
canary_driver::AnswerToReport(const json& aReport) const
{
  const canary_rollout* canary =
    mVersions.CanaryOf(aReport.at("service").get<std::string>());
  // Earlier versions of this program do not send their phase.
  std::optional<canary_phase> theirs =
    CanaryPhaseFromName(aReport.value("phase", ""));
  if (canary == nullptr || !theirs || canary->order_id != OrderIdOf(aReport)) {
    return "";
  }
  if (canary->phase > *theirs) {
    return EncodeCanary(*canary, mLoop.Now()).dump();
  }
  auto open = mOpenOrders.find(canary->service);
  if (open == mOpenOrders.end() || !open->second.is_old_failing) {
    return "";
  }
  return json({ { "service", canary->service },
                { "hold_ms", Milliseconds(kHoldTime) } })
    .dump();
}

result<std::string>
canary_driver::HandleReport(const std::string& aBody)
{
  return DecodeJsonText<std::string>(
    "canary report", aBody, [this](const json& aMessage) {
      std::string answer = AnswerToReport(aMessage);
      auto open = mOpenOrders.find(aMessage.at("service").get<std::string>());
      if (open == mOpenOrders.end() ||
          open->second.order.order_id != OrderIdOf(aMessage)) {
        return answer; // another order, or one not yet known here
      }
      open->second.last_report = mLoop.Now();
      open->second.reports.Add(
        aMessage.at("from").get<std::string>(),
        IntegerIn(aMessage.value("incarnation", json(0)), 0, kMaxTimeMs),
        DecodeSamples(aMessage.at("samples")));
      return answer;
    });
}

canary_exposure
canary_driver::ExposureOf(const version_samples& aSamples,
                          const std::string& aTargetVersion) const
{
  canary_exposure exposure;
  exposure.allowed_share = mBounds.canary_share;
  exposure.allowed_slack = mBounds.canary_slack;
  for (const auto& [version, routes] : aSamples) {
    for (const auto& [route, sample] : routes) {
      exposure.requests += sample.requests;
      if (version == aTargetVersion) {
        exposure.canary_requests += sample.requests;
      }
    }
  }
  return exposure;
}

bool
canary_driver::IsVersionServing(const std::string& aService,
                                const std::string& aVersion) const
{
  for (const known_host* host : mDirectory.ServingHosts(aService)) {
    if (host->record.instance.version == aVersion && !host->unreachable) {
      return true;
    }
  }
  return false;
}

bool
canary_driver::Judges(const open_order& aOpenOrder, int aDeciderIndex) const
{
  return aDeciderIndex >= 0 ||
         (aOpenOrder.last_report &&
          mLoop.Now() - *aOpenOrder.last_report < kReportValidity);
}

void
canary_driver::DecideNextPhase(open_order& aOpenOrder)
{
  const canary_rollout* canary = mVersions.CanaryOf(aOpenOrder.order.service);
  int deciderIndex = IndexOf(DecidersOf(mDirectory, aOpenOrder.order.service),
                             mDirectory.Self());
  if (canary == nullptr || !Judges(aOpenOrder, deciderIndex)) {
    return;
  }
  version_samples samples = aOpenOrder.reports.Total();
  RollBackIfBad(aOpenOrder, samples);
  if (deciderIndex < 0 || aOpenOrder.recording || !aOpenOrder.from_store ||
      mLoop.Now() < aOpenOrder.retry_after) {
    return;
  }
  if (canary->phase == canary_phase::rolled_back) {
    RecordPhase(aOpenOrder, canary_phase::rolled_back);
    return;
  }
  time_point now = mLoop.Now();
  if (canary->phase == canary_phase::complete) {
    if (now - aOpenOrder.opened_at >=
        kMissingRecordDelay + deciderIndex * kDeciderStagger) {
      RecordPhase(aOpenOrder, canary_phase::complete);
    }
    return;
  }
  duration elapsed =
    now - aOpenOrder.started_at - deciderIndex * kDeciderStagger;
  if (!aOpenOrder.order.recorded && elapsed >= duration(0)) {
    RecordPhase(aOpenOrder, canary_phase::canary);
    return;
  }
  if (canary->phase == canary_phase::canary) {
    PromoteIfDue(aOpenOrder, samples, elapsed);
    return;
  }
  if (!aOpenOrder.promoted_at) {
    aOpenOrder.promoted_at = now;
  }
  duration completeAt =
    CompletionTime(aOpenOrder.order.time_limit,
                   *aOpenOrder.promoted_at - aOpenOrder.started_at);
  if (elapsed >= completeAt) {
    RecordPhase(aOpenOrder, canary_phase::complete);
  }
}

void
canary_driver::PromoteIfDue(open_order& aOpenOrder,
                            const version_samples& aSamples,
                            duration aElapsed)
{
  const canary_order& order = aOpenOrder.order;
  duration knownFor = mLoop.Now() - aOpenOrder.opened_at;
  canary_schedule schedule = ScheduleFor(
    order.time_limit, knownFor, ExposureOf(aSamples, order.target_version));
  if (MayPromote(schedule, aElapsed, knownFor) &&
      IsVersionServing(order.service, order.target_version)) {
    EnterPhase(aOpenOrder,
               canary_phase::promoted,
               "no fault detected, " +
                 SummaryOf(aSamples, order.target_version));
  }
}

void
canary_driver::RollBackIfBad(open_order& aOpenOrder,
                             const version_samples& aSamples)
{
  const canary_rollout* canary = mVersions.CanaryOf(aOpenOrder.order.service);
  if (canary == nullptr || IsFinal(canary->phase)) {
    return;
  }
  const std::string& version = aOpenOrder.order.target_version;
  version_assessment assessment = CompareVersions(
    aSamples, version, CountFailingHosts(aOpenOrder.reports.ByHost(), version));
  if (aOpenOrder.history.Update(aOpenOrder.reports, mLoop.Now())) {
    aOpenOrder.is_old_failing =
      IsOldVersionFailing(aOpenOrder.history, version);
    if (assessment.verdict != version_verdict::bad) {
      assessment = CompareRecent(aOpenOrder.history, version);
    }
  }
  if (aOpenOrder.is_old_failing) {
    HoldCanary(aOpenOrder.order.service, kHoldTime);
  }
  if (assessment.verdict == version_verdict::bad) {
    EnterPhase(aOpenOrder, canary_phase::rolled_back, assessment.reason);
  }
}

void
canary_driver::EnterPhase(open_order& aOpenOrder,
                          canary_phase aPhase,
                          const std::string& aReason)
{
  LogEvent(log_level::info,
           "move_step",
           { { "service", aOpenOrder.order.service },
             { "to", aOpenOrder.order.target_version },
             { "phase", std::string(NameOf(aPhase)) },
             { "reason", aReason } });
  canary_rollout canary = *mVersions.CanaryOf(aOpenOrder.order.service);
  canary.phase = aPhase;
  mVersions.Merge(canary);
  mObserver.OnCanaryUpdate(canary);
}

void
canary_driver::RecordPhase(open_order& aOpenOrder, canary_phase aPhase)
{
  canary_order order = aOpenOrder.order;
  order.phase = aPhase;
  if (order.started_unix_ms == 0) {
    order.started_unix_ms = mLoop.UnixMilliseconds() -
                            Milliseconds(mLoop.Now() - aOpenOrder.started_at);
  }
  aOpenOrder.recording = true;
  std::string service = order.service;
  mStore.RecordProgress(order, [this, service, order](result<void> aDone) {
    auto open = mOpenOrders.find(service);
    if (open == mOpenOrders.end() ||
        open->second.order.order_id != order.order_id) {
      return;
    }
    open->second.recording = false;
    open->second.retry_after = mLoop.Now() + kRecordRetryDelay;
    LogEvent(log_level::info,
             "move_recorded",
             { { "service", service },
               { "phase", std::string(NameOf(order.phase)) },
               { "outcome", aDone ? "done" : aDone.error().message } });
    if (!aDone) {
      return;
    }
    open->second.order.recorded = true;
    if (order.phase == canary_phase::complete) {
      EnterPhase(open->second, canary_phase::complete, "recorded");
    }
    if (IsFinal(order.phase)) {
      mOpenOrders.erase(service);
    }
  });
}

} // namespace eelgrasstrack
