#include "rollout/rollout-driver.h"

#include <algorithm>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Windows without events are reported once per period. The period grows with
/// the number of nodes, to limit the bytes that a collector receives.
constexpr duration kEventlessReportPeriod = seconds(1);
constexpr duration kEventlessReportPeriodPerNode = milliseconds(30);
/// Unacknowledged windows are sent again after this time.
constexpr duration kResendInterval = seconds(1);
/// Interval between attempts to record an outcome.
constexpr duration kRecordRetryInterval = seconds(3);
/// Windows that are kept for resending. Older ones are dropped.
constexpr std::size_t kMaxKeptWindows = 4096;
constexpr std::size_t kMaxWindowsPerReport = 64;

bool
HasEvents(const evidence_window& aWindow)
{
  return aWindow.old_version.failures + aWindow.old_version.slow +
           aWindow.new_version.failures + aWindow.new_version.slow >
         0;
}

void
MergeWindow(evidence_window& aSum, const evidence_window& aWindow)
{
  aSum.route = aWindow.route;
  aSum.trial_share = aWindow.trial_share;
  aSum.timed_share = aWindow.timed_share;
  aSum.old_version += aWindow.old_version;
  aSum.new_version += aWindow.new_version;
  for (const instance_counts& instance : aWindow.instances) {
    auto known = std::find_if(aSum.instances.begin(),
                              aSum.instances.end(),
                              [&](const instance_counts& aOther) {
                                return aOther.node == instance.node;
                              });
    if (known == aSum.instances.end()) {
      aSum.instances.push_back(instance);
    } else {
      known->counts += instance.counts;
    }
  }
}

} // namespace

rollout_driver::rollout_driver(rollout_environment& aEnvironment,
                               const clock_source& aClock)
  : mEnvironment(aEnvironment)
  , mClock(aClock)
{
}

const rollout_state&
rollout_driver::StateOf(const std::string& aId) const
{
  static const rollout_state sNone;
  const rollout_state* state = mEnvironment.RolloutStates().Find(aId);
  return state == nullptr ? sNone : *state;
}

bool
rollout_driver::IsCollector(const std::string& aId) const
{
  std::vector<std::string> collectors = mEnvironment.CollectorsOf(aId);
  return std::find(collectors.begin(),
                   collectors.end(),
                   mEnvironment.SelfNode()) != collectors.end();
}

std::size_t
rollout_driver::CountCoveredRoutes(const rollout_declaration& aRollout) const
{
  const std::vector<route_declaration>& routes =
    mEnvironment.RolloutConfig()->routes;
  return static_cast<std::size_t>(std::count_if(
    routes.begin(), routes.end(), [&](const route_declaration& aRoute) {
      return aRoute.service == aRollout.service && aRollout.Covers(aRoute.name);
    }));
}

void
rollout_driver::SyncWithConfig(time_point aNow)
{
  const auto& rollouts = mEnvironment.RolloutConfig()->rollouts;
  for (auto open = mOpen.begin(); open != mOpen.end();) {
    auto declared = rollouts.find(open->first);
    bool ended = declared == rollouts.end() || !declared->second.IsOpen();
    open = ended ? mOpen.erase(open) : std::next(open);
  }
  for (const auto& [id, declared] : rollouts) {
    if (declared.IsOpen()) {
      mOpen.try_emplace(id, id, aNow);
    }
  }
}

void
rollout_driver::Tick()
{
  time_point now = mClock.Now();
  SyncWithConfig(now);
  for (auto& [id, open] : mOpen) {
    const rollout_state& state = StateOf(id);
    if (state.share != open.seen_share) {
      open.seen_share = state.share;
      open.raised_ms = mClock.UnixMilliseconds();
      open.trials_at_raise = open.fleet_evaluator.Totals().new_trials;
      open.recorder.SetShare(state.share);
    }
    ReportEvidence(id, open, now);
    EvaluateAndPlan(mEnvironment.RolloutConfig()->rollouts.at(id), open, now);
    RecordIfDecided(id, open, now);
  }
}

