#include <catch2/catch.hpp>

#include "harness/mesh-world.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Two hosts without an instance of the service, and two with one, the first of
/// which is about to leave.
class leaving_fixture
{
public:
  leaving_fixture()
  {
    fronts = { world.AddHost("front", "v1"), world.AddHost("front", "v1") };
    leaver = world.AddHost("orders", "v1");
    stayer = world.AddHost("orders", "v1");
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunUntilInstancesKnown();
  }

  /// Sends requests through all front hosts in turn. Returns how many were
  /// served.
  int Send(int aCount)
  {
    int served = 0;
    for (int i = 0; i < aCount; ++i) {
      result<buffered_response> answer =
        world.SendRequest(fronts[i % fronts.size()], "GET", "/orders/1");
      served += answer && answer->status == 200 ? 1 : 0;
    }
    return served;
  }

  /// Lets every front host pass on an answer of the leaving instance.
  void LetAllHear()
  {
    world.Behaviour(leaver).leaving = true;
    unsigned before = world.RunCount(leaver);
    Send(kRequests);
    REQUIRE(world.RunCount(leaver) > before);
  }

  static constexpr int kRequests = 100;
  /// Time for which a leaving instance may still get requests.
  const duration drain_time = mesh_bounds{}.drain_time;
  mesh_world world;
  std::vector<std::size_t> fronts;
  std::size_t leaver = 0;
  std::size_t stayer = 0;
};

} // namespace

// Guards against DRAIN: an instance that says in its answers that it is leaving
// still gets requests after the drain time.
TEST_CASE_METHOD(leaving_fixture,
                 "instance leaving, said in an answer only, gets no requests "
                 "after the drain time",
                 "[instance-leaving]")
{
  LetAllHear();
  world.RunFor(drain_time);
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) == before);
}

// Guards against DRAIN after a restart: the node beside the leaving instance
// starts again, takes it for ready and the other hosts believe that.
TEST_CASE_METHOD(leaving_fixture,
                 "instance leaving, node beside it restarts, gets no requests "
                 "from hosts that heard of it",
                 "[instance-leaving]")
{
  world.Store().unavailable = true; // its entry stays as it was: ready
  LetAllHear();
  world.RunFor(drain_time);
  world.RestartNode(leaver);
  world.Announce(leaver, instance_state::ready);
  world.RunFor(milliseconds(300));
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) == before);
}

// Guards against DRAIN after a restart, for instances that announce their
// draining and for those that only send their exit notice.
TEST_CASE_METHOD(
  leaving_fixture,
  "instance leaving, announced, node beside it restarts, gets no "
  "requests from hosts that know",
  "[instance-leaving][known-red]")
{
  world.Store().unavailable = true;
  SECTION("drains")
  {
    world.Announce(leaver, instance_state::draining);
  }
  SECTION("exits")
  {
    world.Node(leaver).HandleInstanceExit("i-2");
  }
  world.RunFor(milliseconds(300));
  world.RestartNode(leaver);
  world.RunFor(milliseconds(300));
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) == before);
}

TEST_CASE_METHOD(leaving_fixture,
                 "instance leaving, starts again with its id, gets requests",
                 "[instance-leaving]")
{
  LetAllHear();
  world.RunFor(milliseconds(100));
  world.RestartInstance(leaver);
  world.RunFor(milliseconds(300));
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) > before);
}
