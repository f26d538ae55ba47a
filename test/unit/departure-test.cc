#include <catch2/catch.hpp>

#include "harness/service-mesh.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// The first of two instances leaves and goes on serving; its node
/// starts again.
class departure_fixture : public service_mesh
{
public:
  departure_fixture() { world.RunFor(milliseconds(1000)); }

  /// The instance reports its exit. Returns whether that was acknowledged
  /// within a second; `aAtAcknowledgement` is called at that moment.
  bool ReportExit(const std::function<void()>& aAtAcknowledgement = [] {})
  {
    return Acknowledge(world.Node(leaver).HandleInstanceExit({ kInstance, {} }),
                       aAtAcknowledgement);
  }

  bool Acknowledge(
    const instance_incarnation& aDeparture,
    const std::function<void()>& aAtAcknowledgement = [] {})
  {
    std::optional<bool> acknowledged;
    world.Node(leaver).AcknowledgeDeparture(
      aDeparture,
      [&acknowledged, &aAtAcknowledgement](const result<void>& aDone) {
        acknowledged = aDone.has_value();
        aAtAcknowledgement();
      });
    for (int i = 0; i < 100 && !acknowledged; ++i) {
      world.RunFor(milliseconds(10));
    }
    REQUIRE(acknowledged);
    return *acknowledged;
  }

  bool StoreKnows()
  {
    return world.Store().hosts[kNode].instance.state == instance_state::gone;
  }

  /// Number of other nodes that take the instance for gone.
  std::size_t NodesThatKnow()
  {
    std::size_t count = 0;
    for (std::size_t host : { fronts[0], fronts[1], second }) {
      count += world.KnownState(host, leaver) == "gone" ? 1 : 0;
    }
    return count;
  }

  /// Sends requests through the node beside the instance and the others, and
  /// returns how many of them the instance gets.
  unsigned RunsAtLeaver()
  {
    unsigned before = world.RunCount(leaver);
    CHECK(Send(kRequests) == kRequests);
    for (int i = 0; i < kRequests; ++i) {
      result<buffered_response> answer =
        world.SendRequest(leaver, "GET", "/orders/1");
      CHECK((answer && answer->status == 200));
    }
    return world.RunCount(leaver) - before;
  }

  static constexpr const char* kInstance = "i-2";
  static constexpr std::int64_t kBorn = 1000;
  static constexpr const char* kNode = "node-2";
  static constexpr int kRequests = 100;
  const std::size_t leaver = first;
};

/// The nodes of a mesh, all of which were killed, with what the store holds.
class restarted_mesh
{
public:
  explicit restarted_mesh(const std::map<std::string, host_record>& aEntries)
  {
    for (const auto& [name, entry] : aEntries) {
      std::size_t host = world.AddRestartedHost(entry);
      mLeaver = name == departure_fixture::kNode ? host : mLeaver;
    }
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunFor(milliseconds(500));
  }

  /// Sends requests through each node. Returns whether all were served.
  bool Serves()
  {
    bool served = true;
    for (int i = 0; i < departure_fixture::kRequests; ++i) {
      std::size_t host = static_cast<std::size_t>(i) % kHosts;
      result<buffered_response> answer =
        world.SendRequest(host, "GET", "/orders/1");
      served = served && answer && answer->status == 200;
    }
    return served;
  }

  /// Number of requests that the instance that leaves has run.
  unsigned RunsAtLeaver() const { return world.RunCount(mLeaver); }

  static constexpr std::size_t kHosts = 4;
  mesh_world world;

private:
  std::size_t mLeaver = 0;
};

} // namespace

// Guards against DRAIN: a node acknowledges a departure that only it knows, and
// forgets it when it starts again.
TEST_CASE_METHOD(departure_fixture,
                 "departure, acknowledged, is in the store",
                 "[departure]")
{
  CHECK(ReportExit([this] { CHECK(StoreKnows()); }));
}

TEST_CASE_METHOD(departure_fixture,
                 "departure, acknowledged, node starts again, instance gets no "
                 "requests",
                 "[departure]")
{
  bool drains = GENERATE(false, true);
  if (drains) {
    world.Announce(leaver, instance_state::draining);
    REQUIRE(Acknowledge({ kInstance, kBorn }));
  } else {
    REQUIRE(ReportExit());
  }
  world.RestartNode(leaver);
  world.RunFor(milliseconds(500));
  CHECK(RunsAtLeaver() == 0);
  world.Announce(leaver, instance_state::ready); // a late heartbeat
  world.RunFor(milliseconds(300));
  CHECK(RunsAtLeaver() == 0);
}

