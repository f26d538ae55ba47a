#include "mesh/canary-driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "mesh/role-assignment.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kTickPeriod = std::chrono::milliseconds(250);
constexpr duration kReportTimeout = std::chrono::milliseconds(800);
/// How much later than the one before it each further node takes a step.
constexpr duration kDeciderStagger = std::chrono::milliseconds(350);
constexpr duration kRecordRetryDelay = std::chrono::milliseconds(400);
/// Time before the deadline at which all requests move over, at least.
constexpr duration kMinPromotedTime = std::chrono::milliseconds(2000);
constexpr double kPromotedTimeFraction = 0.12;
/// Time before the deadline at which the move is recorded as done.
constexpr duration kRecordingTime = std::chrono::milliseconds(800);
/// Part of the allowed exposure that the steady share of the trial uses; the
/// rest is for its bursts and the time between widening and taking back.
constexpr double kSteadyShareFraction = 0.15;

json
EncodeSamples(const version_samples& aSamples)
{
  json all = json::object();
  for (const auto& [version, routes] : aSamples) {
    for (const auto& [route, sample] : routes) {
      all[version][route] = { sample.requests, sample.failed, sample.took };
    }
  }
  return all;
}

version_samples
DecodeSamples(const json& aJson)
{
  version_samples samples;
  for (const auto& [version, routes] : aJson.items()) {
    for (const auto& [route, counts] : routes.items()) {
      version_sample& sample = samples[version][route];
      sample.requests = counts.at(0).get<std::uint32_t>();
      sample.failed = counts.at(1).get<std::uint32_t>();
      counts.at(2).get_to(sample.took);
    }
  }
  return samples;
}

} // namespace

canary_schedule
ScheduleFor(duration aOver)
{
  auto share = duration(static_cast<std::int64_t>(
    static_cast<double>(aOver.count()) * kPromotedTimeFraction));
  duration widening = std::max(share, kMinPromotedTime);
  canary_schedule times;
  times.promote_at = std::max(aOver / 2, aOver - widening);
  times.complete_at = std::max(aOver / 2, aOver - kRecordingTime);
  return times;
}

canary_driver::canary_driver(loop& aLoop,
                             control_client& aCaller,
                             control_store& aStore,
                             host_directory& aDirectory,
                             version_selector& aVersions,
                             proxy_counters& aCounters,
                             canary_observer& aOwner)
  : mLoop(aLoop)
  , mClient(aCaller)
  , mStore(aStore)
  , mDirectory(aDirectory)
  , mVersions(aVersions)
  , mCounters(aCounters)
  , mObserver(aOwner)
{
}

void
canary_driver::Start()
{
  mLoop.Every(kTickPeriod, [this] { Tick(); });
}

time_point
canary_driver::StartTimeOf(const canary_order& aOrder) const
{
  time_point now = mLoop.Now();
  if (aOrder.started_unix_ms <= 0) {
    return now;
  }
  // Clocks differ and may jump: trust them no further than the order's span.
  duration passed = std::chrono::milliseconds(mLoop.UnixMilliseconds() -
                                              aOrder.started_unix_ms);
  return now - std::clamp(passed, duration(0), aOrder.time_limit);
}

void
canary_driver::OnOrder(const canary_order& aOrder)
{
  canary_rollout move;
  move.service = aOrder.service;
  move.target_version = aOrder.target_version;
  move.order_id = aOrder.order_id;
  move.phase = aOrder.phase;
  move.share = kSteadyShareFraction * mBounds.canary_share;
  move.time_limit = aOrder.time_limit;
  move.started_at = StartTimeOf(aOrder);
  if (mVersions.Merge(move)) {
    mObserver.OnCanaryUpdate(move);
  }
  const canary_rollout* known = mVersions.CanaryOf(aOrder.service);
  if (known == nullptr || known->order_id > aOrder.order_id) {
    return;
  }
  if (aOrder.phase == canary_phase::complete ||
      aOrder.phase == canary_phase::rolled_back) {
    mOpenOrders.erase(aOrder.service);
    return;
  }
  OpenOrder(aOrder, move.started_at);
  open_order& open = mOpenOrders[aOrder.service];
  open.order = aOrder;
  open.from_store = true;
}

void
canary_driver::OpenOrder(const canary_order& aOrder, time_point aBegan)
{
  auto open = mOpenOrders.find(aOrder.service);
  if (open != mOpenOrders.end() &&
      open->second.order.order_id == aOrder.order_id) {
    return;
  }
  LogEvent(log_level::info,
           "move_begins",
           { { "service", aOrder.service },
             { "to", aOrder.target_version },
             { "order", std::to_string(aOrder.order_id) } });
  open_order fresh;
  fresh.order = aOrder;
  fresh.started_at = aBegan;
  mOwnSamples[aOrder.service].clear();
  mOpenOrders.insert_or_assign(aOrder.service, std::move(fresh));
}

void
canary_driver::OnOrderRemoved(const std::string& aService)
{
  mOpenOrders.erase(aService);
}

void
canary_driver::OnCanaryUpdate(const canary_rollout& aMove)
{
  if (!mVersions.Merge(aMove)) {
    return;
  }
  LogEvent(log_level::info,
           "move_step_learned",
           { { "service", aMove.service },
             { "to", aMove.target_version },
             { "phase", std::string(NameOf(aMove.phase)) } });
  if (aMove.phase == canary_phase::complete) {
    mOpenOrders.erase(aMove.service);
  } else { // one that was taken back may still have to be recorded
    canary_order order;
    order.service = aMove.service;
    order.target_version = aMove.target_version;
    order.order_id = aMove.order_id;
    order.time_limit = aMove.time_limit;
    OpenOrder(order, aMove.started_at);
  }
}

