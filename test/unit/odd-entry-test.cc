#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/mesh-world.h"
#include "harness/platform-store.h"
#include "platform/store-client.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::platform;
using namespace eelgrasstrack::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kHosts = "eelgrasstrack-hosts";
constexpr const char* kMarker = "raw text";
/// More levels than a call stack has room for.
constexpr std::size_t kLevels = 400000;

std::string
DeeplyNested()
{
  return std::string(kLevels, '[') + std::string(kLevels, ']');
}

/// Values that another writer may leave where something else is expected.
std::string
OddValue()
{
  return GENERATE(as<std::string>{},
                  DeeplyNested(),
                  "1e999",
                  "-1e999",
                  "NaN",
                  "1234567890123456789012345678901234567890",
                  R"("\ud800")",
                  R"("\udc00\ud800 \u0000")",
                  "[]",
                  "{}",
                  "null",
                  "true");
}

host_record
MakeHost(const std::string& aName)
{
  host_record record;
  record.name = aName;
  record.domain = "a";
  record.hop = { "127.0.0.1", 7001 };
  record.control = { "127.0.0.1", 7002 };
  record.incarnation = 7;
  record.instance.id = "i-" + aName;
  record.instance.service = "orders";
  record.instance.version = "v1";
  record.instance.address = { "127.0.0.1", 7003 };
  record.instance.slots = 4;
  record.instance.state = instance_state::ready;
  record.instance.started_unix_ms = 1000;
  return record;
}

/// Records what the client reports.
class counting_observer final : public control_store_observer
{
public:
  void OnTable(accepted_table aTable) override
  {
    version = aTable.table->Version();
  }
  void OnConfigConfirmed(time_point) override {}
  void OnOrder(const canary_order& aOrder) override
  {
    services.insert(aOrder.service);
  }
  void OnOrderRemoved(const std::string&) override {}
  void OnEvacuations(const evacuation_snapshot&) override {}
  void OnStoreRestored() override {}

  std::uint64_t version = 0;
  std::set<std::string> services;
};

/// A client of a store in which another writer leaves odd entries.
class odd_store_fixture
{
public:
  odd_store_fixture()
    : transport(event_loop)
    , control(transport)
    , address(FreeAddress())
    , store(event_loop, transport, address)
    , client(control, event_loop, counters)
  {
    client.SetAddress(address);
    client.SetObserver(observer);
    PutTable(3);
    store.Put(kHosts, "sound", EncodeHostRecord(MakeHost("sound")));
  }

  void PutTable(int aVersion)
  {
    store.Put("config",
              "main",
              { { "version", "r" + std::to_string(aVersion) },
                { "listeners", json::array() },
                { "clusters", json::array() } });
  }

  /// Names in a listing of the hosts; fails the test if there is none.
  std::set<std::string> ListedHosts()
  {
    std::optional<std::set<std::string>> names;
    client.ListHosts([&names](const result<std::vector<host_record>>& aHosts) {
      REQUIRE(aHosts);
      names.emplace();
      for (const host_record& host : *aHosts) {
        names->insert(host.name);
      }
    });
    RunUntil([&names] { return names.has_value(); });
    REQUIRE(names);
    return *names;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    constexpr int kMaxSteps = 100;
    for (int i = 0; i < kMaxSteps && !aCondition(); ++i) {
      event_loop.RunAfter(milliseconds(50), [this] { event_loop.Stop(); });
      event_loop.Run();
    }
  }

  loop event_loop{ 64 };
  tcp_transport transport;
  control_client control;
  proxy_counters counters;
  endpoint address;
  platform_store store;
  store_client client;
  counting_observer observer;
};

/// Two nodes, one of which gets odd messages from the other.
class odd_message_fixture
{
public:
  odd_message_fixture()
  {
    front = world.AddHost("front", "v1");
    back = world.AddHost("orders", "v1");
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunUntilInstancesKnown();
  }

  /// Sends a message to the node that serves it on its control address.
  int Post(const std::string& aPath, const std::string& aBody)
  {
    return world.PostToNode(front, aPath, aBody);
  }

