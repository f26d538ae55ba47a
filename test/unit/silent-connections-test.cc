#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/mesh-world.h"
#include "mesh/host-record.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kAnswer =
  "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\ndone";
const std::string kEmptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The server side of a connection that answers until it falls silent.
class answering_connection final : public connection::observer
{
public:
  answering_connection(std::shared_ptr<connection> aConnection,
                       std::string aAnswer)
    : mConnection(std::move(aConnection))
    , mAnswer(std::move(aAnswer))
  {
  }

  void OnReceived(std::string_view aBytes) override
  {
    received += aBytes;
    if (!silent) {
      mConnection->Send(mAnswer);
    }
  }
  void OnEnded(close_reason) override {}

  bool silent = false;
  std::string received;

private:
  std::shared_ptr<connection> mConnection;
  std::string mAnswer;
};

using connections = std::vector<std::shared_ptr<answering_connection>>;

void
Silence(const connections& aConnections)
{
  for (const auto& open : aConnections) {
    open->silent = true;
  }
}

host_record
HostRecord(const std::string& aName)
{
  host_record record;
  record.name = aName;
  record.domain = aName;
  record.hop = FreeAddress();
  record.control = FreeAddress();
  record.incarnation = 1;
  record.instance.id = "i-" + aName;
  record.instance.service = "orders";
  record.instance.version = "v1";
  record.instance.address = FreeAddress();
  record.instance.state = instance_state::ready;
  record.instance.slots = 4;
  record.instance.started_unix_ms = 1;
  return record;
}

/// A front host and a host, played by the test, whose open connections may fall
/// silent while it accepts and answers new ones.
class silent_connections_fixture
{
public:
  silent_connections_fixture()
  {
    host_record peer = HostRecord("peer");
    peer.domain = "a";
    peer.hop = Listen(hops, kAnswer);
    peer.control = Listen(controls, kEmptyAnswer);
    world.EndFirstStart();
    world.Store().hosts["peer"] = peer;
    front = world.AddHost("front", "v1");
    world.Announce(front, instance_state::ready);
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunFor(milliseconds(100));
  }

  /// Sends requests at a time, after which as many connections are idle.
  void SendAtATime(std::size_t aCount)
  {
    std::vector<pending_answer> answers;
    for (std::size_t i = 0; i < aCount; ++i) {
      answers.push_back(world.StartRequest(front, "GET", "/orders/1"));
    }
    for (const pending_answer& answer : answers) {
      REQUIRE(world.StatusOf(answer) == 200);
    }
  }

  bool IsPeerUnreachable()
  {
    nlohmann::json dump = nlohmann::json::parse(world.Node(front).Dump());
    for (const nlohmann::json& host : dump.at("hosts")) {
      if (host.at("name") == "peer") {
        return host.at("unreachable").get<bool>();
      }
    }
    return true;
  }

  /// Runs the loop for longer than it takes to suspect the peer and to probe
  /// it.
  void CheckPeerStaysReachable()
  {
    constexpr unsigned kSteps = 60; // 1.2 s
    for (unsigned i = 0; i < kSteps; ++i) {
      world.RunFor(milliseconds(20));
      REQUIRE_FALSE(IsPeerUnreachable());
    }
  }

  mesh_world world;
  std::size_t front = 0;
  /// Connections to the peer for requests, and for messages and probes.
  connections hops;
  connections controls;
  /// New connections to the peer are silent.
  bool newOnesSilent = false;

private:
  endpoint Listen(connections& aConnections, const std::string& aAnswer)
  {
    endpoint address = FreeAddress();
    REQUIRE(world.Sockets().Listen(
      address,
      [this, &aConnections, aAnswer](std::shared_ptr<connection> aNew) {
        auto accepted = std::make_shared<answering_connection>(aNew, aAnswer);
        accepted->silent = newOnesSilent;
        aConnections.push_back(accepted);
        aNew->SetObserver(accepted);
      }));
    return address;
  }
};

} // namespace

