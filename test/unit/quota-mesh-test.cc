#include <catch2/catch.hpp>

#include "base/hash.h"
#include "harness/free-address.h"
#include "harness/service-mesh.h"
#include "harness/silent-connection.h"
#include "harness/socket-fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kOrganisation = "bakery";
constexpr const char* kKey = "key-1";

traffic_configuration
ConfigurationWith(std::uint64_t aVersion, double aRate, double aBurst)
{
  traffic_configuration configuration =
    mesh_world::ConfigurationFor(aVersion, "/orders/", "orders");
  organisation bakery;
  bakery.name = kOrganisation;
  bakery.keys = { kKey };
  bakery.requests_per_second = aRate;
  bakery.burst = aBurst;
  configuration.organisations = { bakery };
  return configuration;
}

header_fields
KeyField()
{
  return { { "Authorization", std::string("Bearer ") + kKey } };
}

/// Most requests that may run in this time, by the default bounds.
double
BoundFor(double aRate, double aBurst, duration aTime)
{
  constexpr double kOver = 1.1;
  constexpr double kSlack = 20;
  double window = std::max(std::chrono::duration<double>(aTime).count(), 5.0);
  return (aRate * window + aBurst) * kOver + kSlack;
}

/// Counts of the answers to the callers of one organisation.
struct answer_counts
{
  int served = 0;
  int refused = 0;
  int other = 0;
  int without_retry_after = 0;
};

/// Two hosts whose callers send requests of one organisation.
class quota_fixture : public service_mesh
{
public:
  void SetLimit(std::uint64_t aVersion, double aRate, double aBurst)
  {
    world.SetConfiguration(ConfigurationWith(aVersion, aRate, aBurst));
  }

  /// Sends requests through both front hosts in turn, with a pause after each.
  answer_counts SendAll(int aCount, duration aPause = duration(0))
  {
    answer_counts counts;
    for (int i = 0; i < aCount; ++i) {
      Count(world.SendRequest(fronts[static_cast<std::size_t>(i) % 2],
                              "GET",
                              "/orders/1",
                              "",
                              KeyField()),
            counts);
      if (aPause > duration(0)) {
        world.RunFor(aPause);
      }
    }
    return counts;
  }

  static void Count(const result<buffered_response>& aAnswer,
                    answer_counts& aCounts)
  {
    int status = aAnswer ? aAnswer->status : 0;
    aCounts.served += status == 200 ? 1 : 0;
    aCounts.refused += status == 429 ? 1 : 0;
    aCounts.other += status != 200 && status != 429 ? 1 : 0;
    if (status == 429 && FindField(aAnswer->fields, "Retry-After") == nullptr) {
      ++aCounts.without_retry_after;
    }
  }

  /// Index of the host that owns the organisation.
  std::size_t Owner()
  {
    constexpr std::size_t kHosts = 4;
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (MetricOf(host, "organisations_owned") == 1) {
        return host;
      }
    }
    FAIL("no host owns the organisation");
    return 0;
  }

  int MetricOf(std::size_t aHost, const std::string& aName)
  {
    std::string text = world.Node(aHost).Metrics();
    std::string name = "eelgrasstrack_quota_" + aName + " ";
    std::size_t at = text.find(name);
    REQUIRE(at != std::string::npos);
    return std::stoi(text.substr(at + name.size()));
  }

  std::string MetricsOf(std::size_t aHost)
  {
    return world.Node(aHost).Metrics();
  }

  duration Elapsed(time_point aSince) { return world.Loop().Now() - aSince; }
};

/// A front host, and a host that owns the organisation and answers nothing.
class silent_owner_fixture
{
public:
  silent_owner_fixture()
  {
    host_record silent;
    silent.name = OwningName();
    silent.domain = "a";
    silent.hop = FreeAddress();
    silent.control = FreeAddress();
    silent.incarnation = 1;
    REQUIRE(world.Sockets().Listen(
      silent.control, [this](const std::shared_ptr<connection>& aConnection) {
        aConnection->SetObserver(std::make_shared<silent_connection>(received));
        control.push_back(aConnection);
      }));
    world.EndFirstStart();
    world.Store().hosts[silent.name] = silent;
    front = world.AddHost("front", "v1");
    first = world.AddHost("orders", "v1");
    world.Announce(front, instance_state::ready);
    world.Announce(first, instance_state::ready);
    world.RunUntilInstancesKnown();
    world.SetConfiguration(ConfigurationWith(1, 50, 20));
  }

