#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "experiments.h"
#include "figures.h"
#include "harness/local-fleet.h"

namespace eelgrasstrack::bench {

namespace {

using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 4;
/// Required limit of the convergence time, in milliseconds.
constexpr const char* kTargetBoundMs = "15000";

/// One fleet to measure.
struct convergence_case
{
  std::size_t nodes;
  /// Distribution mode of the nodes: `overlay`, `watch-all` or `poll`.
  const char* mode;
  /// Makes the store unavailable as soon as it has accepted a change.
  bool store_fails;
  unsigned changes;
};

/// Milliseconds from `aStartMs` until each node logged that the version is in
/// force; nodes that have not logged it yet are missing.
std::vector<double>
DelaysUntilInForce(const local_fleet& aFleet,
                   std::int64_t aVersion,
                   double aStartMs);

/// Time of day of a log line's timestamp, in milliseconds; -1 if the line has
/// no timestamp.
double
TimestampMs(const char* aLine)
{
  int hour = 0;
  int minute = 0;
  double second = 0;
  if (std::sscanf(aLine, "%*4d-%*2d-%*2dT%d:%d:%lf", &hour, &minute, &second) !=
      3) {
    return -1;
  }
  return ((hour * 60.0 + minute) * 60.0 + second) * 1000.0;
}

std::vector<double>
DelaysUntilInForce(const local_fleet& aFleet,
                   std::int64_t aVersion,
                   double aStartMs)
{
  std::vector<double> delays;
  std::string wanted =
    "event=config_in_force version=" + std::to_string(aVersion) + " ";
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    std::string name = aFleet.Folder() + "/node-" + std::to_string(i) + ".log";
    std::FILE* file = std::fopen(name.c_str(), "r");
    char line[512];
    while (file != nullptr && std::fgets(line, sizeof(line), file) != nullptr) {
      if (std::string(line).find(wanted) != std::string::npos) {
        delays.push_back(TimestampMs(line) - aStartMs);
      }
    }
    if (file != nullptr) {
      std::fclose(file);
    }
  }
  return delays;
}

/// Current time of day (UTC), in milliseconds.
double
WallClockMs()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  auto ms = std::chrono::duration<double, std::milli>(now).count();
  constexpr double kMsPerDay = 86400000;
  return ms - static_cast<double>(static_cast<std::int64_t>(ms / kMsPerDay)) *
                kMsPerDay;
}

json
ServiceChange(unsigned aNumber)
{
  return { { "operation_id", "change-" + std::to_string(aNumber) },
           { "documents",
             { { { "kind", "service" },
                 { "name", "service-" + std::to_string(aNumber % 10) },
                 { "version", "v" + std::to_string(aNumber) } } } } };
}

/// Applies the changes of one case and prints its figures.
int
RunCase(const experiment_options& aOptions, const convergence_case& aCase)
{
  fleet_shape shape;
  shape.nodes = aCase.nodes;
  shape.domains = kDomains;
  shape.node_flags = { std::string("--distribution=") + aCase.mode };
  local_fleet fleet(aOptions.programs, shape);
  fleet.StartStore();
  fleet.StartNodes();
  if (!fleet.WaitUntilServing(seconds(60))) {
    std::fprintf(stderr,
                 "convergence: the nodes did not all become ready in 60 s\n");
    return 1;
  }
  fleet.RunFor(seconds(3));
  json countsBefore = fleet.StoreCallCounts();
  std::vector<double> allDelays;
  double worstDelay = 0;
  for (unsigned i = 0; i < aCase.changes; ++i) {
    json change = ServiceChange(i);
    double startMs = WallClockMs();
    http_result accepted =
      fleet.Rpc(i % aCase.nodes, "POST", "/v1/config/apply", &change);
    if (!accepted || accepted->status != 200) {
      std::fprintf(stderr,
                   "convergence: a change was refused or not answered\n");
      return 1;
    }
    if (aCase.store_fails) {
      fleet.SetFaults(fleet.StoreEndpoint(), { { "out", true } });
    }
    std::int64_t version = json::parse(accepted->body)["version"];
    std::vector<double> delays;
    bool everywhere = fleet.WaitUntil(seconds(20), [&] {
      delays = DelaysUntilInForce(fleet, version, startMs);
      return delays.size() == aCase.nodes;
    });
    if (!everywhere) {
      std::fprintf(
        stderr,
        "convergence: version %ld is not in force on all nodes after 20 s\n",
        version);
      return 1;
    }
    allDelays.insert(allDelays.end(), delays.begin(), delays.end());
    worstDelay =
      std::max(worstDelay, *std::max_element(delays.begin(), delays.end()));
    if (aCase.store_fails) {
      fleet.SetFaults(fleet.StoreEndpoint(), { { "out", false } });
      fleet.RunFor(seconds(1));
    }
  }
  json counts = fleet.StoreCallCounts();
  std::sort(allDelays.begin(), allDelays.end());
  std::string suffix = "_n" + std::to_string(aCase.nodes) + "_store_" +
                       (aCase.store_fails ? "down" : "up");
  std::string prefix = std::string(aCase.mode) == "overlay"
                         ? ""
                         : "baseline_" + std::string(aCase.mode) + "_";
  PrintFigure(prefix + "convergence_median" + suffix,
              allDelays[allDelays.size() / 2],
              "ms",
              kTargetBoundMs);
  PrintFigure(
    prefix + "convergence_worst" + suffix, worstDelay, "ms", kTargetBoundMs);
  double calls = 0;
  for (const char* kind : { "reads", "writes", "watches" }) {
    calls += counts[kind].get<double>() - countsBefore[kind].get<double>();
  }
  PrintFigure(
    prefix + "store_calls_per_change" + suffix, calls / aCase.changes, "calls");
  return 0;
}

} // namespace

int
RunConvergence(const experiment_options& aOptions)
{
  std::vector<convergence_case> cases{
    { 4, "overlay", false, 5 },    { 16, "overlay", false, 5 },
    { 64, "overlay", false, 5 },   { 64, "overlay", true, 3 },
    { 64, "watch-all", false, 3 },
  };
  if (aOptions.full) {
    cases.push_back({ 128, "overlay", false, 5 });
    cases.push_back({ 128, "overlay", true, 5 });
    cases.push_back({ 256, "overlay", false, 3 });
    cases.push_back({ 128, "watch-all", false, 5 });
    cases.push_back({ 64, "poll", false, 3 });
    cases.push_back({ 128, "poll", false, 3 });
  }
  for (const convergence_case& each : cases) {
    if (RunCase(aOptions, each) != 0) {
      return 1;
    }
  }
  return 0;
}

} // namespace eelgrasstrack::bench
