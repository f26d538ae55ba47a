#include "distribution/config-state.h"
#include "integration/fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::seconds;

TEST_CASE("Distribution_StoreOutageRightAfterAccept_ChangeReachesEveryNode",
          "[distribution]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  http_result accepted = test.ApplyService(2, "extra", "op-1");
  test.fleet.SetFaults(test.fleet.StoreEndpoint(), { { "out", true } });
  REQUIRE(accepted);
  REQUIRE(accepted->status == 200);
  REQUIRE(test.fleet.WaitUntilVersion(2, seconds(15)));
  test.RequireNoBrokenInvariant();
}

TEST_CASE("Distribution_WriteAnswerLost_AppliedOnceAndRepeatIsReported",
          "[distribution]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.SetFaults(test.fleet.StoreEndpoint(), { { "lose_answers", 1 } });
  http_result accepted = test.ApplyService(1, "extra", "op-lost");
  REQUIRE(accepted);
  REQUIRE(accepted->status == 200);
  REQUIRE(json::parse(accepted->body)["version"] == 2);
  http_result repeated = test.ApplyService(3, "extra", "op-lost");
  REQUIRE(repeated);
  REQUIRE(json::parse(repeated->body)["version"] == 2);
  REQUIRE(json::parse(repeated->body)["repeated"] == true);
}

TEST_CASE("Distribution_TwoOperatorsExpectSameVersion_SecondGetsConflict",
          "[distribution]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  auto body = [](const char* aOperation, const char* aName) {
    return json{
      { "operation_id", aOperation },
      { "expected_version", 1 },
      { "documents",
        { { { "kind", "service" }, { "name", aName }, { "version", "v1" } } } }
    };
  };
  json first = body("op-a", "a");
  json second = body("op-b", "b");
  http_result one = test.fleet.Rpc(0, "POST", "/v1/config/apply", &first);
  http_result two = test.fleet.Rpc(3, "POST", "/v1/config/apply", &second);
  REQUIRE(one);
  REQUIRE(two);
  REQUIRE(one->status == 200);
  REQUIRE(two->status == 409);
  REQUIRE(json::parse(two->body)["execution"] == "not_run");
  REQUIRE(two->body.find("version 2") != std::string::npos);
}

TEST_CASE("Distribution_AllNodesRestartDuringOutage_NoneServesBeforeItEnds",
          "[distribution]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.SetFaults(test.fleet.StoreEndpoint(), { { "out", true } });
  for (std::size_t i = 0; i < 4; ++i) {
    test.fleet.Node(i).Kill();
    test.fleet.StartNode(i);
  }
  test.fleet.RunFor(seconds(5));
  for (std::size_t i = 0; i < 4; ++i) {
    http_request request;
    request.method = "GET";
    request.path = "/status/x";
    http_result answer =
      test.fleet.Call(test.fleet.NodeEndpoints(i).callers, std::move(request));
    REQUIRE(answer);
    REQUIRE(answer->status == 503);
    REQUIRE(HeaderValue(answer->headers, "x-execution") == "not_run");
  }
  test.fleet.SetFaults(test.fleet.StoreEndpoint(), { { "out", false } });
  REQUIRE(test.fleet.WaitUntilServing(seconds(30)));
  REQUIRE(test.fleet.WaitUntilVersion(1, seconds(15)));
  test.RequireNoBrokenInvariant();
}

TEST_CASE("Distribution_OneNodeRestartsDuringOutage_ServesConfigOfItsPeers",
          "[distribution]")
{
  fleet_shape shape{ 5, 5 };
  shape.has_seeds = true;
  deployment_fixture test(shape);
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.RunFor(seconds(8));
  test.fleet.SetFaults(test.fleet.StoreEndpoint(), { { "out", true } });
  test.fleet.Node(4).Kill();
  test.fleet.StartNode(4);
  REQUIRE(test.fleet.WaitUntilServing(seconds(20)));
  REQUIRE(test.fleet.VersionAt(4) == 1);
}

TEST_CASE("Distribution_NodePausedDuringChange_AppliesItAfterResuming",
          "[distribution]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.Node(3).Signal(SIGSTOP);
  test.fleet.RunFor(seconds(4));
  REQUIRE(test.ApplyService(0, "extra", "op-1"));
  test.fleet.Node(3).Signal(SIGCONT);
  REQUIRE(test.fleet.WaitUntil(seconds(15),
                               [&] { return test.fleet.VersionAt(3) == 2; }));
  test.RequireNoBrokenInvariant();
}

