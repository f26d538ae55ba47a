#ifndef EELGRASSTRACK_INTEGRATION_FIXTURE_H_
#define EELGRASSTRACK_INTEGRATION_FIXTURE_H_

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "harness/fault-proxy.h"
#include "harness/load-generator.h"
#include "harness/local-fleet.h"

namespace eelgrasstrack::harness {

/// Runs a local fleet, four nodes by default, with helpers for the tests.
class deployment_fixture
{
public:
  explicit deployment_fixture(fleet_shape aShape = fleet_shape{ 4, 4 })
    : fleet(EELGRASSTRACK_PROGRAMS, std::move(aShape))
  {
  }

  /// Starts the store and the nodes and waits until all nodes serve.
  void Start()
  {
    fleet.StartStore();
    fleet.StartNodes();
    REQUIRE(fleet.WaitUntilServing(std::chrono::seconds(30)));
  }

  /// Applies an example declaration and waits until all nodes have version 1.
  void ApplyExample(const std::string& aName, std::size_t aNode = 0)
  {
    auto applied = fleet.RunCtl(
      aNode,
      { "apply", std::string(EELGRASSTRACK_EXAMPLES) + "/" + aName + ".json" });
    INFO(applied.output);
    REQUIRE(applied.status == 0);
    REQUIRE(fleet.WaitUntilVersion(1, std::chrono::seconds(15)));
  }

  /// Applies one service document and returns the answer, also if it is an
  /// error.
  http_result ApplyService(std::size_t aNode,
                           const std::string& aName,
                           const std::string& aOperation)
  {
    nlohmann::json body = {
      { "operation_id", aOperation },
      { "documents",
        { { { "kind", "service" }, { "name", aName }, { "version", "v1" } } } }
    };
    return fleet.Rpc(aNode, "POST", "/v1/config/apply", &body);
  }

  /// Waits until a node knows exactly `aCount` upstreams of a version that
  /// accept calls.
  bool WaitForUpstreams(std::size_t aNode,
                        const std::string& aVersion,
                        std::size_t aCount)
  {
    return fleet.WaitUntil(std::chrono::seconds(15), [&] {
      return CountUpstreams(aNode, aVersion) == aCount;
    });
  }

  /// Number of upstreams of a version that accept calls, according to a node.
  std::size_t CountUpstreams(std::size_t aNode, const std::string& aVersion)
  {
    nlohmann::json dump = fleet.RpcJson(aNode, "GET", "/v1/dump");
    std::size_t count = 0;
    for (const nlohmann::json& member : dump["members"]) {
      bool acceptsCalls = member["state"] == "alive" &&
                          member.contains("upstream") &&
                          member["upstream"]["version"] == aVersion &&
                          !member["upstream"]["leaving"].get<bool>();
      count += acceptsCalls ? 1 : 0;
    }
    return count;
  }

  /// Returns options for a load on all nodes.
  load_options MakeLoadOptions(const std::string& aMethod,
                               const std::string& aPath)
  {
    load_options options;
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      options.targets.push_back(fleet.NodeEndpoints(i).callers);
    }
    options.method = aMethod;
    options.path = aPath;
    return options;
  }

  /// Number of executions of each request id, over all upstreams.
  std::map<std::string, unsigned> Executions()
  {
    std::map<std::string, unsigned> counts;
    std::ifstream log(fleet.Folder() + "/executions.log");
    std::string id;
    std::string version;
    while (log >> id >> version) {
      ++counts[id];
    }
    return counts;
  }

  /// Requires that no node that answers reports a broken invariant.
  void RequireNoBrokenInvariant()
  {
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      nlohmann::json dump = fleet.RpcJson(i, "GET", "/v1/dump");
      if (!dump.is_object()) {
        continue;
      }
      for (const auto& [name, count] : dump["invariants"].items()) {
        INFO("node " << i << " " << name);
        REQUIRE(count["broken"] == 0);
      }
    }
  }

  /// Waits until no call of a load generator is outstanding.
  bool WaitUntilDrained(load_generator& aLoad)
  {
    return fleet.WaitUntil(std::chrono::seconds(20),
                           [&] { return aLoad.Outstanding() == 0; });
  }

  local_fleet fleet;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_INTEGRATION_FIXTURE_H_
