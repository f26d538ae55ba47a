#include "harness/store-world.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Three nodes of one failure domain.
class config_knowledge_fixture : public store_world
{
public:
  config_knowledge_fixture()
  {
    for (const char* name : { "node-1", "node-2", "node-3" }) {
      AddNode(name, "v1");
    }
    RunUntil([this] { return AllHold(3); });
  }

  static json ConfigurationAt(const test_node& aNode)
  {
    return json::parse(aNode.node->Dump()).at("configuration");
  }

  bool AllKnowStoreAge() const
  {
    return std::all_of(nodes.begin(), nodes.end(), [](const auto& aNode) {
      return ConfigurationAt(*aNode).contains("store_age_ms");
    });
  }
};

} // namespace

// Guards against a node that can't tell from whom its configuration is.
TEST_CASE_METHOD(config_knowledge_fixture,
                 "config knowledge, new version, names its source",
                 "[config-knowledge]")
{
  store.Put("config", "main", TableSpec(5));
  REQUIRE(RunUntil([this] { return AllHold(5); }));
  for (const auto& each : nodes) {
    std::string source = ConfigurationAt(*each).at("source");
    std::string metrics = each->node->Metrics();
    CAPTURE(each->settings.name, source);
    CHECK((source == "store" || source.starts_with("node-")));
    CHECK(metrics.find("eelgrasstrack_config_source{source=\"" + source +
                       "\"} 1\n") != std::string::npos);
    CHECK(metrics.find("eelgrasstrack_config_age_seconds ") !=
          std::string::npos);
  }
}

// Guards against a node that serves an old configuration and can't tell how old
// its knowledge of the store is.
TEST_CASE_METHOD(config_knowledge_fixture,
                 "config knowledge, store stops answering, age grows at all",
                 "[config-knowledge]")
{
  REQUIRE(RunUntil([this] { return AllKnowStoreAge(); }));
  constexpr milliseconds kOutage{ 4000 };
  store.SetFault(platform_store::fault::unavailable);
  RunFor(kOutage);
  for (const auto& each : nodes) {
    CAPTURE(each->settings.name);
    // A watch that began before the outage may end during it.
    constexpr milliseconds kLongestWatch{ 2500 };
    CHECK(ConfigurationAt(*each).at("store_age_ms").get<int>() >=
          (kOutage - kLongestWatch).count());
  }
}
