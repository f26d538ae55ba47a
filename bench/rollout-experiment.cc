#include <algorithm>
#include <vector>

#include "experiments.h"
#include "figures.h"
#include "harness/virtual-mesh.h"

namespace eelgrasstrack::bench {

namespace {

using namespace eelgrasstrack::harness;

/// Load that the callers generate.
struct load_row
{
  const char* name;
  /// Calls per second, or percent of the old version's capacity if
  /// `is_relative`.
  double rate;
  bool is_relative;
  std::size_t callers;
  /// Time within which the rollout is to complete.
  duration plan_time;
};

/// Service parameters of an example deployment.
struct deployment_row
{
  const char* name;
  unsigned slots;
  duration base_time;
  duration latency;
  bool repeatable;
};

constexpr load_row kLoads[] = {
  { "quiet", 0.2, false, 60, std::chrono::seconds(3600) },
  { "ordinary", 20, false, 400, std::chrono::seconds(600) },
  { "peak", 55, true, 1200, std::chrono::seconds(120) },
};

constexpr deployment_row kDeployments[] = {
  { "kenanga",
    12,
    std::chrono::milliseconds(40),
    std::chrono::microseconds(1500),
    true },
  { "kwaaiman",
    6,
    std::chrono::milliseconds(30),
    std::chrono::microseconds(500),
    false },
};

/// Whether the fault makes the new version worse than the old one. `noisy` and
/// `common_failure` affect both versions alike.
bool
IsBadVersion(version_fault aFault)
{
  return aFault != version_fault::none && aFault != version_fault::noisy &&
         aFault != version_fault::common_failure;
}

/// Results of the runs of one row of the result table.
struct row_sums
{
  /// Per run: callers with failed or slow calls, in percent of all callers.
  std::vector<double> hurt_percent;
  /// Longest time from the first halt to the last new call to the new version.
  double max_stop_seconds = 0;
  double calls = 0;
  double calls_hurt = 0;
  double reports = 0;
  unsigned runs = 0;
  unsigned on_time = 0;
  unsigned rolled_back = 0;
  unsigned ejected = 0;

  void Add(const mesh_outcome& aOutcome)
  {
    ++runs;
    on_time += aOutcome.on_time ? 1 : 0;
    rolled_back += aOutcome.taken_back ? 1 : 0;
    ejected += aOutcome.ejected > 0 ? 1 : 0;
    hurt_percent.push_back(100.0 * static_cast<double>(aOutcome.callers_hurt) /
                           static_cast<double>(aOutcome.callers));
    max_stop_seconds = std::max(max_stop_seconds, aOutcome.stop_after_halt_s);
    calls += static_cast<double>(aOutcome.calls);
    calls_hurt += static_cast<double>(aOutcome.calls_hurt);
    reports += static_cast<double>(aOutcome.report_messages);
  }