void
canary_driver::OnResult(const std::string& aService, const run_result& aResult)
{
  if (mOpenOrders.count(aService) > 0) {
    mOwnSamples[aService][aResult.version][aResult.route].Add(aResult.failed,
                                                              aResult.took);
  }
}

void
canary_driver::Tick()
{
  std::vector<std::string> services;
  for (const auto& [service, open] : mOpenOrders) {
    services.push_back(service);
  }
  for (const std::string& service : services) {
    auto open = mOpenOrders.find(service);
    ReportSamples(service, open->second);
    DecideNextPhase(open->second);
  }
}

void
canary_driver::ReportSamples(const std::string& aService, open_order& aOpen)
{
  const version_samples& own = mOwnSamples[aService];
  if (own.empty()) {
    return;
  }
  std::string body = json({ { "service", aService },
                            { "order", aOpen.order.order_id },
                            { "from", mDirectory.Self() },
                            { "samples", EncodeSamples(own) } })
                       .dump();
  for (const std::string& decider : DecidersOf(mDirectory, aService)) {
    if (decider == mDirectory.Self()) {
      aOpen.reports[decider] = own;
    } else {
      SendReport(decider, body);
    }
  }
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
               [this](result<buffered_response> aResponse) {
                 if (!aResponse) { // the next report holds all of it again
                   mCounters.Add(proxy_event::peer_failed);
                 }
               });
}

result<void>
canary_driver::HandleReport(const std::string& aBody)
{
  try {
    json message = json::parse(aBody);
    auto open = mOpenOrders.find(message.at("service").get<std::string>());
    if (open == mOpenOrders.end() ||
        open->second.order.order_id !=
          message.at("order").get<std::uint64_t>()) {
      return {}; // another order, or not learned yet
    }
    open->second.reports[message.at("from").get<std::string>()] =
      DecodeSamples(message.at("samples"));
    return {};
  } catch (const json::exception& problem) {
    return Fail(error_kind::invalid_argument,
                std::string("counts of a node: ") + problem.what());
  }
}

version_samples
canary_driver::TotalSamples(const open_order& aOpen) const
{
  version_samples sum;
  for (const auto& [host, samples] : aOpen.reports) {
    for (const auto& [version, routes] : samples) {
      for (const auto& [route, sample] : routes) {
        sum[version][route].Add(sample);
      }
    }
  }
  return sum;
}

std::size_t
canary_driver::CountFailingHosts(const open_order& aOpen)
{
  std::size_t hosts = 0;
  for (const auto& [host, samples] : aOpen.reports) {
    auto fresh = samples.find(aOpen.order.target_version);
    bool failed =
      fresh != samples.end() &&
      std::any_of(fresh->second.begin(),
                  fresh->second.end(),
                  [](const auto& aRoute) { return aRoute.second.failed > 0; });
    hosts += failed ? 1 : 0;
  }
  return hosts;
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

void
canary_driver::DecideNextPhase(open_order& aOpen)
{
  const canary_rollout* move = mVersions.CanaryOf(aOpen.order.service);
  int rank =
    IndexOf(DecidersOf(mDirectory, aOpen.order.service), mDirectory.Self());
  if (move == nullptr || rank < 0) {
    return;
  }
  if (move->phase != canary_phase::rolled_back) {
    version_opinion opinion = JudgeVersion(TotalSamples(aOpen),
                                           aOpen.order.target_version,
                                           CountFailingHosts(aOpen));
    if (opinion.verdict == version_verdict::bad) {
      EnterPhase(aOpen, canary_phase::rolled_back, opinion.reason);
    }
  }
  if (aOpen.recording || !aOpen.from_store || mLoop.Now() < aOpen.retry_after) {
    return;
  }
  if (move->phase == canary_phase::rolled_back) {
    RecordPhase(aOpen, canary_phase::rolled_back);
    return;
  }
  canary_schedule times = ScheduleFor(aOpen.order.time_limit);
  duration passed = mLoop.Now() - aOpen.started_at - rank * kDeciderStagger;
  if (!aOpen.order.recorded && passed >= duration(0)) {
    RecordPhase(aOpen, canary_phase::canary);
    return;
  }
  if (move->phase == canary_phase::canary && passed >= times.promote_at &&
      IsVersionServing(aOpen.order.service, aOpen.order.target_version)) {
    EnterPhase(aOpen,
               canary_phase::promoted,
               "no fault was seen, " +
                 SummaryOf(TotalSamples(aOpen), aOpen.order.target_version));
    return;
  }
  if (move->phase == canary_phase::promoted && passed >= times.complete_at) {
    RecordPhase(aOpen, canary_phase::complete);
  }
}

void
canary_driver::EnterPhase(open_order& aOpen,
                          canary_phase aPhase,
                          const std::string& aReason)
{
  LogEvent(log_level::info,
           "move_step",
           { { "service", aOpen.order.service },
             { "to", aOpen.order.target_version },
             { "phase", std::string(NameOf(aPhase)) },
             { "reason", aReason } });
  canary_rollout move = *mVersions.CanaryOf(aOpen.order.service);
  move.phase = aPhase;
  mVersions.Merge(move);
  mObserver.OnCanaryUpdate(move);
}

void
canary_driver::RecordPhase(open_order& aOpen, canary_phase aPhase)
{
  canary_order order = aOpen.order;
  order.phase = aPhase;
  if (order.started_unix_ms == 0) {
    order.started_unix_ms =
      mLoop.UnixMilliseconds() - Milliseconds(mLoop.Now() - aOpen.started_at);
  }
  aOpen.recording = true;
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
    if (order.phase == canary_phase::complete ||
        order.phase == canary_phase::rolled_back) {
      mOpenOrders.erase(service);
    }
  });
}

} // namespace eelgrasstrack
