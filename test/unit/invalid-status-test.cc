#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/invalid-statuses.h"
#include "harness/mesh-world.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// The node of another host that answers each request with the same text.
class odd_node final : public connection::observer
{
public:
  odd_node(std::shared_ptr<connection> aConnection,
           const std::string& aText,
           unsigned& aReceived)
    : mConnection(std::move(aConnection))
    , mText(aText)
    , mReceived(aReceived)
  {
  }

  void OnReceived(std::string_view) override
  {
    ++mReceived;
    mConnection->Send(mText);
  }
  void OnEnded(close_reason) override {}

private:
  std::shared_ptr<connection> mConnection;
  const std::string& mText;
  unsigned& mReceived;
};

/// A front host, and a host whose node the test plays. The node answers probes.
class odd_node_fixture
{
public:
  odd_node_fixture()
  {
    host_record odd;
    odd.name = "odd";
    odd.domain = "a";
    odd.hop = FreeAddress();
    REQUIRE(world.Sockets().Listen(
      odd.hop, [this](const std::shared_ptr<connection>& aConnection) {
        aConnection->SetObserver(
          std::make_shared<odd_node>(aConnection, answer_text, received));
      }));
    odd.control = FreeAddress();
    REQUIRE(world.Sockets().Listen(
      odd.control, [this](const std::shared_ptr<connection>& aConnection) {
        aConnection->SetObserver(
          std::make_shared<odd_node>(aConnection, mProbeAnswer, mProbes));
      }));
    odd.incarnation = 1;
    odd.instance.id = "i-odd";
    odd.instance.service = "orders";
    odd.instance.version = "v1";
    odd.instance.address = FreeAddress();
    odd.instance.state = instance_state::ready;
    odd.instance.slots = 4;
    odd.instance.started_unix_ms = 1;
    world.EndFirstStart();
    world.Store().hosts["odd"] = odd;
    front = world.AddHost("front", "v1");
    world.Announce(front, instance_state::ready);
  }

  void SetRoute(bool aIdempotent)
  {
    world.SetRoute(1, "/orders/", "orders", aIdempotent);
    world.RunFor(milliseconds(50));
  }

  mesh_world world;
  std::size_t front = 0;
  /// What the odd node answers.
  std::string answer_text;
  /// Number of requests that it has received.
  unsigned received = 0;

private:
  std::string mProbeAnswer = AnswerWithStatus("200", "");
  unsigned mProbes = 0;
};

} // namespace

// Guards against a status that no caller can handle, and against CONFIG: 600
// from another node reached the caller, and after 000 the caller waited for the
// route's time.
TEST_CASE_METHOD(odd_node_fixture,
                 "invalid status, from another node, caller is told 502",
                 "[invalid-status]")
{
  const std::string word = GENERATE(from_range(InvalidStatusWords()));
  CAPTURE(word);
  answer_text = AnswerWithStatus(word, "");
  SetRoute(false);
  result<buffered_response> answer =
    world.SendRequest(front, "POST", "/orders/1", "order");
  REQUIRE(answer);
  CHECK(answer->status == 502); // 504 at the deadline
  CHECK(received == 1);
}

// Guards against LOST: a request that another instance can run fails because
// of an invalid status from a node.
TEST_CASE_METHOD(
  odd_node_fixture,
  "invalid status, from another node, repeatable request runs at "
  "another instance",
  "[invalid-status]")
{
  const std::string word = GENERATE("000", "101", "600", "2000");
  CAPTURE(word);
  answer_text = AnswerWithStatus(word, "");
  SetRoute(true);
  std::size_t sound = world.AddHost("orders", "v1");
  world.Announce(sound, instance_state::ready);
  constexpr unsigned kMaxSteps = 100;
  for (unsigned i = 0;
       i < kMaxSteps && world.KnownState(front, sound) != "ready";
       ++i) {
    world.RunFor(milliseconds(20));
  }
  REQUIRE(world.KnownState(front, sound) == "ready");
  constexpr unsigned kMaxRequests = 60;
  for (unsigned i = 0; i < kMaxRequests && received == 0; ++i) {
    result<buffered_response> answer =
      world.SendRequest(front, "GET", "/orders/1");
    REQUIRE(answer);
    CHECK(answer->status == 200);
  }
  CHECK(received == 1);
  CHECK(world.RunCount(sound) > 0);
}