// Guards against a probe over a silent connection, after which a sound host
// counted as lost.
TEST_CASE_METHOD(silent_connections_fixture,
                 "silent connections, host is probed, is not lost",
                 "[silent-connections]")
{
  SendAtATime(1);
  REQUIRE_FALSE(controls.empty());
  Silence(hops);
  Silence(controls);
  pending_answer overdue = world.StartRequest(front, "GET", "/orders/2");
  CheckPeerStaysReachable();
}

// Guards against a sound host that counts as lost because a single new
// connection to it fails, as it does for a second after a lost SYN.
TEST_CASE_METHOD(silent_connections_fixture,
                 "silent connections, host is probed while only its open ones "
                 "answer, is not lost",
                 "[silent-connections]")
{
  SendAtATime(1);
  REQUIRE_FALSE(controls.empty());
  Silence(hops);
  newOnesSilent = true;
  pending_answer overdue = world.StartRequest(front, "GET", "/orders/2");
  CheckPeerStaysReachable();
}

// Guards against CONFIG: a message to another node, which may announce a
// configuration, was lost on a silent connection.
TEST_CASE_METHOD(silent_connections_fixture,
                 "silent connections, message to another node, arrives on a "
                 "new connection within its timeout",
                 "[silent-connections]")
{
  REQUIRE_FALSE(controls.empty());
  const std::size_t before = controls.size();
  Silence(controls);
  const host_record third = HostRecord("third");
  nlohmann::json message = { { "from", "third" },
                             { "config", 1 },
                             { "hosts", { EncodeHostRecord(third) } } };
  // The front forwards what it hears from another failure domain.
  REQUIRE(world.PostToNode(front, "/v1/gossip", message.dump()) == 200);
  world.RunFor(milliseconds(800));
  auto arrivals = [&](std::size_t aFirst, std::size_t aLast) {
    return std::count_if(controls.begin() + static_cast<std::ptrdiff_t>(aFirst),
                         controls.begin() + static_cast<std::ptrdiff_t>(aLast),
                         [](const auto& aConnection) {
                           return aConnection->received.find("i-third") !=
                                  std::string::npos;
                         });
  };
  REQUIRE(arrivals(0, before) == 1);
  CHECK(arrivals(before, controls.size()) == 1);
}

// Guards against requests that wait for their deadlines on silent connections
// to another host after an earlier one got no answer there.
TEST_CASE_METHOD(silent_connections_fixture,
                 "silent connections to a host, request gets no answer, next "
                 "ones are answered on new connections",
                 "[silent-connections]")
{
  SendAtATime(3);
  REQUIRE(hops.size() == 3);
  Silence(hops);
  pending_answer overdue = world.StartRequest(front, "GET", "/orders/2");
  world.RunFor(seconds(1));
  SendAtATime(2);
  CHECK_FALSE(overdue->has_value());
}

// Guards against requests that wait for their deadlines on connections to
// another host that fell silent while they were idle.
TEST_CASE_METHOD(silent_connections_fixture,
                 "silent connections to a host, idle for three seconds, are "
                 "not used",
                 "[silent-connections][known-red]")
{
  SendAtATime(3);
  Silence(hops);
  world.RunFor(seconds(3));
  SendAtATime(3);
}

// Guards against requests that wait for their deadlines on connections to the
// instance that fell silent while they were idle.
TEST_CASE_METHOD(silent_connections_fixture,
                 "silent connections to the instance, idle for three seconds, "
                 "are not used",
                 "[silent-connections]")
{
  connections instance;
  endpoint address = FreeAddress();
  REQUIRE(world.Sockets().Listen(
    address, [&instance](std::shared_ptr<connection> aNew) {
      auto accepted = std::make_shared<answering_connection>(aNew, kAnswer);
      instance.push_back(accepted);
      aNew->SetObserver(accepted);
    }));
  world.ReplaceInstance(front, address);
  auto send = [&] {
    return world.StatusOf(world.SendAsNode(front, "GET", "/front/1"));
  };
  REQUIRE(send() == 200);
  Silence(instance);
  world.RunFor(seconds(3));
  CHECK(send() == 200);
}