  /// A name that the organisation is owned by, among the hosts of the test.
  static std::string OwningName()
  {
    for (int i = 0;; ++i) {
      std::string name = "silent-" + std::to_string(i);
      std::uint64_t weight = RendezvousWeight(kOrganisation, name);
      if (weight > RendezvousWeight(kOrganisation, "node-0") &&
          weight > RendezvousWeight(kOrganisation, "node-1")) {
        return name;
      }
    }
  }

  /// Connects to the front host as a caller.
  std::shared_ptr<connection> Connect()
  {
    std::shared_ptr<connection> opened =
      world.Sockets().Connect(world.CallerAddress(front), {});
    REQUIRE(opened);
    return opened;
  }

  int Send()
  {
    result<buffered_response> answer =
      world.SendRequest(front, "GET", "/orders/1", "", KeyField());
    return answer ? answer->status : 0;
  }

  mesh_world world;
  std::size_t front = 0;
  std::size_t first = 0;
  unsigned received = 0;
  std::vector<std::shared_ptr<connection>> control;
};

} // namespace

// Guards against QUOTA: callers of one organisation get its limit once at each
// host that they send to.
TEST_CASE_METHOD(quota_fixture,
                 "quota, far above the limit over two hosts, keeps the limit",
                 "[quota]")
{
  SetLimit(2, 20, 10);
  time_point start = world.Loop().Now();
  answer_counts counts = SendAll(600, milliseconds(2));
  CHECK(counts.served <= BoundFor(20, 10, Elapsed(start)));
  CHECK(counts.served > 0);
  CHECK(counts.refused > 300);
  CHECK(counts.other == 0);
  CHECK(counts.without_retry_after == 0);
  CHECK(world.RunCount(first) + world.RunCount(second) ==
        static_cast<unsigned>(counts.served));
}

// Guards against REFUSED-BELOW: callers that stay below the limit are refused.
TEST_CASE_METHOD(quota_fixture,
                 "quota, below the limit, nothing is refused",
                 "[quota]")
{
  SetLimit(2, 200, 100);
  world.RunFor(milliseconds(300)); // the bucket starts empty
  answer_counts counts = SendAll(100, milliseconds(10));
  CHECK(counts.served == 100);
}

// Guards against a cost for callers without a limit: no message is sent.
TEST_CASE_METHOD(quota_fixture,
                 "quota, organisation without a limit, is not limited",
                 "[quota]")
{
  SetLimit(2, 0, 0);
  CHECK(SendAll(100).served == 100);
  CHECK(MetricOf(fronts[0], "permits_asked_total") == 0);
}

// Guards against QUOTA: the owner's restart grants the organisation a second
// burst, or leaves it without permits.
TEST_CASE_METHOD(quota_fixture,
                 "quota, owner restarts, limit is kept and permits go on",
                 "[quota]")
{
  SetLimit(2, 40, 40);
  time_point start = world.Loop().Now();
  answer_counts before = SendAll(200, milliseconds(2));
  std::size_t owner = Owner();
  world.RestartNode(owner);
  answer_counts during = SendAll(200, milliseconds(2));
  world.RunFor(milliseconds(500));
  answer_counts after = SendAll(200, milliseconds(2));
  CHECK(before.served > 0);
  CHECK(after.served > 0);
  CHECK(before.served + during.served + after.served <=
        BoundFor(40, 40, Elapsed(start)));
  CHECK(before.other + during.other + after.other == 0);
}

// Guards against QUOTA: a limit that the operator lowers holds only once the
// permits granted before are used up.
TEST_CASE_METHOD(quota_fixture,
                 "quota, limit lowered, new limit holds at once",
                 "[quota]")
{
  SetLimit(2, 2000, 4000);
  world.RunFor(milliseconds(500));
  CHECK(SendAll(200).served == 200);
  SetLimit(3, 2, 0);
  time_point start = world.Loop().Now();
  answer_counts counts = SendAll(300, milliseconds(2));
  CHECK(counts.served <= BoundFor(2, 0, Elapsed(start)));
  CHECK(counts.refused > 200);
}