  double Percent(unsigned aCount) const { return 100.0 * aCount / runs; }
};

void
PrintRow(const std::string& aPrefix,
         const std::string& aRow,
         version_fault aFault,
         row_sums& aSums)
{
  if (!IsBadVersion(aFault)) {
    PrintFigure(aPrefix + "good_on_time_" + aRow,
                aSums.Percent(aSums.on_time),
                "%",
                "99.5");
    PrintFigure(aPrefix + "false_taken_back_" + aRow,
                aSums.Percent(aSums.rolled_back),
                "%",
                "0.5");
    return;
  }
  std::sort(aSums.hurt_percent.begin(), aSums.hurt_percent.end());
  unsigned stoppedRuns = aSums.rolled_back;
  if (aFault == version_fault::one_instance ||
      aFault == version_fault::one_domain) {
    // Each failure domain has one instance, so ejecting that instance stops the
    // fault and the version need not be rolled back.
    stoppedRuns = std::max(stoppedRuns, aSums.ejected);
  }
  PrintFigure(
    aPrefix + "bad_taken_back_" + aRow, aSums.Percent(stoppedRuns), "%", "100");
  PrintFigure(aPrefix + "callers_hurt_median_" + aRow,
              aSums.hurt_percent[aSums.hurt_percent.size() / 2],
              "%",
              "2");
  PrintFigure(aPrefix + "callers_hurt_worst_" + aRow,
              aSums.hurt_percent.back(),
              "%",
              "5");
  PrintFigure(aPrefix + "calls_hurt_" + aRow,
              100.0 * aSums.calls_hurt / std::max(aSums.calls, 1.0),
              "%");
  PrintFigure(
    aPrefix + "stop_after_evidence_" + aRow, aSums.max_stop_seconds, "s", "2");
}

/// One combination of fault, load, platform fault, deployment and policy.
struct table_cell
{
  version_fault fault;
  const load_row* load;
  platform_fault platform;
  const deployment_row* deployment;
  rollout_policy policy;
};

/// Call rate of a load; a relative load is scaled by the capacity of the old
/// version's instances.
double
CallsPerSecond(const load_row& aLoad, const deployment_row& aDeployment)
{
  if (!aLoad.is_relative) {
    return aLoad.rate;
  }
  constexpr double kInstances = 4;
  double callSeconds =
    std::chrono::duration<double>(aDeployment.base_time).count();
  return aLoad.rate / 100 * kInstances * aDeployment.slots / callSeconds;
}

std::string
RowName(const table_cell& aCell)
{
  return std::string(NameOf(aCell.fault)) + "_" + aCell.load->name + "_" +
         std::string(NameOf(aCell.platform)) + "_" + aCell.deployment->name;
}

mesh_options
MakeMeshOptions(const table_cell& aCell, std::uint64_t aSeed)
{
  mesh_options options;
  options.policy = aCell.policy;
  options.fault = aCell.fault;
  options.platform = aCell.platform;
  options.seed = aSeed;
  options.slots = aCell.deployment->slots;
  options.base_time = aCell.deployment->base_time;
  options.latency = aCell.deployment->latency;
  options.repeatable = aCell.deployment->repeatable;
  options.callers = aCell.load->callers;
  options.calls_per_second = CallsPerSecond(*aCell.load, *aCell.deployment);
  options.plan_time = aCell.load->plan_time;
  return options;
}

/// Runs one combination and prints its figures, unless its name does not
/// contain the `only` option.
void
RunCell(const table_cell& aCell,
        const experiment_options& aOptions,
        unsigned aRuns)
{
  std::string row = RowName(aCell);
  if (row.find(aOptions.only) == std::string::npos) {
    return;
  }
  unsigned runs = aOptions.runs > 0 ? aOptions.runs : aRuns;
  row_sums sums;
  for (unsigned i = 0; i < runs; ++i) {
    sums.Add(virtual_mesh(MakeMeshOptions(aCell, aOptions.seed + i)).Run());
  }
  std::string prefix =
    aCell.policy == rollout_policy::product
      ? ""
      : "baseline_" + std::string(NameOf(aCell.policy)) + "_";
  PrintRow(prefix, row, aCell.fault, sums);
}

constexpr version_fault kVersionFaults[] = {
  version_fault::none,
  version_fault::noisy,
  version_fault::common_failure,
  version_fault::fails_always,
  version_fault::fails_fifth,
  version_fault::fails_twentieth,
  version_fault::slow_threefold,
  version_fault::fails_later,
  version_fault::slow_under_load,
  version_fault::single_route,
  version_fault::one_domain,
  version_fault::one_instance,
  version_fault::truncated,
};

constexpr platform_fault kPlatformFaults[] = {
  platform_fault::none,
  platform_fault::store_out,
  platform_fault::herd_restart,
  platform_fault::partition,
};

void
RunFullTable(const experiment_options& aOptions, unsigned aRuns)
{
  for (const deployment_row& deployment : kDeployments) {
    for (const load_row& load : kLoads) {
      for (platform_fault platform : kPlatformFaults) {
        for (version_fault fault : kVersionFaults) {
          RunCell(
            { fault, &load, platform, &deployment, rollout_policy::product },
            aOptions,
            aRuns);
        }
      }
    }
  }
}

void
RunShortTable(const experiment_options& aOptions, unsigned aRuns)
{
  for (const deployment_row& deployment : kDeployments) {
    for (version_fault fault : kVersionFaults) {
      RunCell({ fault,
                &kLoads[1],
                platform_fault::none,
                &deployment,
                rollout_policy::product },
              aOptions,
              aRuns);
    }
  }
}

void
RunBaselines(const experiment_options& aOptions, unsigned aRuns)
{
  for (rollout_policy policy :
       { rollout_policy::timed_steps, rollout_policy::fixed_threshold }) {
    for (version_fault fault : kVersionFaults) {
      RunCell(
        { fault, &kLoads[1], platform_fault::none, &kDeployments[1], policy },
        aOptions,
        aRuns);
    }
  }
}

} // namespace

int
RunRollout(const experiment_options& aOptions)
{
  constexpr unsigned kRuns = 4;
  constexpr unsigned kFullRuns = 40;
  if (aOptions.full) {
    RunFullTable(aOptions, kFullRuns);
    RunBaselines(aOptions, kFullRuns);
    return 0;
  }
  RunShortTable(aOptions, kRuns);
  RunBaselines(aOptions, kRuns);
  return 0;
}

} // namespace eelgrasstrack::bench