  bool Serves()
  {
    result<buffered_response> answer =
      world.SendRequest(front, "GET", "/orders/1");
    return answer && answer->status == 200;
  }

  mesh_world world;
  std::size_t front = 0;
  std::size_t back = 0;
};

} // namespace

// Guards against ended processes and LOST: an odd entry of another writer makes
// every machine that reads the list exit, or unable to read it.
TEST_CASE_METHOD(odd_store_fixture,
                 "odd entry, among those of the hosts, is skipped alone",
                 "[odd-entry]")
{
  store.SetRawText(kMarker, OddValue());
  json odd = EncodeHostRecord(MakeHost("odd"));
  SECTION("as the entry")
  {
    odd = kMarker;
  }
  SECTION("as a name")
  {
    odd["name"] = kMarker;
  }
  SECTION("as the hop address")
  {
    odd["hop"] = kMarker;
  }
  SECTION("as the incarnation")
  {
    odd["incarnation"] = kMarker;
  }
  SECTION("as the slots of the instance")
  {
    odd["instance"]["slots"] = kMarker;
  }
  SECTION("as the start of the instance")
  {
    odd["instance"]["born"] = kMarker;
  }
  SECTION("as the warm-up time of the instance")
  {
    odd["instance"]["cold_ms"] = kMarker;
  }
  SECTION("as a quarantined request")
  {
    odd["quarantined"] = json::array({ kMarker });
  }
  store.Put(kHosts, "odd", odd);
  CHECK(ListedHosts() == std::set<std::string>{ "sound" });
}

// Guards against a listing that ends at an odd entry which fills a page alone.
TEST_CASE_METHOD(odd_store_fixture,
                 "odd entry, alone on a page, pages behind it are listed",
                 "[odd-entry]")
{
  store.SetPageSize(1);
  std::string name = GENERATE(as<std::string>{}, "odd", "odd &#?/=%\r\nx: y");
  store.SetRawText(kMarker, OddValue());
  store.Put(kHosts, name, kMarker);
  store.Put(kHosts, "before", EncodeHostRecord(MakeHost("before")));
  CHECK(ListedHosts() == std::set<std::string>{ "before", "sound" });
}

TEST_CASE_METHOD(odd_store_fixture,
                 "odd entry, number out of its range, is skipped alone",
                 "[odd-entry]")
{
  json odd = EncodeHostRecord(MakeHost("odd"));
  odd.merge_patch(
    GENERATE(json({ { "hop", "127.0.0.1:70000" } }),
             json({ { "control", "127.0.0.1:-1" } }),
             json({ { "control", "127.0.0.1:" } }),
             json({ { "incarnation", -1 } }),
             json({ { "sequence", -1 } }),
             json({ { "name", "../odd" } }),
             json({ { "instance", { { "address", "127.0.0.1:65536" } } } }),
             json({ { "instance", { { "slots", 0 } } } }),
             json({ { "instance", { { "slots", -4 } } } }),
             json({ { "instance", { { "slots", 4294967296 } } } }),
             json({ { "instance", { { "slots", 1e300 } } } }),
             json({ { "instance", { { "born", 1e300 } } } }),
             json({ { "instance", { { "cold_ms", INT64_MAX } } } }),
             json({ { "name", "sound" }, { "incarnation", 1000 } })));
  store.Put(kHosts, "odd", odd);
  CHECK(ListedHosts() == std::set<std::string>{ "sound" });
}

TEST_CASE_METHOD(odd_store_fixture,
                 "odd entry, among orders and configurations, watches go on",
                 "[odd-entry]")
{
  store.SetRawText(kMarker, OddValue());
  bool listed = GENERATE(true, false);
  auto putOdd = [this] {
    store.Put("config", "odd", kMarker);
    store.Put("rollouts", "odd", kMarker);
  };
  if (listed) {
    putOdd();
  }
  client.SetWatching(true);
  RunUntil([this] { return observer.version == 3; });
  REQUIRE(observer.version == 3);
  if (!listed) {
    putOdd();
  }
  PutTable(4);
  store.Put("rollouts",
            "orders",
            { { "svc", "orders" }, { "to", "v2" }, { "over_s", 9 } });
  RunUntil([this] {
    return observer.version == 4 && observer.services.count("orders") > 0;
  });
  CHECK(observer.version == 4);
  CHECK(observer.services == std::set<std::string>{ "orders" });
}

