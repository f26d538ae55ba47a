#include <chrono>
#include <cstdio>
#include <unistd.h>

#include "daemon/state-dump.h"
#include "experiments.h"
#include "figures.h"
#include "harness/virtual-fleet.h"

namespace eelgrasstrack::bench {

namespace {

using namespace eelgrasstrack::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 13;
constexpr std::size_t kServices = 140;

double
ProcessorSeconds()
{
  return std::chrono::duration<double>(ProcessorTime()).count();
}

struct fleet_sums
{
  double control = 0;
  double worst = 0;
};

/// Bytes sent by all nodes, and by the node that sent most.
fleet_sums
SumOf(virtual_fleet& aFleet)
{
  fleet_sums sums;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    double own = 0;
    for (std::uint64_t bytes : aFleet.TrafficOf(i).bytes) {
      own += static_cast<double>(bytes);
    }
    sums.control += own;
    sums.worst = std::max(sums.worst, own);
  }
  return sums;
}

/// A configuration of the target's size: services with one route each.
document_map
TargetDocuments(unsigned aChange)
{
  document_map documents;
  for (std::size_t i = 0; i < kServices; ++i) {
    service_declaration service;
    service.name = "service-" + std::to_string(i);
    service.version = i == 0 ? "v" + std::to_string(aChange) : "v1";
    config_document document = DocumentOf(service);
    documents[document.key] = document.text;
    std::string routes = "routes/routes-" + std::to_string(i);
    documents[routes] = R"({"kind":"routes","name":"routes-)" +
                        std::to_string(i) + R"(","routes":[{"name":"route-)" +
                        std::to_string(i) + R"(","path_prefix":"/service-)" +
                        std::to_string(i) + R"(","service":"service-)" +
                        std::to_string(i) + R"("}]})";
  }
  return documents;
}

std::uint64_t
Apply(virtual_fleet& aFleet, std::size_t aNode, unsigned aChange)
{
  std::uint64_t version = 0;
  config_command command;
  command.operation_id = "change-" + std::to_string(aChange);
  command.edit = [aChange](document_map& aDocuments) {
    aDocuments = TargetDocuments(aChange);
    return result<void>();
  };
  aFleet.Node(aNode).Submit(command,
                            [&](const result<accepted_config>& aAccepted) {
                              version = aAccepted ? aAccepted->version : 0;
                            });
  for (int i = 0; i < 100 && version == 0; ++i) {
    aFleet.Advance(milliseconds(1));
  }
  return version;
}

/// Runs `aSeconds` and prints bytes sent and received by a node in a second.
/// What one node sends another receives, so that is twice what is sent.
void
PrintBytes(virtual_fleet& aFleet,
           const std::string& aName,
           const fleet_sums& aBefore,
           double aSeconds)
{
  double sent = SumOf(aFleet).control - aBefore.control;
  double nodes = static_cast<double>(aFleet.Size());
  PrintFigure(aName, 2 * sent / nodes / aSeconds, "bytes/s", "9000");
}

void
RunSize(const experiment_options& aOptions, std::size_t aNodes)
{
  std::string suffix = "_n" + std::to_string(aNodes);
  double residentBefore = static_cast<double>(ResidentBytes());
  virtual_fleet_options options;
  options.nodes = aNodes;
  options.domains = kDomains;
  options.seed = aOptions.seed;
  options.count_bytes = true;
  virtual_fleet fleet(options);

  constexpr double kStartSeconds = 30;
  fleet.StartAll();
  fleet.Advance(seconds(30));
  PrintBytes(fleet, "capacity_start" + suffix, fleet_sums{}, kStartSeconds);
  PrintFigure("capacity_start_reads_peak" + suffix,
              static_cast<double>(fleet.Store().PeakReads()),
              "reads/s",
              "2000");
  PrintFigure("capacity_start_writes_peak" + suffix,
              static_cast<double>(fleet.Store().PeakWrites()),
              "writes/s",
              "300");
  std::string trouble = fleet.FindDisagreement();
  if (!trouble.empty()) {
    std::printf("# after the start: %s\n", trouble.c_str());
  }

  Apply(fleet, 0, 0);
  fleet.Advance(seconds(5));
  constexpr double kIdleSeconds = 10;
  fleet_sums before = SumOf(fleet);
  std::uint64_t callsBefore = fleet.Store().Calls();
  double processorBefore = ProcessorSeconds();
  fleet.Advance(seconds(10));
  PrintBytes(fleet, "capacity_idle" + suffix, before, kIdleSeconds);
  // Includes the fakes, so it is an upper bound.
  PrintFigure("capacity_idle_cpu" + suffix,
              100 * (ProcessorSeconds() - processorBefore) / kIdleSeconds /
                static_cast<double>(aNodes),
              "%",
              "3.2");
  PrintFigure("capacity_idle_store" + suffix,
              static_cast<double>(fleet.Store().Calls() - callsBefore) /
                kIdleSeconds,
              "calls/s",
              "2000");
  PrintFigure("capacity_memory" + suffix,
              (static_cast<double>(ResidentBytes()) - residentBefore) /
                static_cast<double>(aNodes) / 1e6,
              "MB",
              "256");

  before = SumOf(fleet);
  std::uint64_t version = Apply(fleet, 1, 1);
  duration took = fleet.MeasureConvergenceTime(version, seconds(15));
  PrintFigure("capacity_convergence" + suffix,
              std::chrono::duration<double, std::milli>(took).count(),
              "ms",
              "15000");
  fleet.Advance(seconds(1));
  PrintFigure("capacity_change_bytes" + suffix,
              2 * (SumOf(fleet).control - before.control) /
                static_cast<double>(aNodes),
              "bytes");

  before = SumOf(fleet);
  constexpr std::size_t kRestarts = 4;
  constexpr double kChurnSeconds = 20;
  for (std::size_t i = 0; i < kRestarts; ++i) {
    std::size_t victim = 7 + i * 13;
    fleet.Kill(victim % aNodes);
    fleet.Advance(seconds(1));
    fleet.Start(victim % aNodes);
    fleet.Advance(seconds(4));
  }
  double nodes = static_cast<double>(aNodes);
  double perNode = 2 * (SumOf(fleet).control - before.control) / nodes;
  PrintFigure(
    "capacity_churn" + suffix, perNode / kChurnSeconds, "bytes/s", "9000");

  before = SumOf(fleet);
  for (std::size_t i = 3; i < aNodes; i += kDomains) {
    fleet.Kill(i);
  }
  fleet.Advance(seconds(20));
  PrintBytes(fleet, "capacity_domain_lost" + suffix, before, 20);
}

} // namespace

int
RunCapacity(const experiment_options& aOptions)
{
  for (std::size_t nodes : { 65, 130, 260 }) {
    RunSize(aOptions, nodes);
  }
  if (aOptions.full) {
    for (std::size_t nodes : { 520, 1040 }) {
      RunSize(aOptions, nodes);
    }
  }
  return 0;
}

} // namespace eelgrasstrack::bench
