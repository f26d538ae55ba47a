#include "integration/fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::seconds;

namespace {

http_result
Post(local_fleet& aFleet,
     const std::string& aPath,
     std::string aBody,
     const std::string& aSecret = kFleetSecret)
{
  http_request request;
  request.method = "POST";
  request.path = aPath;
  request.body = std::move(aBody);
  request.headers = { { "authorization", "Bearer " + aSecret },
                      { "content-type", "application/json" } };
  return aFleet.Call(aFleet.NodeEndpoints(0).operators, std::move(request));
}

} // namespace

TEST_CASE("BadInput_InvalidRequestBodies_ClearErrorAndUnchangedState",
          "[bad-input]")
{
  deployment_fixture test(fleet_shape{ 1, 1 });
  test.Start();
  test.ApplyExample("seri-kenanga");
  const std::string bodies[] = {
    "",
    "{",
    "[]",
    "null",
    "\"text\"",
    "\xff\xfe\x01",
    R"({"operation_id": 7})",
    R"({"operation_id": "has space"})",
    R"({"operation_id": "a", "unknown": 1})",
    R"({"operation_id": "a", "expected_version": -1})",
    R"({"operation_id": "a", "documents": {}})",
    R"({"operation_id": "a", "documents": [7]})",
    R"({"operation_id": "a", "documents": [{"kind": "service"}]})",
    R"({"operation_id": "a", "documents": [{"kind": "service", "name": "x", "version": "v", "slots": 0}]})",
    R"({"operation_id": "a", "documents": [{"kind": "service", "name": "x", "version": "v", "slots": 9, "connections": 3}]})",
    R"({"operation_id": "a", "documents": [{"kind": "service", "name": "x", "version": "v", "extra": 1}]})",
    R"({"operation_id": "a", "documents": [{"kind": "rollout", "id": "x"}]})",
    R"({"operation_id": "a", "documents": [{"kind": "routes", "name": "r", "routes": [{"name": "n", "path_prefix": "/x", "service": "missing"}]}]})",
    R"({"operation_id": "a", "documents": [{"kind": "routes", "name": "r", "routes": [{"name": "status", "path_prefix": "/x", "service": "rota-board"}]}]})",
    R"({"operation_id": "a", "documents": [{"kind": "routes", "name": "r", "routes": [{"name": "n", "path_prefix": "x", "service": "rota-board"}]}]})",
    R"({"operation_id": "a", "removed": ["service/rota-board"]})",
    R"({"operation_id": "a", "removed": ["service/none"]})",
  };
  for (const std::string& body : bodies) {
    http_result answer = Post(test.fleet, "/v1/config/apply", body);
    INFO(body);
    REQUIRE(answer);
    INFO(answer->body);
    REQUIRE(answer->status >= 400);
    REQUIRE(answer->status < 500);
    json parsed = json::parse(answer->body);
    REQUIRE(parsed["execution"] == "not_run");
    REQUIRE(!parsed["message"].get<std::string>().empty());
    REQUIRE(test.fleet.VersionAt(0) == 1);
  }
}

TEST_CASE("BadInput_WrongSecretPathOrSize_RefusedAndUnchanged", "[bad-input]")
{
  deployment_fixture test(fleet_shape{ 1, 1 });
  test.Start();
  std::string body = R"({"operation_id": "a"})";
  http_result wrong =
    Post(test.fleet, "/v1/config/apply", body, "wrong-secret");
  REQUIRE(wrong);
  REQUIRE(wrong->status == 401);
  http_result none = Post(test.fleet, "/v1/nothing", body);
  REQUIRE(none);
  REQUIRE(none->status == 404);
  http_result huge =
    Post(test.fleet, "/v1/config/apply", std::string(5 << 20, 'x'));
  bool refused = !huge || huge->status == 413;
  REQUIRE(refused);
  REQUIRE(test.fleet.VersionAt(0) == 0);
}

TEST_CASE("BadInput_TruncatedBody_ConnectionClosedAndStateUnchanged",
          "[bad-input]")
{
  deployment_fixture test(fleet_shape{ 1, 1 });
  test.Start();
  endpoint through = test.fleet.AllocateEndpoint();
  fault_proxy proxy(through, test.fleet.NodeEndpoints(0).operators);
  proxy.faults.disconnect_after_request_bytes = 250;
  http_request request;
  request.method = "POST";
  request.path = "/v1/config/apply";
  request.headers = { { "authorization",
                        std::string("Bearer ") + kFleetSecret } };
  request.body = json{
    { "operation_id", "a" },
    { "documents",
      { { { "kind", "service" },
          { "name", std::string(60, 'x') },
          { "version", "v1" } } } }
  }.dump();
  http_result answer = test.fleet.Call(through, request);
  REQUIRE(!answer);
  REQUIRE(answer.error().execution_status == execution::unknown);
  test.fleet.RunFor(seconds(1));
  REQUIRE(test.fleet.VersionAt(0) == 0);
}
