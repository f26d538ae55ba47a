#include "mesh/move-driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "mesh/duty-roster.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kTickPeriod = std::chrono::milliseconds(250);
constexpr duration kReportTimeout = std::chrono::milliseconds(800);
/// How much later than the one before it each further node takes a step.
constexpr duration kStagger = std::chrono::milliseconds(350);
constexpr duration kRecordAgain = std::chrono::milliseconds(400);
/// Time before the deadline at which all requests move over, at least.
constexpr duration kShortestWidening = std::chrono::milliseconds(2000);
constexpr double kWideningShare = 0.12;
/// Time before the deadline at which the move is recorded as done.
constexpr duration kRecordingTime = std::chrono::milliseconds(800);
/// Part of the allowed exposure that the steady share of the trial uses; the
/// rest is for its bursts and the time between widening and taking back.
constexpr double kTrialPart = 0.15;

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

move_times
TimesOf(duration aOver)
{
  auto share = duration(static_cast<std::int64_t>(
    static_cast<double>(aOver.count()) * kWideningShare));
  duration widening = std::max(share, kShortestWidening);
  move_times times;
  times.widen_at = std::max(aOver / 2, aOver - widening);
  times.complete_at = std::max(aOver / 2, aOver - kRecordingTime);
  return times;
}

move_driver::move_driver(loop& aLoop,
                         caller& aCaller,
                         control_store& aStore,
                         host_directory& aDirectory,
                         version_gate& aVersions,
                         proxy_counters& aCounters,
                         move_driver_owner& aOwner)
  : mLoop(aLoop)
  , mCaller(aCaller)
  , mStore(aStore)
  , mDirectory(aDirectory)
  , mVersions(aVersions)
  , mCounters(aCounters)
  , mOwner(aOwner)
{
}

void
move_driver::Start()
{
  mLoop.RunEvery(kTickPeriod, [this] { Tick(); });
}

time_point
move_driver::BeganAt(const move_order& aOrder) const
{
  time_point now = mLoop.Now();
  if (aOrder.began_unix_ms <= 0) {
    return now;
  }
  // Clocks differ and may jump: trust them no further than the order's span.
  duration passed =
    std::chrono::milliseconds(mLoop.UnixMilliseconds() - aOrder.began_unix_ms);
  return now - std::clamp(passed, duration(0), aOrder.over);
}

void
move_driver::OnOrder(const move_order& aOrder)
{
  version_move move;
  move.service = aOrder.service;
  move.to = aOrder.to;
  move.order = aOrder.order;
  move.phase = aOrder.phase;
  move.share = kTrialPart * mBounds.trial_share;
  move.over = aOrder.over;
  move.began = BeganAt(aOrder);
  if (mVersions.Take(move)) {
    mOwner.OnMove(move);
  }
  const version_move* known = mVersions.MoveOf(aOrder.service);
  if (known == nullptr || known->order > aOrder.order) {
    return;
  }
  if (aOrder.phase == move_phase::complete ||
      aOrder.phase == move_phase::reverted) {
    mOpen.erase(aOrder.service);
    return;
  }
  Open(aOrder, move.began);
  open_order& open = mOpen[aOrder.service];
  open.order = aOrder;
  open.from_store = true;
}

void
move_driver::Open(const move_order& aOrder, time_point aBegan)
{
  auto open = mOpen.find(aOrder.service);
  if (open != mOpen.end() && open->second.order.order == aOrder.order) {
    return;
  }
  LogEvent(log_level::info,
           "move_begins",
           { { "service", aOrder.service },
             { "to", aOrder.to },
             { "order", std::to_string(aOrder.order) } });
  open_order fresh;
  fresh.order = aOrder;
  fresh.began = aBegan;
  mOwn[aOrder.service].clear();
  mOpen.insert_or_assign(aOrder.service, std::move(fresh));
}

void
move_driver::OnOrderRemoved(const std::string& aService)
{
  mOpen.erase(aService);
}

void
move_driver::OnMove(const version_move& aMove)
{
  if (!mVersions.Take(aMove)) {
    return;
  }
  LogEvent(log_level::info,
           "move_step_learned",
           { { "service", aMove.service },
             { "to", aMove.to },
             { "phase", std::string(NameOf(aMove.phase)) } });
  if (aMove.phase == move_phase::complete) {
    mOpen.erase(aMove.service);
  } else { // one that was taken back may still have to be recorded
    move_order order;
    order.service = aMove.service;
    order.to = aMove.to;
    order.order = aMove.order;
    order.over = aMove.over;
    Open(order, aMove.began);
  }
}

void
move_driver::OnResult(const std::string& aService, const run_result& aResult)
{
  if (mOpen.count(aService) > 0) {
    mOwn[aService][aResult.version][aResult.route].Add(aResult.failed,
                                                       aResult.took);
  }
}

void
move_driver::Tick()
{
  std::vector<std::string> services;
  for (const auto& [service, open] : mOpen) {
    services.push_back(service);
  }
  for (const std::string& service : services) {
    auto open = mOpen.find(service);
    Report(service, open->second);
    Decide(open->second);
  }
}

