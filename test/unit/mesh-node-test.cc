#include <catch2/catch.hpp>

#include "harness/mesh-world.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Time within which every node must apply a change.
constexpr duration kPropagationBound = milliseconds(2500);

/// A caller's host without an instance of the service, and two hosts with one.
class mesh_fixture
{
public:
  mesh_fixture()
  {
    front = world.AddHost("front", "v1");
    first = world.AddHost("orders", "v1");
    second = world.AddHost("orders", "v1");
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunUntilInstancesKnown();
  }

  int StatusOf(const std::string& aMethod = "GET")
  {
    result<buffered_response> answer =
      world.SendRequest(front, aMethod, "/orders/1");
    return answer ? answer->status : 0;
  }

  unsigned InstanceRuns() const
  {
    return world.RunCount(first) + world.RunCount(second);
  }

  mesh_world world;
  std::size_t front = 0;
  std::size_t first = 0;
  std::size_t second = 0;
};

} // namespace

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, request for another host, is served unchanged",
                 "[mesh-node]")
{
  result<buffered_response> answer =
    world.SendRequest(front, "PUT", "/orders/a%20b//../c?y=%20&&z", "body");
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(answer->body == "PUT /orders/a%20b//../c?y=%20&&z body");
  CHECK(FindField(answer->fields, "X-Stamp") != nullptr);
  CHECK(FindField(answer->fields, "Mesh-Load") == nullptr);
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, no matching route, answers 404 and runs nothing",
                 "[mesh-node]")
{
  result<buffered_response> answer = world.SendRequest(front, "GET", "/other/");
  REQUIRE(answer);
  CHECK(answer->status == 404);
  CHECK(InstanceRuns() == 0);
}

TEST_CASE("mesh node, no configuration, answers 503 and is not ready",
          "[mesh-node]")
{
  mesh_world world;
  std::size_t host = world.AddHost("orders", "v1");
  world.RunFor(milliseconds(50));
  CHECK_FALSE(world.Node(host).Ready());
  result<buffered_response> answer =
    world.SendRequest(host, "GET", "/orders/1");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(FindField(answer->fields, "Retry-After") != nullptr);
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, instance drains, receives no new requests",
                 "[mesh-node]")
{
  world.Announce(first, instance_state::draining);
  unsigned before = world.RunCount(first);
  // Sent immediately, before the new state reaches the caller's node.
  for (int i = 0; i < 20; ++i) {
    CHECK(StatusOf() == 200);
  }
  CHECK(world.RunCount(first) == before);
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, idempotent request fails, is retried",
                 "[mesh-node]")
{
  world.Behaviour(first).status = 500;
  for (int i = 0; i < 3; ++i) {
    CHECK(StatusOf() == 200);
  }
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, non-idempotent request fails, runs once",
                 "[mesh-node]")
{
  world.SetRoute(2, "/orders/", "orders", false);
  world.Behaviour(first).status = 500;
  world.Behaviour(second).status = 500;
  for (unsigned i = 1; i <= 5; ++i) {
    CHECK(StatusOf("POST") == 500);
    CHECK(InstanceRuns() == i);
  }
}

TEST_CASE_METHOD(
  mesh_fixture,
  "mesh node, all instances fail, attempts stay within the limit",
  "[mesh-node]")
{
  std::size_t third = world.AddHost("orders", "v1");
  std::size_t fourth = world.AddHost("orders", "v1");
  world.RunUntilInstancesKnown();
  for (std::size_t host : { first, second, third, fourth }) {
    world.Behaviour(host).status = 500;
  }
  CHECK(StatusOf() == 500);
  unsigned runs =
    InstanceRuns() + world.RunCount(third) + world.RunCount(fourth);
  CHECK(runs <= 2);
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, invalid answer, answers 502 with an empty body",
                 "[mesh-node]")
{
  world.SetRoute(2, "/orders/", "orders", false);
  world.Behaviour(first).sends_invalid_answer = true;
  world.Behaviour(second).sends_invalid_answer = true;
  result<buffered_response> answer =
    world.SendRequest(front, "POST", "/orders/1");
  REQUIRE(answer);
  CHECK(answer->status == 502);
  CHECK(answer->body.empty());
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, instances refuse, answers 503 with Retry-After",
                 "[mesh-node]")
{
  world.Behaviour(first).refuses = true;
  world.Behaviour(second).refuses = true;
  result<buffered_response> answer =
    world.SendRequest(front, "POST", "/orders/1");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(FindField(answer->fields, "Retry-After") != nullptr);
  CHECK(InstanceRuns() == 0);
}

