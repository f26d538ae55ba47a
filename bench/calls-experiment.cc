#include <cstdio>
#include <nlohmann/json.hpp>

#include "experiments.h"
#include "figures.h"
#include "harness/load-generator.h"
#include "harness/local-fleet.h"

namespace eelgrasstrack::bench {

namespace {

using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Concurrent calls per upstream instance.
constexpr unsigned kSlots = 12;
constexpr int kServiceTimeMs = 5;
constexpr std::size_t kInstances = 2;

/// A fleet of four nodes: two accept calls, and each of the other two has one
/// upstream instance.
class calls_testbed
{
public:
  explicit calls_testbed(const experiment_options& aOptions)
    : mFleet(aOptions.programs, fleet_shape{ 4, 4 })
  {
  }

  bool Start()
  {
    mFleet.StartStore();
    mFleet.StartNodes();
    if (!mFleet.WaitUntilServing(seconds(30))) {
      return false;
    }
    json declaration = { { "operation_id", "bench" },
                         { "documents",
                           { { { "kind", "service" },
                               { "name", "echo" },
                               { "version", "v1" },
                               { "slots", kSlots },
                               { "connections", 110 },
                               { "queue", kSlots } },
                             { { "kind", "routes" },
                               { "name", "main" },
                               { "routes",
                                 { { { "name", "echo" },
                                     { "path_prefix", "/echo" },
                                     { "service", "echo" },
                                     { "timeout_ms", 1000 },
                                     { "repeatable", true } } } } } } } };
    http_result applied =
      mFleet.Rpc(0, "POST", "/v1/config/apply", &declaration);
    for (std::size_t i = 0; i < kInstances; ++i) {
      mUpstreams.push_back(mFleet.StartUpstream(
        2 + i,
        { "echo",
          "v1",
          kSlots,
          { "--delay-ms=" + std::to_string(kServiceTimeMs) } }));
    }
    // Waits until the warm-up of the new upstream instances is over.
    mFleet.RunFor(seconds(6));
    return applied && applied->status == 200;
  }

  /// Options for calls to the upstream instances if `aDirect`, else to the
  /// nodes.
  load_options MakeLoadOptions(bool aDirect)
  {
    load_options options;
    options.path = "/echo";
    options.method = "POST";
    options.callers = 100;
    options.timeout = seconds(2);
    for (std::size_t i = 0; i < kInstances; ++i) {
      options.targets.push_back(aDirect ? mFleet.UpstreamEndpoint(mUpstreams[i])
                                        : mFleet.NodeEndpoints(i).callers);
    }
    return options;
  }

  /// Generates `aRate` calls per second and waits for outstanding calls at the
  /// end.
  load_report RunLoad(load_options aOptions, double aRate, duration aDuration)
  {
    static unsigned sRun = 0;
    aOptions.calls_per_second = aRate;
    aOptions.name = "run-" + std::to_string(sRun++);
    load_generator generator(mFleet.Loop(), aOptions);
    generator.Start();
    mFleet.RunFor(aDuration);
    generator.Stop();
    mFleet.WaitUntil(seconds(5), [&] { return generator.Outstanding() == 0; });
    return generator.Report();
  }

  /// Processor time that all nodes have used so far.
  double ProcessorSeconds()
  {
    double sum = 0;
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      json dump = mFleet.RpcJson(i, "GET", "/v1/dump");
      sum += dump["processor_us"].get<double>() / 1e6;
    }
    return sum;
  }

private:
  local_fleet mFleet;
  std::vector<std::size_t> mUpstreams;
};

/// Prints the latency that the nodes add to a call at `aRate` calls per second,
/// compared with direct calls, and the proxied calls per core.
void
MeasureAddedLatency(calls_testbed& aTestbed,
                    std::size_t aBodyBytes,
                    double aRate)
{
  load_options proxiedOptions = aTestbed.MakeLoadOptions(false);
  load_options directOptions = aTestbed.MakeLoadOptions(true);
  proxiedOptions.body_bytes = aBodyBytes;
  directOptions.body_bytes = aBodyBytes;
  duration time = seconds(3);
  load_report directReport = aTestbed.RunLoad(directOptions, aRate, time);
  double processorBefore = aTestbed.ProcessorSeconds();
  load_report proxiedReport = aTestbed.RunLoad(proxiedOptions, aRate, time);
  double processorSeconds = aTestbed.ProcessorSeconds() - processorBefore;
  std::string suffix = "_" + std::to_string(aBodyBytes / 1024) + "kb_" +
                       std::to_string(static_cast<int>(aRate)) + "ps";
  struct quantile_row
  {
    const char* name;
    double quantile;
    const char* bound;
  };
  constexpr quantile_row kRows[] = { { "added_p50", 0.5, "-" },
                                     { "added_p99", 0.99, "1" },
                                     { "added_p999", 0.999, "-" } };
  for (const quantile_row& row : kRows) {
    PrintFigure(row.name + suffix,
                proxiedReport.Quantile(row.quantile) -
                  directReport.Quantile(row.quantile),
                "ms",
                row.bound);
  }
  PrintFigure("calls_per_core" + suffix,
              static_cast<double>(proxiedReport.succeeded) / processorSeconds,
              "calls/s");
}

/// Prints the goodput at multiples of `aCapacity`, in percent of the goodput at
/// capacity.
void
MeasureGoodput(calls_testbed& aTestbed, double aCapacity)
{
  double atCapacity = 0;
  for (int factor : { 1, 2, 5, 10 }) {
    duration time = seconds(3);
    load_report report = aTestbed.RunLoad(
      aTestbed.MakeLoadOptions(false), aCapacity * factor, time);
    double goodput = static_cast<double>(report.succeeded) /
                     std::chrono::duration<double>(time).count();
    atCapacity = factor == 1 ? goodput : atCapacity;
    PrintFigure("goodput_" + std::to_string(factor) + "x",
                100 * goodput / atCapacity,
                "%",
                factor == 10 ? "95" : "-");
  }
}

} // namespace

int
RunCalls(const experiment_options& aOptions)
{
  calls_testbed testbed(aOptions);
  if (!testbed.Start()) {
    std::fprintf(stderr,
                 "calls: fleet not ready in 30 s, or declaration refused\n");
    return 1;
  }
  // In calls per second: each slot of an instance serves one call at a time and
  // takes kServiceTimeMs for it.
  double capacity = kInstances * kSlots * 1000.0 / kServiceTimeMs;
  for (double loadFactor : { 0.05, 0.25, 0.5 }) {
    MeasureAddedLatency(testbed, 1024, capacity * loadFactor);
  }
  MeasureAddedLatency(testbed, 65536, capacity * 0.05);
  if (aOptions.full) {
    MeasureAddedLatency(testbed, std::size_t{ 4 } << 20U, 2);
  }
  MeasureGoodput(testbed, capacity);
  return 0;
}

} // namespace eelgrasstrack::bench