TEST_CASE("odd heartbeat, is refused", "[odd-entry]")
{
  json beat = { { "svc", "orders" },  { "addr", "127.0.0.1:8080" },
                { "zone", "a" },      { "version", "v1" },
                { "slots", 6 },       { "state", "ready" },
                { "cold_left_s", 0 }, { "seq", 4 } };
  REQUIRE(DecodeHeartbeat("i-1", beat.dump()));
  std::string field =
    GENERATE("svc", "addr", "version", "slots", "state", "seq", "born");
  beat[field] = kMarker;
  std::string text = beat.dump();
  std::string marker = '"' + std::string(kMarker) + '"';
  text.replace(text.find(marker), marker.size(), OddValue());
  INFO(field);
  CHECK_FALSE(DecodeHeartbeat("i-1", text));
}

TEST_CASE("odd heartbeat, number out of its range, is refused", "[odd-entry]")
{
  json beat = { { "svc", "orders" },  { "addr", "127.0.0.1:8080" },
                { "version", "v1" },  { "slots", 6 },
                { "state", "ready" }, { "seq", 4 } };
  beat.merge_patch(GENERATE(json({ { "addr", "127.0.0.1:70000" } }),
                            json({ { "slots", -1 } }),
                            json({ { "slots", 1e30 } }),
                            json({ { "seq", 1e30 } }),
                            json({ { "seq", INT64_MAX } }),
                            json({ { "born", 1e30 } }),
                            json({ { "born", -5 } }),
                            json({ { "cold_left_s", 1e30 } })));
  CHECK_FALSE(DecodeHeartbeat("i-1", beat.dump()));
}

// Guards against an exit: such an id can't be sent on in a message.
TEST_CASE("odd heartbeat, id is not printable, is refused", "[odd-entry]")
{
  json beat = { { "svc", "orders" },  { "addr", "127.0.0.1:8080" },
                { "version", "v1" },  { "slots", 6 },
                { "state", "ready" }, { "seq", 4 } };
  std::string id =
    GENERATE(as<std::string>{}, "\xff", "a\xc0", "a b", "\x01", "");
  CHECK_FALSE(DecodeHeartbeat(id, beat.dump()));
  CHECK_FALSE(DecodeExitNotice(id, ""));
}

TEST_CASE("odd exit notice, body can't be read, names no start", "[odd-entry]")
{
  std::string body =
    GENERATE(as<std::string>{}, "", "{", "[]", "{\"born\":1e999}", "\xff");
  result<exit_notice> notice = DecodeExitNotice("i-1", body);
  REQUIRE(notice);
  CHECK_FALSE(notice->started_unix_ms);
  notice = DecodeExitNotice("i-1", R"({"born":1000})");
  REQUIRE(notice);
  CHECK(notice->started_unix_ms == 1000);
}

TEST_CASE_METHOD(odd_message_fixture,
                 "odd message of a node, is refused and the node goes on",
                 "[odd-entry]")
{
  std::string path = GENERATE("/v1/gossip", "/v1/evidence");
  std::string field = GENERATE("from",
                               "config",
                               "hosts",
                               "moves",
                               "crashes",
                               "known",
                               "departures",
                               "samples",
                               "whole message");
  std::string odd = OddValue();
  std::string body =
    R"({"from":"node-1","service":"orders",")" + field + "\":" + odd + "}";
  (void)Post(path, field == "whole message" ? odd : body);
  CHECK(Serves());
}

