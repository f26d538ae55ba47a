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
/// Number of services at the size that the product is designed for.
constexpr std::size_t kServices = 140;

/// Processor time that this process has used so far.
double
ProcessorSeconds()
{
  return std::chrono::duration<double>(ProcessorTime()).count();
}

/// Bytes sent by all nodes together and by the node that sent the most.
struct sent_bytes
{
  double total = 0;
  double max_per_node = 0;
};

/// Bytes that the nodes have sent since the start.
sent_bytes
SentBytes(virtual_fleet& aFleet)
{
  sent_bytes sent;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    double nodeBytes = 0;
    for (std::uint64_t bytes : aFleet.TrafficOf(i).bytes) {
      nodeBytes += static_cast<double>(bytes);
    }
    sent.total += nodeBytes;
    sent.max_per_node = std::max(sent.max_per_node, nodeBytes);
  }
  return sent;
}

/// Configuration of the size that the product is designed for: kServices
/// services with one route each. `aChange` sets the version of the first
/// service.
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

/// Submits change `aChange` at a node and waits up to 100 ms of virtual time.
/// Returns the accepted version, or 0 if there is none.
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

/// Prints the average bytes per second that a node sent and received over the
/// last `aSeconds`. Each byte sent by one node is received by another, so the
/// result is twice the number of bytes sent.
void
PrintTrafficPerNode(virtual_fleet& aFleet,
                    const std::string& aName,
                    const sent_bytes& aBefore,
                    double aSeconds)
{
  double sentBytes = SentBytes(aFleet).total - aBefore.total;
  double nodes = static_cast<double>(aFleet.Size());
  PrintFigure(aName, 2 * sentBytes / nodes / aSeconds, "bytes/s", "9000");
}

/// Measures a fleet of `aNodes` nodes.
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
  PrintTrafficPerNode(
    fleet, "capacity_start" + suffix, sent_bytes{}, kStartSeconds);
  PrintFigure("capacity_start_reads_peak" + suffix,
              static_cast<double>(fleet.Store().PeakReads()),
              "reads/s",
              "2000");
  PrintFigure("capacity_start_writes_peak" + suffix,
              static_cast<double>(fleet.Store().PeakWrites()),
              "writes/s",
              "300");
  std::string disagreement = fleet.FindDisagreement();
  if (!disagreement.empty()) {
    std::printf("# nodes disagree 30 s after the start: %s\n",
                disagreement.c_str());
  }

  Apply(fleet, 0, 0);
  fleet.Advance(seconds(5));
  constexpr double kIdleSeconds = 10;
  sent_bytes before = SentBytes(fleet);
  std::uint64_t callsBefore = fleet.Store().Calls();
  double processorBefore = ProcessorSeconds();
  fleet.Advance(seconds(10));
  PrintTrafficPerNode(fleet, "capacity_idle" + suffix, before, kIdleSeconds);
  // An upper bound, because it includes the simulated store and network.
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

  before = SentBytes(fleet);
  std::uint64_t version = Apply(fleet, 1, 1);
  duration convergenceTime = fleet.MeasureConvergenceTime(version, seconds(15));
  PrintFigure(
    "capacity_convergence" + suffix,
    std::chrono::duration<double, std::milli>(convergenceTime).count(),
    "ms",
    "15000");
  fleet.Advance(seconds(1));
  PrintFigure("capacity_change_bytes" + suffix,
              2 * (SentBytes(fleet).total - before.total) /
                static_cast<double>(aNodes),
              "bytes");

  before = SentBytes(fleet);
  constexpr std::size_t kRestarts = 4;
  constexpr double kChurnSeconds = 20;
  for (std::size_t i = 0; i < kRestarts; ++i) {
    std::size_t restarted = 7 + i * 13;
    fleet.Kill(restarted % aNodes);
    fleet.Advance(seconds(1));
    fleet.Start(restarted % aNodes);
    fleet.Advance(seconds(4));
  }
  double nodes = static_cast<double>(aNodes);
  double perNode = 2 * (SentBytes(fleet).total - before.total) / nodes;
  PrintFigure(
    "capacity_churn" + suffix, perNode / kChurnSeconds, "bytes/s", "9000");

  before = SentBytes(fleet);
  for (std::size_t i = 3; i < aNodes; i += kDomains) {
    fleet.Kill(i);
  }
  fleet.Advance(seconds(20));
  PrintTrafficPerNode(fleet, "capacity_domain_lost" + suffix, before, 20);
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