TEST_CASE("Distribution_StoreUnreachableForAllNodes_NodesAgreeAfterwards",
          "[distribution]")
{
  fleet_shape shape{ 4, 4 };
  endpoint through{ "127.0.0.1", 9990 };
  shape.store_proxy = through;
  deployment_fixture test(shape);
  fault_proxy proxy(through, test.fleet.StoreEndpoint());
  test.Start();
  test.ApplyExample("seri-kenanga");
  proxy.faults.drop_all = true;
  proxy.DisconnectAll();
  test.fleet.RunFor(seconds(3));
  proxy.faults.drop_all = false;
  proxy.DisconnectAll();
  REQUIRE(test.fleet.WaitUntil(seconds(30), [&] {
    http_result answer = test.ApplyService(1, "extra", "op-1");
    return answer && answer->status == 200;
  }));
  REQUIRE(test.fleet.WaitUntilVersion(2, seconds(15)));
  test.RequireNoBrokenInvariant();
}

// Guards against nodes that serve an older configuration because all their
// connections to the store have fallen silent, and the node that accepted the
// change died before it sent it on.
TEST_CASE("Distribution_StoreConnectionsFallSilent_ChangeIsInForceInTime",
          "[distribution]")
{
  constexpr duration kInForceWithin = seconds(15);
  fleet_shape shape{ 4, 2 };
  endpoint through{ "127.0.0.1", 9991 };
  shape.store_proxy = through;
  deployment_fixture test(shape);
  fault_proxy proxy(through, test.fleet.StoreEndpoint());
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.RunFor(seconds(8));
  proxy.SilenceOpenConnections();
  test.fleet.RunFor(seconds(1));
  http_request read;
  read.method = "GET";
  read.path = "/v1/objects/" + std::string(kConfigKey);
  http_result stored = test.fleet.Call(test.fleet.StoreEndpoint(), read);
  REQUIRE(stored);
  json config = json::parse(stored->body);
  config["version"] = 2;
  http_request write;
  write.method = "PUT";
  write.path = read.path;
  write.headers = { { "if-match",
                      std::string(HeaderValue(stored->headers, "etag")) } };
  write.body = config.dump();
  http_result written = test.fleet.Call(test.fleet.StoreEndpoint(), write);
  REQUIRE(written);
  REQUIRE(written->status == 200);
  REQUIRE(test.fleet.WaitUntilVersion(2, kInForceWithin));
  test.RequireNoBrokenInvariant();
}

// Guards against a 404 whose cause can't be told from the node alone: by which
// configuration it decided, from whom that came, and how old its knowledge was.
TEST_CASE("Distribution_RequestWithoutRoute_LogAndMetricsShowTheConfiguration",
          "[distribution]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.RunFor(seconds(3));
  http_request request;
  request.method = "GET";
  request.path = "/no-such-route";
  http_result answer =
    test.fleet.Call(test.fleet.NodeEndpoints(2).callers, std::move(request));
  REQUIRE(answer);
  REQUIRE(answer->status == 404);
  http_result metrics = test.fleet.Rpc(2, "GET", "/metrics");
  REQUIRE(metrics);
  for (const char* name : { "config_version 1\n",
                            "config_source{source=\"",
                            "config_age_seconds ",
                            "store_knowledge_age_seconds ",
                            "store_watcher " }) {
    CAPTURE(name);
    CHECK(metrics->body.find(std::string("eelgrasstrack_") + name) !=
          std::string::npos);
  }
  std::ifstream log(test.fleet.Folder() + "/node-2.log");
  std::string lines((std::istreambuf_iterator<char>(log)),
                    std::istreambuf_iterator<char>());
  std::size_t at = lines.find("no_route");
  REQUIRE(at != std::string::npos);
  std::string line = lines.substr(at, lines.find('\n', at) - at);
  CAPTURE(line);
  CHECK(line.find("target=/no-such-route") != std::string::npos);
  CHECK(line.find("config=1") != std::string::npos);
  CHECK(line.find("source=") != std::string::npos);
  CHECK(line.find("store_age_ms=") != std::string::npos);
  CHECK(line.find("store_age_ms=unknown") == std::string::npos);
}
