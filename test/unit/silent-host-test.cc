#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/mesh-world.h"
#include "harness/silent-connection.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Time after which a silent host that does not answer probes is unreachable.
constexpr duration kUnreachableAfter = milliseconds(1200);

/// A front host, and a host that takes requests and then falls silent: its node
/// answers neither requests nor probes until the test does.
class silent_host_fixture
{
public:
  silent_host_fixture()
  {
    host_record silent;
    silent.name = "silent";
    silent.domain = "a";
    silent.hop = Listen(requests, &hop);
    silent.control = Listen(probes, &mControl);
    silent.incarnation = 1;
    silent.instance.id = "i-silent";
    silent.instance.service = "orders";
    silent.instance.version = "v1";
    silent.instance.address = FreeAddress();
    silent.instance.state = instance_state::ready;
    silent.instance.slots = 4;
    silent.instance.started_unix_ms = 1;
    world.EndFirstStart();
    world.Store().hosts["silent"] = silent;
    front = world.AddHost("front", "v1");
    world.Announce(front, instance_state::ready);
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunFor(milliseconds(50));
  }

  /// Answers the request that the silent host has received.
  void AnswerLate()
  {
    hop->Send("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nlate");
  }

  mesh_world world;
  std::size_t front = 0;
  std::shared_ptr<connection> hop;
  unsigned requests = 0;
  unsigned probes = 0;

private:
  endpoint Listen(unsigned& aReceived, std::shared_ptr<connection>* aLast)
  {
    endpoint address = FreeAddress();
    REQUIRE(world.Sockets().Listen(
      address,
      [&aReceived, aLast](const std::shared_ptr<connection>& aConnection) {
        aConnection->SetObserver(
          std::make_shared<silent_connection>(aReceived));
        *aLast = aConnection;
      }));
    return address;
  }

  std::shared_ptr<connection> mControl;
};

} // namespace

// Guards against LOST on saturated hosts: a request that a host has accepted is
// given up after a missed probe although no other instance can run it.
TEST_CASE_METHOD(silent_host_fixture,
                 "silent host, no other instance, request waits for its answer",
                 "[silent-host]")
{
  pending_answer answer = world.StartRequest(front, "GET", "/orders/1");
  world.RunFor(kUnreachableAfter);
  REQUIRE(requests == 1);
  REQUIRE(probes > 0);
  REQUIRE_FALSE(answer->has_value());
  AnswerLate();
  CHECK(world.StatusOf(answer) == 200);
}

// Guards against LOST in a planned stop: a stopping node gives up a request
// that its instance may be running and has no time for another attempt.
TEST_CASE_METHOD(silent_host_fixture,
                 "silent host, first hop is stopping, request waits for its "
                 "answer",
                 "[silent-host]")
{
  pending_answer answer = world.StartRequest(front, "GET", "/orders/1");
  world.RunFor(milliseconds(50));
  std::size_t other = world.AddHost("orders", "v1");
  world.Announce(other, instance_state::ready);
  world.Node(front).Drain();
  world.RunFor(kUnreachableAfter);
  REQUIRE(requests == 1);
  REQUIRE_FALSE(answer->has_value());
  AnswerLate();
  CHECK(world.StatusOf(answer) == 200);
  CHECK(world.RunCount(other) == 0);
}

TEST_CASE_METHOD(silent_host_fixture,
                 "silent host, another instance is there, request is sent to "
                 "it",
                 "[silent-host]")
{
  pending_answer answer = world.StartRequest(front, "GET", "/orders/1");
  world.RunFor(milliseconds(50));
  std::size_t other = world.AddHost("orders", "v1");
  world.Announce(other, instance_state::ready);
  CHECK(world.StatusOf(answer) == 200);
  CHECK(world.RunCount(other) == 1);
}