void
rollout_driver::QueueWindow(open_rollout& aOpen, evidence_window aWindow)
{
  aOpen.windows.push_back({ aOpen.next_window++, std::move(aWindow) });
  if (aOpen.windows.size() > kMaxKeptWindows) {
    aOpen.windows.pop_front();
  }
}

void
rollout_driver::ReportEvidence(const std::string& aId,
                               open_rollout& aOpen,
                               time_point aNow)
{
  for (evidence_window& window : aOpen.recorder.Flush(aNow)) {
    aOpen.local_evaluator.AddWindow(window);
    if (HasEvents(window)) {
      QueueWindow(aOpen, std::move(window));
    } else {
      MergeWindow(aOpen.eventless[window.route], window);
    }
  }
  duration eventlessPeriod = std::max(
    kEventlessReportPeriod,
    kEventlessReportPeriodPerNode * static_cast<int>(mEnvironment.FleetSize()));
  bool eventlessDue = aNow - aOpen.last_eventless_report >= eventlessPeriod;
  if (eventlessDue) {
    aOpen.last_eventless_report = aNow;
    for (auto& [route, window] : aOpen.eventless) {
      QueueWindow(aOpen, std::move(window));
    }
    aOpen.eventless.clear();
  }
  std::vector<std::string> collectors = mEnvironment.CollectorsOf(aId);
  for (const std::string& collector : collectors) {
    SendReportTo(collector, aId, aOpen, eventlessDue, aNow);
  }
}

void
rollout_driver::SendReportTo(const std::string& aCollector,
                             const std::string& aId,
                             open_rollout& aOpen,
                             bool aEventlessDue,
                             time_point aNow)
{
  collector_progress& progress = aOpen.collectors[aCollector];
  bool unsent = progress.sent_up_to < aOpen.next_window;
  bool unacknowledged = progress.next_window < aOpen.next_window &&
                        aNow - progress.last_sent >= kResendInterval;
  bool hasWindows = aOpen.next_window > 0;
  if (!unsent && !unacknowledged && !(aEventlessDue && hasWindows)) {
    return;
  }
  evidence_report report;
  report.rollout = aId;
  report.reporter = mEnvironment.SelfNode();
  report.incarnation = mEnvironment.SelfIncarnation();
  report.report_number = aOpen.next_report++;
  report.totals = aOpen.recorder.Totals(aNow);
  std::uint64_t first =
    unacknowledged ? progress.next_window : progress.sent_up_to;
  std::uint64_t oldest =
    aOpen.windows.empty() ? aOpen.next_window : aOpen.windows.front().number;
  report.first_window = std::max(first, oldest);
  for (const numbered_window& numbered : aOpen.windows) {
    if (numbered.number >= report.first_window &&
        report.windows.size() < kMaxWindowsPerReport) {
      report.windows.push_back(numbered.window);
    }
  }
  progress.sent_up_to = report.first_window + report.windows.size();
  progress.last_sent = aNow;
  mEnvironment.SendReport(aCollector, std::move(report));
}

void
rollout_driver::OnAck(const std::string& aCollector,
                      const std::string& aRollout,
                      std::uint64_t aIncarnation,
                      std::uint64_t aNextWindow)
{
  auto open = mOpen.find(aRollout);
  if (open == mOpen.end() || aIncarnation != mEnvironment.SelfIncarnation()) {
    return;
  }
  collector_progress& progress = open->second.collectors[aCollector];
  if (aNextWindow < progress.next_window) {
    // The collector lost windows that it had acknowledged, for example in a
    // restart. Send them again.
    progress.sent_up_to = aNextWindow;
  }
  progress.next_window = aNextWindow;
}

void
rollout_driver::OnReport(const evidence_report& aReport)
{
  auto open = mOpen.find(aReport.rollout);
  if (open == mOpen.end()) {
    return;
  }
  std::uint64_t next = open->second.fleet_evaluator.AddReport(aReport);
  mEnvironment.SendAck(
    aReport.reporter, aReport.rollout, aReport.incarnation, next);
  if (StateOf(aReport.rollout).halted) {
    return;
  }
  evaluation_result result = open->second.fleet_evaluator.Evaluate();
  ApplyEvaluation(aReport.rollout, result);
}

