#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "harness/load-generator.h"
#include "harness/local-fleet.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::seconds;

TEST_CASE("WholePath_DeclarationAppliedAtOneNode_CallsSucceedAtEveryNode",
          "[whole-path]")
{
  local_fleet fleet(EELGRASSTRACK_PROGRAMS, fleet_shape{ 4, 4 });
  fleet.StartStore();
  fleet.StartNodes();
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.StartUpstream(i, { "rota-board", "v1", 12, {} });
  }
  REQUIRE(fleet.WaitUntilServing(seconds(20)));
  auto applied = fleet.RunCtl(
    1, { "apply", std::string(EELGRASSTRACK_EXAMPLES) + "/seri-kenanga.json" });
  INFO(applied.output);
  REQUIRE(applied.status == 0);
  REQUIRE(fleet.WaitUntilVersion(1, seconds(15)));

  load_options options;
  for (std::size_t i = 0; i < 4; ++i) {
    options.targets.push_back(fleet.NodeEndpoints(i).callers);
  }
  options.path = "/status/branch-7";
  load_generator load(fleet.Loop(), options);
  fleet.RunFor(seconds(2));
  load.Start();
  fleet.RunFor(seconds(2));
  load.Stop();
  REQUIRE(
    fleet.WaitUntil(seconds(10), [&] { return load.Outstanding() == 0; }));
  REQUIRE(load.Report().started > 0);
  REQUIRE(load.Report().succeeded == load.Report().started);
  REQUIRE(load.Report().mismatched == 0);
}
