#include <string>

#include "experiments.h"
#include "figures.h"
#include "harness/quota-simulation.h"

namespace eelgrasstrack::bench {

namespace {

using namespace eelgrasstrack::harness;

/// A fleet and its load.
struct fleet_row
{
  const char* name;
  std::size_t nodes;
  double requests_per_second;
};

constexpr fleet_row kSmallFleet{ "88", 88, 1800 };
/// The load for each node is that of the small fleet.
constexpr fleet_row kTargetFleet{ "2100", 2100, 1800.0 / 88 * 2100 };
/// Same load as the small fleet: organisations have few requests at each node.
constexpr fleet_row kThinFleet{ "2100_thin", 2100, 1800 };

void
PrintRow(const std::string& aName, const quota_outcome_figures& aFigures)
{
  PrintFigure(
    "most_of_bound_" + aName, 100 * aFigures.most_of_bound, "%", "100");
  PrintFigure("refused_below_limit_" + aName,
              100 * aFigures.refused_below_limit,
              "%",
              "0");
  if (aFigures.passed_of_limit > 0) {
    PrintFigure(
      "passed_of_limit_" + aName, 100 * aFigures.passed_of_limit, "%");
  }
  PrintFigure(
    "control_" + aName, aFigures.bytes_per_node_second / 1000, "KB/s", "9");
  PrintFigure("control_most_" + aName,
              aFigures.most_bytes_per_second / 1000,
              "KB/s",
              "9");
  PrintFigure(
    "messages_most_" + aName, aFigures.most_messages_per_second, "messages/s");
}

void
MeasureFleet(const experiment_options& aOptions, const fleet_row& aFleet)
{
  for (quota_way way : { quota_way::fixed_shares,
                         quota_way::owner_leases,
                         quota_way::gossip_shares }) {
    for (quota_fault fault : { quota_fault::none,
                               quota_fault::partition,
                               quota_fault::owner_killed }) {
      for (double factor : { 1.0, 3.0, 10.0 }) {
        quota_simulation_options options;
        options.way = way;
        options.fault = fault;
        options.seed = aOptions.seed;
        options.nodes = aFleet.nodes;
        options.requests_per_second = aFleet.requests_per_second;
        options.hot_factor = factor;
        std::string name = std::string(aFleet.name) + "_" +
                           std::string(NameOf(way)) + "_" +
                           std::string(NameOf(fault)) + "_" +
                           std::to_string(static_cast<int>(factor)) + "x";
        if (name.find(aOptions.only) == std::string::npos) {
          continue;
        }
        PrintRow(name, SimulateQuotas(options));
      }
    }
  }
}

} // namespace

int
RunQuota(const experiment_options& aOptions)
{
  MeasureFleet(aOptions, kSmallFleet);
  if (aOptions.full) {
    MeasureFleet(aOptions, kThinFleet);
    MeasureFleet(aOptions, kTargetFleet);
  }
  return 0;
}

} // namespace eelgrasstrack::bench
