#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "harness/service-mesh.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Two instances in different failure domains: that of `first` is "a", that of
/// `second` is "b".
class evacuation_fixture : public service_mesh
{
public:
  static constexpr int kRequests = 40;
  evacuation_table table;

  evacuation_fixture() { table.SetEnabled(true); }
};

} // namespace

// Guards against EVAC: requests reach instances of an evacuated failure domain.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation, ordered, instances there get nothing until it is "
                 "taken back",
                 "[evacuation]")
{
  world.Store().SetEvacuated({ "a" });
  unsigned before = world.RunCount(first);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(first) == before);
  world.Store().SetEvacuated({});
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(first) > before);
}

// Guards against EVAC: no other failure domain has an instance of the service.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation, of all failure domains, requests are refused as "
                 "not run",
                 "[evacuation]")
{
  world.Store().SetEvacuated({ "a", "b" });
  result<buffered_response> answer =
    world.SendRequest(fronts[0], "GET", "/orders/1");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(FindField(answer->fields, "Retry-After") != nullptr);
}

// Guards against EVAC: a first hop that hasn't heard of the evacuation.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation, unknown to the first hop, last hop refuses and "
                 "another instance serves",
                 "[evacuation]")
{
  world.SetStoreRejects(fronts[0], true);
  world.SetStoreRejects(fronts[1], true);
  world.SetStoreRejects(second, true);
  // No message has carried the order to the front hosts yet.
  world.Store().SetEvacuated({ "a" });
  unsigned before = world.RunCount(first);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(first) == before);
}

// Guards against EVAC: a node turned away by the store, and one that starts
// again, hear of the evacuation from other nodes.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation, store turns a node away, other nodes tell it",
                 "[evacuation]")
{
  world.SetStoreRejects(first, true);
  world.Store().SetEvacuated({ "a" });
  world.RunFor(milliseconds(200));
  auto evacuated = [this] {
    return nlohmann::json::parse(world.Node(first).Dump()).at("evacuated");
  };
  CHECK(evacuated() == nlohmann::json({ "a" }));
  world.RestartNode(first);
  world.RunFor(milliseconds(500));
  CHECK(evacuated() == nlohmann::json({ "a" }));
}

// Guards against an earlier snapshot undoing a later one, also of a store that
// was restored and gives out revisions again.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation table, earlier snapshot, keeps the later one",
                 "[evacuation]")
{
  CHECK(table.Merge({ { 1, 20 }, { "a" } }));
  CHECK_FALSE(table.Merge({ { 1, 19 }, {} }));
  CHECK(table.Contains("a"));
  CHECK_FALSE(table.Merge({ { 1, 25 }, { "a" } })); // no change of the set
  CHECK_FALSE(table.Merge({ { 1, 24 }, {} }));
  CHECK(table.Merge({ { 2, 5 }, {} }));
  CHECK_FALSE(table.Contains("a"));
}

TEST_CASE("evacuation snapshot, malformed, is refused", "[evacuation]")
{
  using nlohmann::json;
  CHECK_FALSE(DecodeEvacuations(json::object()));
  CHECK_FALSE(
    DecodeEvacuations({ { "era", 1 }, { "rev", -2 }, { "domains", { "a" } } }));
  CHECK_FALSE(
    DecodeEvacuations({ { "era", 1 }, { "rev", 2 }, { "domains", { 7 } } }));
  evacuation_snapshot sent{ { 1, 7 }, { "a", "b" } };
  result<evacuation_snapshot> received =
    DecodeEvacuations(EncodeEvacuations(sent));
  REQUIRE(received);
  CHECK(received->revision == sent.revision);
  CHECK(received->domains == sent.domains);
}