void
rollout_driver::ApplyEvaluation(const std::string& aId,
                                const evaluation_result& aResult)
{
  rollout_state state = StateOf(aId);
  state.id = aId;
  if (aResult.verdict == rollout_verdict::halt) {
    LogEvent(log_level::warning,
             "rollout_halted",
             { { "rollout", aId }, { "reason", aResult.reason } });
    state.halted = true;
    state.halt_reason = aResult.reason;
    mEnvironment.PublishState(state);
  }
  if (aResult.verdict == rollout_verdict::eject_instance) {
    LogEvent(log_level::warning,
             "upstream_ejected",
             { { "rollout", aId },
               { "node", aResult.node },
               { "reason", aResult.reason } });
    state.ejected.insert(aResult.node);
    mEnvironment.PublishState(state);
  }
}

void
rollout_driver::EvaluateAndPlan(const rollout_declaration& aRollout,
                                open_rollout& aOpen,
                                time_point aNow)
{
  double planned =
    static_cast<double>(aRollout.deadline_unix_ms - aRollout.start_unix_ms);
  duration elapsed =
    aOpen.last_tick == time_point{} ? duration(0) : aNow - aOpen.last_tick;
  aOpen.last_tick = aNow;
  double fraction =
    planned > 0 ? static_cast<double>(Milliseconds(elapsed)) / planned : 0.0;
  evaluator_options options;
  options.routes = CountCoveredRoutes(aRollout);
  aOpen.fleet_evaluator.SetOptions(options);
  // Every node also evaluates its own calls, so each local evaluator gets only
  // a part of the false alarm rate.
  options.evaluators = mEnvironment.FleetSize() + 1;
  aOpen.local_evaluator.SetOptions(options);
  aOpen.fleet_evaluator.AdvanceTime(fraction);
  aOpen.local_evaluator.AdvanceTime(fraction);
  const rollout_state& state = StateOf(aRollout.id);
  if (state.halted) {
    return;
  }
  evaluation_result localResult = aOpen.local_evaluator.Evaluate();
  if (localResult.verdict == rollout_verdict::halt) {
    ApplyEvaluation(aRollout.id, localResult);
    return;
  }
  if (!IsCollector(aRollout.id)) {
    return;
  }
  evaluation_result fleetResult = aOpen.fleet_evaluator.Evaluate();
  ApplyEvaluation(aRollout.id, fleetResult);
  if (!StateOf(aRollout.id).halted) {
    ApplyPlan(
      aRollout, aOpen, fleetResult.verdict == rollout_verdict::suspicious);
  }
}

plan_input
rollout_driver::PlanInput(const rollout_declaration& aRollout,
                          const open_rollout& aOpen,
                          bool aSuspicious) const
{
  const rollout_state& state = StateOf(aRollout.id);
  evidence_totals totals = aOpen.fleet_evaluator.Totals();
  plan_input input;
  input.start_ms = aRollout.start_unix_ms;
  input.deadline_ms = aRollout.deadline_unix_ms;
  input.now_ms = mClock.UnixMilliseconds();
  input.share = state.share;
  input.raised_ms = aOpen.raised_ms;
  input.paused = aRollout.phase == rollout_phase::paused;
  input.old_slots =
    mEnvironment.SlotsOf(aRollout.service, aRollout.from_version);
  input.new_slots = mEnvironment.SlotsOf(aRollout.service, aRollout.to_version);
  input.suspicious = aSuspicious;
  input.trials_since_raise = static_cast<double>(totals.new_trials) -
                             static_cast<double>(aOpen.trials_at_raise);
  if (totals.covered_ms > 0) {
    double covered = static_cast<double>(totals.covered_ms);
    input.busy_slots = static_cast<double>(totals.busy_us) / 1000 / covered;
    double lowestRate = -1;
    for (const auto& [route, evidence] : aOpen.fleet_evaluator.Routes()) {
      double trials = evidence.old_version.trials + evidence.new_version.trials;
      double rate = trials * 1000 / covered;
      if (lowestRate < 0 || rate < lowestRate) {
        lowestRate = rate;
        input.least_called_route_rate = rate;
        input.least_called_route_trials = evidence.new_version.trials;
      }
    }
  }
  return input;
}

