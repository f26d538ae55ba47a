#include <catch2/catch.hpp>

#include "harness/mesh-world.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

constexpr const char* kTarget = "/orders/1";
constexpr duration kGrace = milliseconds(4000);
/// Part of the grace period in which the process exits.
constexpr duration kExitReserve = milliseconds(400);

/// A front host that is being stopped, and a host with an instance.
class stop_fixture
{
public:
  stop_fixture()
  {
    front = world.AddHost("front", "v1");
    host = world.AddHost("orders", "v1");
    world.SetRoute(1, "/orders/", "orders", false);
    world.RunUntilInstancesKnown();
    world.SetShutdownGrace(front, kGrace);
    world.Node(front).Drain();
    mExit = world.Loop().Now() + kGrace - kExitReserve;
  }

  duration TimeLeft() { return mExit - world.Loop().Now(); }

  mesh_world world;
  std::size_t front = 0;
  std::size_t host = 0;

private:
  time_point mExit{};
};

} // namespace

// Guards against LOST: a request that comes late in the grace period is passed
// on with more time than is left, and cut at the end without an answer.
TEST_CASE_METHOD(stop_fixture,
                 "planned stop, request comes late, its instance is given no "
                 "more time than the process has left",
                 "[planned-stop]")
{
  for (duration wait :
       { milliseconds(100), milliseconds(1900), milliseconds(700) }) {
    world.RunFor(wait);
    duration left = TimeLeft();
    CHECK(world.StatusOf(world.StartRequest(front, "POST", kTarget)) == 200);
    CHECK(world.LastTimeout(host) > duration(0));
    CHECK(world.LastTimeout(host) < left);
  }
}

// Guards against LOST with a short grace period: what can't be served before
// the process exits is refused at once.
TEST_CASE_METHOD(stop_fixture,
                 "planned stop, too little time left, request is refused and "
                 "does not run",
                 "[planned-stop]")
{
  constexpr duration kShortGrace = milliseconds(2800);
  world.SetShutdownGrace(front, kShortGrace);
  world.RunFor(milliseconds(2100));
  CHECK(world.StatusOf(world.StartRequest(front, "POST", kTarget)) == 503);
  CHECK(world.RunCount(host) == 0);
}
