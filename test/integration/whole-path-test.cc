#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "harness/load-generator.h"
#include "harness/local-fleet.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::seconds;

TEST_CASE("WholePath_DeclarationAppliedAtOneNode_CallsComeBackWholeEverywhere",
          "[whole-path]")
{
  local_fleet fleet(EELGRASSTRACK_PROGRAMS, fleet_shape{ 4, 4 });
  fleet.StartStore();
  fleet.StartNodes();
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.StartUpstream(i, { "rota-board", "v1", 12, {} });
  }
  REQUIRE(fleet.WaitServing(seconds(20)));
  auto applied = fleet.Ctl(
    1, { "apply", std::string(EELGRASSTRACK_EXAMPLES) + "/seri-kenanga.json" });
  INFO(applied.output);
  REQUIRE(applied.status == 0);
  REQUIRE(fleet.WaitVersion(1, seconds(15)));

  load_options options;
  for (std::size_t i = 0; i < 4; ++i) {
    options.targets.push_back(fleet.Place(i).callers);
  }
  options.path = "/status/branch-7";
  load_generator load(fleet.Loop(), options);
  fleet.RunFor(seconds(2));
  load.Start();
  fleet.RunFor(seconds(2));
  load.Stop();
  REQUIRE(
    fleet.WaitUntil(seconds(10), [&] { return load.Outstanding() == 0; }));
  REQUIRE(load.Report().begun > 0);
  REQUIRE(load.Report().good == load.Report().begun);
  REQUIRE(load.Report().wrong == 0);
}
