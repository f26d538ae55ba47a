#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

#include "experiments.h"
#include "figures.h"
#include "harness/local-fleet.h"

namespace eelgrasstrack::bench {

namespace {

using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::seconds;

/// Sums of the counters of all nodes at one point in time.
struct fleet_totals
{
  double control_bytes = 0;
  double processor_us = 0;
  double resident_bytes = 0;
  std::map<std::string, double> bytes_by_kind;
};

fleet_totals
FleetTotals(local_fleet& aFleet)
{
  fleet_totals totals;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    json dump = aFleet.RpcJson(i, "GET", "/v1/dump");
    totals.processor_us += dump["processor_us"].get<double>();
    totals.resident_bytes += dump["resident_bytes"].get<double>();
    for (const auto& [kind, count] : dump["traffic"].items()) {
      if (!count["control"].get<bool>()) {
        continue;
      }
      double bytes = count["sent_bytes"].get<double>() +
                     count["received_bytes"].get<double>();
      totals.control_bytes += bytes;
      totals.bytes_by_kind[kind] += bytes;
    }
  }
  return totals;
}

/// Number of object calls that the store has handled so far, without the calls
/// that it refused.
double
StoreCalls(local_fleet& aFleet)
{
  json counts = aFleet.StoreCallCounts();
  return counts["reads"].get<double>() + counts["writes"].get<double>() +
         counts["watches"].get<double>();
}

/// Runs the fleet for `aSeconds`, calls `aDisturbance` once per second, and
/// prints the resources used per node and the store calls of the fleet.
/// `aLabel` names the state of the fleet: idle, change or churn.
template<typename disturbance>
void
Measure(local_fleet& aFleet,
        const std::string& aLabel,
        const std::string& aSuffix,
        int aSeconds,
        disturbance aDisturbance)
{
  fleet_totals before = FleetTotals(aFleet);
  double callsBefore = StoreCalls(aFleet);
  time_point started = aFleet.Loop().Now();
  for (int i = 0; i < aSeconds; ++i) {
    aDisturbance(i);
    aFleet.RunFor(seconds(1));
  }
  fleet_totals after = FleetTotals(aFleet);
  double elapsedSeconds =
    std::chrono::duration<double>(aFleet.Loop().Now() - started).count();
  double nodeSeconds = elapsedSeconds * static_cast<double>(aFleet.Size());
  PrintFigure("control_" + aLabel + aSuffix,
              (after.control_bytes - before.control_bytes) / nodeSeconds,
              "bytes/s",
              "9000");
  PrintFigure("control_cpu_" + aLabel + aSuffix,
              (after.processor_us - before.processor_us) / nodeSeconds / 10000,
              "%",
              "3.2");
  PrintFigure("store_calls_" + aLabel + aSuffix,
              (StoreCalls(aFleet) - callsBefore) / elapsedSeconds,
              "calls/s",
              "2000");
  for (const auto& [kind, bytes] : after.bytes_by_kind) {
    double bytesPerSecond = (bytes - before.bytes_by_kind[kind]) / nodeSeconds;
    if (bytesPerSecond > 0) {
      PrintFigure(
        "control_" + aLabel + "_" + kind + aSuffix, bytesPerSecond, "bytes/s");
    }
  }
  PrintFigure("memory_" + aLabel + aSuffix,
              after.resident_bytes / static_cast<double>(aFleet.Size()) / 1e6,
              "MB",
              "256");
}

/// Measures a fleet of `aNodes` nodes for `aSeconds` in each state.
int
RunSize(const experiment_options& aOptions, std::size_t aNodes, int aSeconds)
{
  fleet_shape shape;
  shape.nodes = aNodes;
  shape.domains = 4;
  local_fleet fleet(aOptions.programs, shape);
  fleet.StartStore();
  fleet.StartNodes();
  if (!fleet.WaitUntilServing(seconds(60))) {
    std::fprintf(stderr,
                 "control: the nodes did not all become ready in 60 s\n");
    return 1;
  }
  fleet.RunFor(seconds(4));
  std::string suffix = "_n" + std::to_string(aNodes);
  Measure(fleet, "idle", suffix, aSeconds, [](int) {});
  unsigned changeNumber = 0;
  Measure(fleet, "change", suffix, aSeconds, [&](int aSecond) {
    // Represents one change per minute; applied every 5 s so that its cost is
    // visible in a short run.
    if (aSecond % 5 == 0) {
      json change = {
        { "operation_id", "change-" + std::to_string(changeNumber) },
        { "documents",
          { { { "kind", "service" },
              { "name", "service-1" },
              { "version", "v" + std::to_string(changeNumber++) } } } }
      };
      fleet.Rpc(0, "POST", "/v1/config/apply", &change);
    }
  });
  Measure(fleet, "churn", suffix, aSeconds, [&](int aSecond) {
    if (aSecond % 5 == 0) {
      std::size_t restarted = 1 + static_cast<std::size_t>(aSecond) / 5;
      fleet.Node(restarted).Kill();
      fleet.StartNode(restarted);
    }
  });
  return 0;
}

} // namespace

int
RunControl(const experiment_options& aOptions)
{
  int status = RunSize(aOptions, 16, 5);
  status += RunSize(aOptions, 64, 5);
  if (aOptions.full) {
    status += RunSize(aOptions, 128, 20);
    status += RunSize(aOptions, 256, 20);
  }
  return status;
}

} // namespace eelgrasstrack::bench