void
rollout_driver::ApplyPlan(const rollout_declaration& aRollout,
                          open_rollout& aOpen,
                          bool aSuspicious)
{
  aOpen.plan = PlanNext(PlanInput(aRollout, aOpen, aSuspicious));
  const rollout_state& known = StateOf(aRollout.id);
  evidence_totals totals = aOpen.fleet_evaluator.Totals();
  rollout_state state = known;
  state.id = aRollout.id;
  state.share = aOpen.plan.share;
  state.complete = state.complete || aOpen.plan.step == plan_step::complete;
  bool changed = state.share != known.share || state.complete != known.complete;
  if (changed) {
    // Changed caller counts are published only together with a step.
    state.callers_exposed =
      std::max(state.callers_exposed, totals.callers_exposed);
    state.callers_hurt = std::max(state.callers_hurt, totals.callers_hurt);
    LogEvent(log_level::info,
             "rollout_step",
             { { "rollout", aRollout.id },
               { "share", std::to_string(state.share) },
               { "complete", state.complete ? "true" : "false" } });
    mEnvironment.PublishState(state);
  }
}

void
rollout_driver::RecordIfDecided(const std::string& aId,
                                open_rollout& aOpen,
                                time_point aNow)
{
  rollout_state state = StateOf(aId);
  bool decided = state.halted || state.complete;
  bool due = aOpen.last_record_attempt == time_point{} ||
             aNow - aOpen.last_record_attempt >= kRecordRetryInterval;
  if (!decided || !due || !IsCollector(aId)) {
    return;
  }
  aOpen.last_record_attempt = aNow;
  evidence_totals totals = aOpen.fleet_evaluator.Totals();
  state.callers_exposed =
    std::max(state.callers_exposed, totals.callers_exposed);
  state.callers_hurt = std::max(state.callers_hurt, totals.callers_hurt);
  mEnvironment.RecordOutcome(
    aId, state.halted ? rollout_phase::taken_back : rollout_phase::done, state);
}

void
rollout_driver::OnAttemptStarted(const std::string& aRollout,
                                 std::uint64_t aId,
                                 const recorded_attempt& aAttempt)
{
  auto open = mOpen.find(aRollout);
  if (open != mOpen.end()) {
    open->second.recorder.OnAttemptStarted(aId, aAttempt, mClock.Now());
  }
}

void
rollout_driver::OnAttemptFinished(const std::string& aRollout,
                                  std::uint64_t aId,
                                  const recorded_attempt& aAttempt,
                                  bool aCounts)
{
  auto open = mOpen.find(aRollout);
  if (open != mOpen.end()) {
    open->second.recorder.OnAttemptFinished(aId, aAttempt, aCounts);
  }
}

void
rollout_driver::OnCallerHurt(const std::string& aRollout,
                             const std::string& aCaller)
{
  auto open = mOpen.find(aRollout);
  if (open != mOpen.end()) {
    open->second.recorder.OnCallerHurt(aCaller);
  }
}

std::optional<rollout_status>
rollout_driver::StatusOf(const std::string& aRollout) const
{
  const auto& rollouts = mEnvironment.RolloutConfig()->rollouts;
  auto declared = rollouts.find(aRollout);
  if (declared == rollouts.end()) {
    return std::nullopt;
  }
  rollout_status status;
  status.declared = declared->second;
  status.state = StateOf(aRollout);
  auto open = mOpen.find(aRollout);
  if (open == mOpen.end()) {
    return status;
  }
  status.is_collector = IsCollector(aRollout);
  const rollout_evaluator& evaluator = status.is_collector
                                         ? open->second.fleet_evaluator
                                         : open->second.local_evaluator;
  status.plan = open->second.plan;
  status.greatest_statistic = evaluator.GreatestStatistic();
  status.threshold = evaluator.Threshold();
  status.routes = evaluator.Routes();
  status.totals = status.is_collector
                    ? evaluator.Totals()
                    : open->second.recorder.Totals(mClock.Now());
  status.capacity_share =
    CapacityShare(PlanInput(declared->second, open->second, false));
  return status;
}

} // namespace eelgrasstrack