void
move_driver::Report(const std::string& aService, open_order& aOpen)
{
  const version_samples& own = mOwn[aService];
  if (own.empty()) {
    return;
  }
  std::string body = json({ { "service", aService },
                            { "order", aOpen.order.order },
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
move_driver::SendReport(const std::string& aHost, const std::string& aBody)
{
  const known_host* host = mDirectory.Find(aHost);
  if (host == nullptr) {
    return;
  }
  whole_request request;
  request.method = "POST";
  request.target = "/v1/evidence";
  request.body = aBody;
  mCounters.Add(proxy_event::peer_message);
  mCaller.Call(host->record.control,
               std::move(request),
               kReportTimeout,
               [this](result<whole_response> aResponse) {
                 if (!aResponse) { // the next report holds all of it again
                   mCounters.Add(proxy_event::peer_failed);
                 }
               });
}

result<void>
move_driver::TakeReport(const std::string& aBody)
{
  try {
    json message = json::parse(aBody);
    auto open = mOpen.find(message.at("service").get<std::string>());
    if (open == mOpen.end() ||
        open->second.order.order != message.at("order").get<std::uint64_t>()) {
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
move_driver::Sum(const open_order& aOpen) const
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
move_driver::FailingHosts(const open_order& aOpen)
{
  std::size_t hosts = 0;
  for (const auto& [host, samples] : aOpen.reports) {
    auto fresh = samples.find(aOpen.order.to);
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
move_driver::Runs(const std::string& aService,
                  const std::string& aVersion) const
{
  for (const known_host* host : mDirectory.Serving(aService)) {
    if (host->record.instance.version == aVersion && !host->unreachable) {
      return true;
    }
  }
  return false;
}

void
move_driver::Decide(open_order& aOpen)
{
  const version_move* move = mVersions.MoveOf(aOpen.order.service);
  int rank =
    RankIn(DecidersOf(mDirectory, aOpen.order.service), mDirectory.Self());
  if (move == nullptr || rank < 0) {
    return;
  }
  if (move->phase != move_phase::reverted) {
    version_opinion opinion =
      JudgeVersion(Sum(aOpen), aOpen.order.to, FailingHosts(aOpen));
    if (opinion.verdict == version_verdict::bad) {
      Step(aOpen, move_phase::reverted, opinion.reason);
    }
  }
  if (aOpen.writing || !aOpen.from_store || mLoop.Now() < aOpen.try_after) {
    return;
  }
  if (move->phase == move_phase::reverted) {
    Record(aOpen, move_phase::reverted);
    return;
  }
  move_times times = TimesOf(aOpen.order.over);
  duration passed = mLoop.Now() - aOpen.began - rank * kStagger;
  if (!aOpen.order.recorded && passed >= duration(0)) {
    Record(aOpen, move_phase::trial);
    return;
  }
  if (move->phase == move_phase::trial && passed >= times.widen_at &&
      Runs(aOpen.order.service, aOpen.order.to)) {
    Step(aOpen,
         move_phase::widened,
         "no fault was seen, " + SummaryOf(Sum(aOpen), aOpen.order.to));
    return;
  }
  if (move->phase == move_phase::widened && passed >= times.complete_at) {
    Record(aOpen, move_phase::complete);
  }
}

void
move_driver::Step(open_order& aOpen,
                  move_phase aPhase,
                  const std::string& aReason)
{
  LogEvent(log_level::info,
           "move_step",
           { { "service", aOpen.order.service },
             { "to", aOpen.order.to },
             { "phase", std::string(NameOf(aPhase)) },
             { "reason", aReason } });
  version_move move = *mVersions.MoveOf(aOpen.order.service);
  move.phase = aPhase;
  mVersions.Take(move);
  mOwner.OnMove(move);
}

void
move_driver::Record(open_order& aOpen, move_phase aPhase)
{
  move_order order = aOpen.order;
  order.phase = aPhase;
  if (order.began_unix_ms == 0) {
    order.began_unix_ms =
      mLoop.UnixMilliseconds() - Milliseconds(mLoop.Now() - aOpen.began);
  }
  aOpen.writing = true;
  std::string service = order.service;
  mStore.RecordMove(order, [this, service, order](result<void> aDone) {
    auto open = mOpen.find(service);
    if (open == mOpen.end() || open->second.order.order != order.order) {
      return;
    }
    open->second.writing = false;
    open->second.try_after = mLoop.Now() + kRecordAgain;
    LogEvent(log_level::info,
             "move_recorded",
             { { "service", service },
               { "phase", std::string(NameOf(order.phase)) },
               { "outcome", aDone ? "done" : aDone.error().message } });
    if (!aDone) {
      return;
    }
    open->second.order.recorded = true;
    if (order.phase == move_phase::complete) {
      Step(open->second, move_phase::complete, "recorded");
    }
    if (order.phase == move_phase::complete ||
        order.phase == move_phase::reverted) {
      mOpen.erase(service);
    }
  });
}

} // namespace eelgrasstrack