// Guards against DRAIN: a departure is acknowledged on the word of processes
// that may all be killed.
TEST_CASE_METHOD(departure_fixture,
                 "departure, store away, is not acknowledged although other "
                 "nodes know it",
                 "[departure]")
{
  world.Store().unavailable = true;
  CHECK_FALSE(ReportExit([this] { CHECK(NodesThatKnow() >= 2); }));
}

// Guards against instances that leave without an acknowledgement: the store is
// back, and the departure is asked for again.
TEST_CASE_METHOD(departure_fixture,
                 "departure, reported again after an outage of the store, is "
                 "acknowledged",
                 "[departure]")
{
  world.Store().unavailable = true;
  REQUIRE_FALSE(ReportExit());
  world.Store().unavailable = false;
  CHECK(ReportExit([this] { CHECK(StoreKnows()); }));
}

// Guards against instances that leave without an acknowledgement: the node
// knows already from an answer that the instance leaves.
TEST_CASE_METHOD(departure_fixture,
                 "departure, known from an answer before it is reported, is "
                 "acknowledged",
                 "[departure]")
{
  world.Behaviour(leaver).leaving = true;
  REQUIRE(RunsAtLeaver() > 0);
  world.Announce(leaver, instance_state::draining);
  CHECK(Acknowledge({ kInstance, kBorn }));
}

// Guards against DRAIN: the store is away when the departure is reported, and
// its entry says ready when the node starts again.
TEST_CASE_METHOD(departure_fixture,
                 "departure, store away, node starts again, instance gets no "
                 "requests",
                 "[departure]")
{
  world.Store().unavailable = true;
  REQUIRE_FALSE(ReportExit());
  world.Store().unavailable = false;
  world.RestartNode(leaver);
  world.RunFor(milliseconds(500));
  CHECK(RunsAtLeaver() == 0);
  world.Announce(leaver, instance_state::ready); // a late heartbeat
  world.RunFor(milliseconds(300));
  CHECK(RunsAtLeaver() == 0);
}

// Guards against DRAIN (review/10): a departure that was acknowledged in an
// outage of the store is forgotten when all nodes are killed.
TEST_CASE("departure, acknowledged, all nodes start again, instance gets no "
          "requests",
          "[departure]")
{
  bool outage = GENERATE(false, true);
  bool acknowledged = false;
  std::map<std::string, host_record> entries;
  {
    departure_fixture killed;
    killed.world.Store().unavailable = outage;
    acknowledged = killed.ReportExit();
    entries = killed.world.Store().hosts;
  }
  CHECK(acknowledged == !outage);
  restarted_mesh restarted(entries);
  CHECK(restarted.Serves());
  CHECK((!acknowledged || restarted.RunsAtLeaver() == 0));
}

// Guards against DRAIN: nobody else can record the departure.
TEST_CASE("departure, neither store nor other nodes there, is not acknowledged",
          "[departure]")
{
  mesh_world world;
  std::size_t host = world.AddHost("orders", "v1");
  world.RunFor(milliseconds(500));
  world.Store().unavailable = true;
  std::optional<bool> acknowledged;
  world.Node(host).AcknowledgeDeparture(
    world.Node(host).HandleInstanceExit({ "i-0", {} }),
    [&](const result<void>& aDone) { acknowledged = aDone.has_value(); });
  world.RunFor(milliseconds(1000));
  REQUIRE(acknowledged);
  CHECK_FALSE(*acknowledged);
}

// Guards against DRAIN: the exit notice comes before a restarted node has read
// its entry, which names the instance as ready.
TEST_CASE_METHOD(departure_fixture,
                 "departure, notice before the first listing, instance gets no "
                 "requests",
                 "[departure]")
{
  world.RestartNode(leaver);
  CHECK(ReportExit());
  world.RunFor(milliseconds(500));
  CHECK(RunsAtLeaver() == 0);
  CHECK_FALSE(world.Store().hosts[kNode].instance.state ==
              instance_state::ready);
}

TEST_CASE_METHOD(
  departure_fixture,
  "departure, notice of an earlier incarnation, instance goes on "
  "serving",
  "[departure]")
{
  world.RestartInstance(leaver);
  CHECK(
    Acknowledge(world.Node(leaver).HandleInstanceExit({ kInstance, kBorn })));
  world.RunFor(milliseconds(200));
  CHECK(RunsAtLeaver() > 0);
}

TEST_CASE_METHOD(departure_fixture,
                 "departure, instance starts again with its id at a restarted "
                 "node, gets requests",
                 "[departure]")
{
  REQUIRE(ReportExit());
  world.RestartNode(leaver);
  world.RunFor(milliseconds(300));
  world.RestartInstance(leaver);
  world.RunFor(milliseconds(300));
  CHECK(RunsAtLeaver() > 0);
}