TEST_CASE_METHOD(
  mesh_fixture,
  "mesh node, instance exceeds the route timeout, answers 504 in time",
  "[mesh-node]")
{
  world.Behaviour(first).delay = std::chrono::seconds(30);
  world.Behaviour(second).delay = std::chrono::seconds(30);
  time_point started = world.Loop().Now();
  CHECK(StatusOf() == 504);
  CHECK(world.Loop().Now() - started < milliseconds(2500));
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, late announcement of an old instance, is rejected",
                 "[mesh-node]")
{
  instance_record announced;
  announced.id = "i-new";
  announced.service = "orders";
  announced.version = "v1";
  announced.address = { "127.0.0.1", 9 };
  announced.started_unix_ms = 5000;
  announced.state = instance_state::ready;
  CHECK(world.Node(first).HandleAnnouncement({ announced, 1 }));
  announced.id = "i-old";
  announced.started_unix_ms = 500;
  CHECK_FALSE(world.Node(first).HandleAnnouncement({ announced, 99 }));
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, older configuration arrives late, is not applied",
                 "[mesh-node]")
{
  world.SetRoute(7, "/orders/", "orders", true);
  world.SetRoute(3, "/gone/", "orders", true);
  CHECK(world.Node(front).ConfigVersion() == 7);
  CHECK(StatusOf() == 200);
}

TEST_CASE_METHOD(
  mesh_fixture,
  "mesh node, store unavailable at start, fetches configuration from a peer",
  "[mesh-node]")
{
  // The store never delivers the configuration to this node.
  world.EndFirstStart();
  world.Store().unavailable = true;
  std::size_t late = world.AddHost("orders", "v1");
  CHECK_FALSE(world.Node(late).Ready());
  world.RunFor(milliseconds(50));
  world.Store().unavailable = false;
  world.Announce(late, instance_state::ready);
  world.RunUntilInstancesKnown();
  world.RunFor(milliseconds(200));
  CHECK(world.Node(late).Ready());
  CHECK(world.Node(late).ConfigVersion() == 1);
}

// Guards against a node whose messages are all refused once it has not read the
// store for seven weeks.
TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, message with a great store age, is taken",
                 "[mesh-node]")
{
  nlohmann::json message = { { "from", "elsewhere" },
                             { "config", 0 },
                             { "store_age_ms", 5'000'000'000 } };
  CHECK(world.PostToNode(front, "/v1/gossip", message.dump()) == 200);
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, two hosts join at once, all nodes know both",
                 "[mesh-node]")
{
  world.EndFirstStart();
  std::size_t third = world.AddHost("other", "v1");
  std::size_t fourth = world.AddHost("other", "v1");
  world.Announce(third, instance_state::ready);
  world.Announce(fourth, instance_state::ready);
  world.SetRoute(2, "/other/", "other", true);
  world.RunUntilInstancesKnown();
  for (std::size_t host : { front, first, third }) {
    result<buffered_response> answer =
      world.SendRequest(host, "GET", "/other/1");
    REQUIRE(answer);
    CHECK(answer->status == 200);
  }
  CHECK(world.RunCount(third) + world.RunCount(fourth) == 3);
}

TEST_CASE_METHOD(mesh_fixture,
                 "mesh node, callers keep sending while it drains, are refused",
                 "[mesh-node]")
{
  // Callers keep sending while too few other nodes are ready.
  world.Node(front).Drain();
  world.RunFor(milliseconds(100));
  CHECK_FALSE(world.Node(front).Ready());
  CHECK(StatusOf() == 200);
  world.Behaviour(first).delay = milliseconds(1500);
  world.Behaviour(second).delay = milliseconds(1500);
  world.RunFor(milliseconds(2300));
  unsigned before = InstanceRuns();
  (void)StatusOf(); // keeps the node busy past the minimum drain time
  world.Behaviour(first).delay = milliseconds(0);
  CHECK(StatusOf() == 503);
  CHECK(InstanceRuns() <= before + 1);
}

TEST_CASE("mesh node, store rejects a failure domain, configuration arrives",
          "[mesh-node]")
{
  mesh_world world;
  constexpr std::size_t kHosts = 20;
  for (std::size_t host = 0; host < kHosts; ++host) {
    world.AddHost("orders", "v1");
  }
  world.SetRoute(1, "/orders/", "orders", true);
  world.RunUntilInstancesKnown();
  // Every second host is in the failure domain that the store rejects.
  for (std::size_t host = 1; host < kHosts; host += 2) {
    world.SetStoreRejects(host, true);
  }
  world.SetRoute(2, "/orders/", "orders", true);
  world.RunFor(kPropagationBound);
  for (std::size_t host = 0; host < kHosts; ++host) {
    CHECK(world.Node(host).ConfigVersion() == 2);
  }
}
