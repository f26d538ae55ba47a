#include "rollout/rollout-description.h"

#include <cstdio>

namespace eelgrasstrack {

namespace {

std::string
FormatPercent(std::uint32_t aShare)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f %%", aShare / 100.0);
  return text;
}

std::string
FormatSeconds(std::int64_t aMilliseconds)
{
  char text[32];
  std::snprintf(
    text, sizeof(text), "%.1f s", static_cast<double>(aMilliseconds) / 1000);
  return text;
}

std::string
OutcomeText(const rollout_declaration& aRollout)
{
  std::string counts =
    std::to_string(aRollout.callers_exposed) + " callers were exposed, " +
    std::to_string(aRollout.callers_hurt) + " of them with a failed call.";
  if (aRollout.phase == rollout_phase::done) {
    return "Done: every caller of " + aRollout.service + " gets " +
           aRollout.to_version + ". " + counts;
  }
  return "Rolled back: every caller of " + aRollout.service + " gets " +
         aRollout.from_version + ". Reason: " + aRollout.reason + ". " + counts;
}

std::string
StepText(const rollout_status& aStatus, std::int64_t aNowMs)
{
  std::string due =
    " Next step in " +
    FormatSeconds(std::max<std::int64_t>(0, aStatus.plan.next_ms - aNowMs)) +
    ".";
  switch (aStatus.plan.step) {
    case plan_step::waiting_for_upstreams:
      return "Waiting for upstreams of " + aStatus.declared.to_version +
             ": their slots have capacity for " +
             FormatPercent(aStatus.capacity_share) + " of the callers.";
    case plan_step::waiting_for_evidence:
      return "The next step is delayed because the evidence is suspicious.";
    case plan_step::paused:
      return "Paused by an operator.";
    case plan_step::complete:
      return "The rollout is complete.";
    case plan_step::hold:
    case plan_step::raise:
      break;
  }
  return due.substr(1);
}

std::string
EvidenceText(const rollout_status& aStatus)
{
  std::string text;
  for (const auto& [route, evidence] : aStatus.routes) {
    const outcome_counts& newer = evidence.new_version;
    const outcome_counts& older = evidence.old_version;
    text += " Route " + route + ": new version " +
            std::to_string(newer.failures) + " failed and " +
            std::to_string(newer.slow) + " slow of " +
            std::to_string(newer.trials) + " sampled calls, old version " +
            std::to_string(older.failures) + " failed and " +
            std::to_string(older.slow) + " slow of " +
            std::to_string(older.trials) + ".";
  }
  char statistic[96];
  std::snprintf(
    statistic,
    sizeof(statistic),
    " Test statistic against the new version: %.3g, threshold: %.3g.",
    aStatus.greatest_statistic,
    aStatus.threshold);
  return text + statistic;
}

} // namespace

std::string
StatusNameOf(const rollout_status& aStatus)
{
  if (!aStatus.declared.IsOpen()) {
    return std::string(NameOf(aStatus.declared.phase));
  }
  if (aStatus.state.halted) {
    return "taken_back_not_recorded";
  }
  if (aStatus.state.complete) {
    return "done_not_recorded";
  }
  return std::string(NameOf(aStatus.declared.phase));
}

std::string
DescribeRollout(const rollout_status& aStatus, std::int64_t aNowMs)
{
  const rollout_declaration& rollout = aStatus.declared;
  if (!rollout.IsOpen()) {
    return OutcomeText(rollout);
  }
  if (aStatus.state.halted) {
    return "Rolled back, not yet recorded in the store: every caller of " +
           rollout.service + " gets " + rollout.from_version +
           ". Reason: " + aStatus.state.halt_reason + ".";
  }
  if (aStatus.state.complete) {
    return "Done, not yet recorded in the store: every caller of " +
           rollout.service + " gets " + rollout.to_version + ".";
  }
  std::string text =
    rollout.service + " moves from " + rollout.from_version + " to " +
    rollout.to_version + ": " + FormatPercent(aStatus.state.share) +
    " of its callers use the new version (" +
    std::to_string(aStatus.totals.callers_exposed) + " of " +
    std::to_string(aStatus.totals.callers) + " callers seen so far). ";
  text += StepText(aStatus, aNowMs);
  text += aStatus.plan.on_time ? " On schedule, due in " : " Late, due in ";
  text += FormatSeconds(rollout.deadline_unix_ms - aNowMs) + ".";
  for (const std::string& node : aStatus.state.ejected) {
    text += " The upstream at " + node + " is ejected as faulty.";
  }
  return text + EvidenceText(aStatus);
}

} // namespace eelgrasstrack