TEST_CASE_METHOD(odd_message_fixture,
                 "odd entry in a message of a node, is skipped alone",
                 "[odd-entry]")
{
  json sound = EncodeHostRecord(MakeHost("sound"));
  json odd = EncodeHostRecord(MakeHost("odd"));
  odd["instance"]["born"] = 1e300;
  json message = { { "from", "node-1" },
                   { "hosts", { odd, sound } },
                   { "crashes",
                     { { 1, 1, 1, INT64_MAX }, { -1, -1, -1, INT64_MIN } } },
                   { "moves",
                     { { { "service", "x" },
                         { "to", "v" },
                         { "phase", "canary" },
                         { "share", 0.1 },
                         { "over_ms", INT64_MAX },
                         { "age_ms", INT64_MIN } } } } };
  CHECK(Post("/v1/gossip", message.dump()) == 200);
  json dump = json::parse(world.Node(front).Dump());
  std::set<std::string> names;
  for (const json& host : dump.at("hosts")) {
    names.insert(host.at("name").get<std::string>());
  }
  CHECK(names.count("sound") == 1);
  CHECK(names.count("odd") == 0);
  CHECK(dump.at("moves").empty());
  CHECK(dump.at("crashing_requests").empty());
}

// Guards against a rollout that nodes don't learn of while clocks differ.
TEST_CASE_METHOD(odd_message_fixture,
                 "message of a node, rollout with a negative age, is learned",
                 "[odd-entry]")
{
  json message = { { "from", "node-1" },
                   { "moves",
                     { { { "service", "orders" },
                         { "to", "v2" },
                         { "phase", "trial" },
                         { "share", 0.1 },
                         { "over_ms", 12000 },
                         { "age_ms", -2000 },
                         { "order", 7 } } } } };
  CHECK(Post("/v1/gossip", message.dump()) == 200);
  CHECK(json::parse(world.Node(front).Dump()).at("moves").size() == 1);
}

TEST_CASE("malformed configuration, is refused", "[odd-entry]")
{
  json rule = {
    { "name", "r" },
    { "kind", "idempotent" },
    { "goal_s", 0.3 },
    { "prio", 2 },
    { "match", { { "prefix", "/a/" } } },
    { "action", { { "svc", "orders" }, { "timeout_s", 1 }, { "attempts", 2 } } }
  };
  json table = {
    { "version", "r7" },
    { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 1 } } },
    { "listeners", { { { "host", "h.example" }, { "rules", { rule } } } } },
    { "clusters", { { { "name", "orders" } } } }
  };
  REQUIRE(DecodeTable(table));
  json malformed = GENERATE(
    json(1e300), json(-1), json(INT64_MIN), json("x"), json::array({ 1 }));
  std::string path = GENERATE("/limits/max_header_bytes",
                              "/limits/max_body_bytes",
                              "/listeners/0/rules/0/prio",
                              "/listeners/0/rules/0/goal_s",
                              "/listeners/0/rules/0/action/timeout_s",
                              "/listeners/0/rules/0/action/attempts",
                              "/version",
                              "/listeners",
                              "/clusters");
  table[json::json_pointer(path)] = malformed;
  INFO(path << " " << malformed);
  CHECK_FALSE(DecodeTable(table));
}

TEST_CASE("malformed order or progress, is refused", "[odd-entry]")
{
  store_object order;
  order.name = "orders";
  order.revision = 5;
  order.spec = { { "svc", "orders" }, { "to", "v2" }, { "over_s", 12 } };
  order.status = {
    { "to", "v2" }, { "state", "running" }, { "order", 5 },
    { "era", 1 },   { "began_ms", 1000 },   { "widened", false }
  };
  REQUIRE(DecodeOrder(order, 1));
  json malformed =
    GENERATE(json(1e300), json(-1), json(INT64_MIN), json::array({ 1 }));
  SECTION("order")
  {
    std::string field = GENERATE("svc", "to", "over_s");
    order.spec[field] = malformed;
    CHECK_FALSE(DecodeOrder(order, 1));
  }
  SECTION("progress")
  {
    std::string field =
      GENERATE("state", "order", "era", "began_ms", "widened");
    order.status[field] = malformed;
    CHECK_FALSE(DecodeOrder(order, 1));
  }
}