// Guards against a lost permit: what is refused as not run counts against the
// organisation.
TEST_CASE_METHOD(quota_fixture,
                 "quota, request refused as not run, its permit is used again",
                 "[quota]")
{
  SetLimit(2, 3, 2);
  world.Behaviour(first).refuses = true;
  world.Behaviour(second).refuses = true;
  world.RunFor(seconds(2));
  answer_counts refused = SendAll(12);
  CHECK(refused.refused == 0);
  CHECK(refused.other == 12); // 503
}

// Guards against RESOURCE: a request whose caller leaves while it waits for its
// permit is run later, or never ends.
TEST_CASE_METHOD(silent_owner_fixture,
                 "quota, caller leaves while the owner is silent, request does "
                 "not run",
                 "[quota]")
{
  std::shared_ptr<connection> caller = Connect();
  caller->SetObserver(std::make_shared<recording_peer>());
  caller->Send("GET /orders/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
               "Authorization: Bearer key-1\r\n\r\n");
  world.RunFor(milliseconds(50));
  caller->Close();
  world.RunFor(milliseconds(500));
  CHECK(world.RunCount(first) == 0);
  CHECK(world.Node(front).Metrics().find("sender_left_total 1") !=
        std::string::npos);
}

// Guards against LATE: a request outlives its deadline while it waits for its
// permit, or runs after it.
TEST_CASE_METHOD(silent_owner_fixture,
                 "quota, deadline passes while the owner is silent, caller is "
                 "told and request does not run",
                 "[quota]")
{
  std::shared_ptr<connection> caller = Connect();
  auto peer = std::make_shared<recording_peer>();
  caller->SetObserver(peer);
  caller->Send("GET /orders/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Timeout-Ms: 20"
               "\r\nAuthorization: Bearer key-1\r\n\r\n");
  world.RunFor(milliseconds(500));
  CHECK(peer->received.find("HTTP/1.1 504") == 0);
  CHECK(world.RunCount(first) == 0);
}

// Guards against a truncated body: parts that arrive while the request waits
// for its permit are lost.
TEST_CASE_METHOD(silent_owner_fixture,
                 "quota, long body while the owner is silent, is forwarded "
                 "whole",
                 "[quota]")
{
  constexpr std::size_t kBytes = std::size_t{ 2 } << 20U;
  std::string body(kBytes, 'x');
  body += "end";
  result<buffered_response> answer =
    world.SendRequest(front, "POST", "/orders/1", body, KeyField());
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK((answer->body == "POST /orders/1 " + body));
}

// Guards against REFUSED-BELOW and QUOTA: while the owner does not answer, all
// requests of its organisations are refused, or all are admitted.
TEST_CASE_METHOD(silent_owner_fixture,
                 "quota, owner silent, one request is admitted until another "
                 "host owns the organisation",
                 "[quota]")
{
  CHECK(Send() == 200);
  CHECK(received > 0);
  CHECK(Send() == 429);
  CHECK(Send() == 429);
  world.RunFor(milliseconds(1500));
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    served += Send() == 200 ? 1 : 0;
    world.RunFor(milliseconds(30));
  }
  CHECK(served >= 15);
}

// Guards against a message of a node that takes this one for the owner, and one
// that can't be read.
TEST_CASE_METHOD(quota_fixture,
                 "quota, message to a host that is not the owner, is answered "
                 "with 409",
                 "[quota]")
{
  SetLimit(2, 20, 10);
  std::size_t owner = Owner();
  std::size_t other = owner == 0 ? 1 : 0;
  std::string ask = R"({"from":"node-0","asks":[["bakery",1]]})";
  CHECK(world.PostToNode(owner, "/v1/permits", ask) == 200);
  CHECK(world.PostToNode(other, "/v1/permits", ask) == 409);
  CHECK(world.PostToNode(owner, "/v1/permits", "{") == 400);
  CHECK(world.PostToNode(owner,
                         "/v1/permits",
                         R"({"from":"x","asks":[["bakery",-1]]})") == 400);
}
