#include <csignal>

#include "harness/answer-cases.h"
#include "integration/fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Requires that every answered request was executed exactly once, that every
/// request reported as not run was not executed, and that no request was
/// executed twice.
void
RequireExecutionsMatchAnswers(deployment_fixture& aTest,
                              const load_report& aReport)
{
  std::map<std::string, unsigned> executions = aTest.Executions();
  for (const std::string& id : aReport.answered_ids) {
    INFO("answered " << id);
    REQUIRE(executions[id] == 1);
  }
  for (const std::string& id : aReport.not_run_ids) {
    INFO("reported as not run " << id);
    REQUIRE(executions[id] == 0);
  }
  for (const auto& [id, count] : executions) {
    INFO("executed " << id);
    REQUIRE(count <= 1);
  }
  REQUIRE(aReport.mismatched == 0);
}

void
StartShiftDesk(deployment_fixture& aTest)
{
  for (std::size_t i = 0; i < aTest.fleet.Size(); ++i) {
    aTest.fleet.StartUpstream(i, { "shift-desk", "v1", 12, {} });
  }
  for (std::size_t i = 0; i < aTest.fleet.Size(); ++i) {
    REQUIRE(aTest.WaitForUpstreams(i, "v1", aTest.fleet.Size()));
  }
}

/// Announces an upstream of the service `shift-desk` to a node, as the upstream
/// does. Returns whether the node confirmed it.
bool
AnnounceUpstream(deployment_fixture& aTest,
                 std::size_t aNode,
                 std::size_t aUpstream,
                 bool aLeaving)
{
  json body = { { "service", "shift-desk" },
                { "version", "v1" },
                { "address",
                  ToString(aTest.fleet.UpstreamEndpoint(aUpstream)) },
                { "slots", 12 },
                { "leaving", aLeaving } };
  http_result answer = aTest.fleet.Rpc(aNode, "POST", "/v1/upstream", &body);
  return answer && answer->status == 200;
}

} // namespace

TEST_CASE("Calls_NodesKilledUnderLoad_NoRequestRunsTwiceAndNotRunIsCorrect",
          "[calls]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  StartShiftDesk(test);
  load_options options = test.MakeLoadOptions("POST", "/shifts");
  options.body_bytes = 100;
  options.calls_per_second = 150;
  load_generator load(test.fleet.Loop(), options);
  load.RecordIds();
  load.Start();
  for (std::size_t i = 0; i < 3; ++i) {
    test.fleet.RunFor(seconds(1));
    test.fleet.Node(i).Kill();
    test.fleet.RunFor(milliseconds(500));
    test.fleet.StartNode(i);
  }
  test.fleet.RunFor(seconds(2));
  load.Stop();
  REQUIRE(test.WaitUntilDrained(load));
  REQUIRE(load.Report().succeeded > 0);
  RequireExecutionsMatchAnswers(test, load.Report());
  test.RequireNoBrokenInvariant();
}

// Guards against DRAIN: the node confirms from memory that its upstream leaves,
// is killed at once, and sends calls to the upstream when it starts again.
TEST_CASE("Calls_UpstreamLeavesNodesKilledAtOnce_UpstreamGetsNoCalls",
          "[calls]")
{
  bool allKilled = GENERATE(false, true);
  constexpr std::size_t kLeaver = 0;
  constexpr int kCallsPerNode = 20;
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  std::string log = test.fleet.Folder() + "/left.log";
  // The test announces this upstream in its place.
  std::size_t left = test.fleet.StartUpstream(
    kLeaver,
    { "shift-desk", "v1", 12, { "--node=127.0.0.1:1", "--log=" + log } });
  test.fleet.StartUpstream(1, { "shift-desk", "v1", 12, {} });
  REQUIRE(AnnounceUpstream(test, kLeaver, left, false));
  REQUIRE(test.WaitForUpstreams(2, "v1", 2));
  REQUIRE(AnnounceUpstream(test, kLeaver, left, true));
  std::size_t killed = allKilled ? test.fleet.Size() : 1;
  for (std::size_t i = 0; i < killed; ++i) {
    test.fleet.Node(i).Kill();
  }
  for (std::size_t i = 0; i < killed; ++i) {
    test.fleet.StartNode(i);
  }
  REQUIRE(test.fleet.WaitUntilServing(seconds(30)));
  REQUIRE(test.WaitForUpstreams(2, "v1", 1));
  int answered = 0;
  for (std::size_t node = 0; node < test.fleet.Size(); ++node) {
    for (int call = 0; call < kCallsPerNode; ++call) {
      http_request request;
      request.method = "POST";
      request.path = "/shifts";
      request.body = "{}";
      request.headers = {
        { "x-request-id", std::to_string(node) + "-" + std::to_string(call) }
      };
      http_result answer =
        test.fleet.Call(test.fleet.NodeEndpoints(node).callers, request);
      answered += answer && answer->status == 200 ? 1 : 0;
    }
  }
  CHECK(answered > 0);
  std::ifstream executions(log);
  std::string id;
  CHECK_FALSE(executions >> id);
}

TEST_CASE("Calls_SameRequestKeyTwiceAtOneUpstream_RunsOnce", "[calls]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.StartUpstream(1, { "shift-desk", "v1", 12, {} });
  REQUIRE(test.WaitForUpstreams(0, "v1", 1));
  http_request request;
  request.method = "POST";
  request.path = "/shifts";
  request.body = "{}";
  request.headers = { { "x-request-id", "booking-7" } };
  http_result first =
    test.fleet.Call(test.fleet.NodeEndpoints(0).callers, request);
  http_result second =
    test.fleet.Call(test.fleet.NodeEndpoints(2).callers, request);
  REQUIRE(first);
  REQUIRE(first->status == 200);
  REQUIRE(second);
  REQUIRE(second->status == 409);
  REQUIRE(HeaderValue(second->headers, "x-execution") == "unknown");
  REQUIRE(test.Executions()["booking-7"] == 1);
}

TEST_CASE("Calls_SameRequestKeyAtAnyNodeAndUpstream_RunsOnce", "[calls]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  StartShiftDesk(test);
  for (int booking = 0; booking < 20; ++booking) {
    std::string id = "booking-" + std::to_string(booking);
    http_request request;
    request.method = "POST";
    request.path = "/shifts";
    request.body = "{}";
    request.headers = { { "x-request-id", id } };
    for (std::size_t node = 0; node < test.fleet.Size(); ++node) {
      http_result answer =
        test.fleet.Call(test.fleet.NodeEndpoints(node).callers, request);
      REQUIRE(answer);
      REQUIRE(answer->status == (node == 0 ? 200 : 409));
    }
    REQUIRE(test.Executions()[id] == 1);
  }
}

TEST_CASE("Calls_RequestRepeatedAfterNodeRestart_RunsOnce", "[calls]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  StartShiftDesk(test);
  auto book = [&](int aBooking, std::size_t aNode) {
    http_request request;
    request.method = "POST";
    request.path = "/shifts";
    request.body = "{}";
    request.headers = { { "x-request-id",
                          "booking-" + std::to_string(aBooking) } };
    return test.fleet.Call(test.fleet.NodeEndpoints(aNode).callers, request);
  };
  for (int booking = 0; booking < 20; ++booking) {
    http_result answer = book(booking, 0);
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
  }
  test.fleet.Node(1).Kill();
  test.fleet.StartNode(1);
  REQUIRE(test.fleet.WaitUntilServing(seconds(20)));
  REQUIRE(test.WaitForUpstreams(2, "v1", 4));
  for (int booking = 0; booking < 20; ++booking) {
    http_result answer = book(booking, 2);
    REQUIRE(answer);
    REQUIRE(answer->status == 409);
  }
  for (const auto& [id, count] : test.Executions()) {
    INFO(id);
    REQUIRE(count == 1);
  }
}

TEST_CASE("Calls_UpstreamConnectionCutAtEachStage_CompleteAnswerOrCorrectError",
          "[calls]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  endpoint upstream = test.fleet.AllocateEndpoint();
  endpoint through = test.fleet.AllocateEndpoint();
  process stand_in(
    std::string(EELGRASSTRACK_PROGRAMS) + "/upstream-stand-in",
    { "--service=shift-desk",
      "--version=v1",
      "--listen=" + ToString(upstream),
      // The test announces the upstream at the address of the proxy.
      "--node=127.0.0.1:1",
      "--log=" + test.fleet.Folder() + "/executions.log" },
    test.fleet.Folder() + "/upstreams.log");
  fault_proxy proxy(through, upstream);
  json announcement = { { "service", "shift-desk" },
                        { "version", "v1" },
                        { "address", ToString(through) } };
  long cuts[] = { 0, 1, 40, 150, 300, 500 };
  for (bool answers : { false, true }) {
    for (long cut : cuts) {
      REQUIRE(test.fleet.Rpc(0, "POST", "/v1/upstream", &announcement));
      REQUIRE(test.WaitForUpstreams(1, "v1", 1));
      proxy.faults.disconnect_after_request_bytes = answers ? -1 : cut;
      proxy.faults.disconnect_after_answer_bytes = answers ? cut : -1;
      proxy.DisconnectAll();
      test.fleet.RunFor(milliseconds(50));
      std::string id = (answers ? "answer-" : "request-") + std::to_string(cut);
      http_request request;
      request.method = "POST";
      request.path = "/shifts";
      request.body = std::string(100, 'x');
      request.headers = { { "x-request-id", id } };
      http_result answer =
        test.fleet.Call(test.fleet.NodeEndpoints(1).callers, request);
      REQUIRE(answer);
      unsigned executions = test.Executions()[id];
      INFO(id << ": " << answer->status << " " << answer->body
              << ", executions " << executions);
      REQUIRE(executions <= 1);
      if (answer->status == 200) {
        REQUIRE(answer->body.find("\"" + id + "\"") != std::string::npos);
        REQUIRE(executions == 1);
      }
      if (HeaderValue(answer->headers, "x-execution") == "not_run") {
        REQUIRE(executions == 0);
      }
    }
  }
  test.RequireNoBrokenInvariant();
}

TEST_CASE("Calls_UpstreamsAndNodesLeaveUnderLoad_NoRequestFails", "[calls]")
{
  deployment_fixture test(fleet_shape{ 4, 4 });
  test.Start();
  test.ApplyExample("seri-kenanga");
  StartShiftDesk(test);
  // Callers use only the nodes that stay, so that the leaving ones are last
  // hops.
  load_options options = test.MakeLoadOptions("POST", "/shifts");
  options.targets.resize(2);
  options.body_bytes = 100;
  options.calls_per_second = 150;
  load_generator load(test.fleet.Loop(), options);
  load.RecordIds();
  load.Start();
  test.fleet.RunFor(seconds(1));
  test.fleet.Upstream(2).Signal(SIGTERM);
  test.fleet.Node(3).Signal(SIGTERM);
  REQUIRE(test.fleet.Node(3).WaitForExit(0.01) == -1);
  test.fleet.RunFor(seconds(4));
  load.Stop();
  REQUIRE(test.WaitUntilDrained(load));
  REQUIRE(test.fleet.Node(3).WaitForExit(10) == 0);
  INFO("unknown " << load.Report().failed_unknown << ", not run "
                  << load.Report().failed_not_run << "\n"
                  << load.Report().failure_texts);
  REQUIRE(load.Report().succeeded == load.Report().started);
  RequireExecutionsMatchAnswers(test, load.Report());
}

TEST_CASE("Calls_FirstCallOverANewLink_Succeeds", "[calls]")
{
  deployment_fixture test(fleet_shape{ 8, 4 });
  test.Start();
  test.ApplyExample("seri-kenanga");
  StartShiftDesk(test);
  // With eight nodes, most pairs have no link before their first call.
  load_options options = test.MakeLoadOptions("POST", "/shifts");
  options.calls_per_second = 300;
  load_generator load(test.fleet.Loop(), options);
  load.Start();
  test.fleet.RunFor(seconds(2));
  load.Stop();
  REQUIRE(test.WaitUntilDrained(load));
  INFO(load.Report().failure_texts);
  REQUIRE(load.Report().succeeded == load.Report().started);
}

TEST_CASE("Calls_AnswerOfOneMegabyte_ArrivesComplete", "[calls]")
{
  deployment_fixture test;
  test.Start();
  test.ApplyExample("seri-kenanga");
  test.fleet.StartUpstream(2, { "shift-desk", "v1", 12, {} });
  REQUIRE(test.WaitForUpstreams(0, "v1", 1));
  http_request request;
  request.method = "POST";
  request.path = "/shifts";
  request.body = std::string(std::size_t{ 1 } << 20U, 'y');
  http_result answer =
    test.fleet.Call(test.fleet.NodeEndpoints(0).callers, request);
  REQUIRE(answer);
  REQUIRE(answer->status == 200);
  REQUIRE(json::parse(answer->body)["echo"] == request.body);
}

namespace {

/// An upstream that the test plays, next to node 1.
class scripted_upstream
{
public:
  explicit scripted_upstream(deployment_fixture& aTest)
    : mTest(aTest)
    , mAddress(aTest.fleet.AllocateEndpoint())
    , mServer(mAddress, [this](test::raw_exchange& aExchange) {
      std::lock_guard<std::mutex> guard(mLock);
      // Closing with an unread body would be a reset. A long body is left to
      // the early answers.
      constexpr unsigned long kMaxReadBytes = 1024;
      unsigned long length = std::stoul(aExchange.Field("Content-Length"));
      if (length <= kMaxReadBytes && !aExchange.Drop(length)) {
        return test::server_end::close;
      }
      aExchange.Send(test::TextOf(mAnswer, ""));
      if (mAnswer.end == test::server_end::reset) {
        std::this_thread::sleep_for(milliseconds(20));
      }
      return mAnswer.end;
    })
  {
  }

  void Set(const test::answer_case& aAnswer)
  {
    std::lock_guard<std::mutex> guard(mLock);
    mAnswer = aAnswer;
  }

  /// Sends a request to a node as a caller; an announcement of the upstream is
  /// valid for some seconds only.
  http_result Request(std::size_t aNode, const std::string& aBody)
  {
    json announcement = { { "service", "shift-desk" },
                          { "version", "v1" },
                          { "address", ToString(mAddress) },
                          { "slots", 12 } };
    http_result announced =
      mTest.fleet.Rpc(1, "POST", "/v1/upstream", &announcement);
    REQUIRE(announced);
    REQUIRE(announced->status == 200);
    http_request request;
    request.method = "POST";
    request.path = "/shifts";
    request.body = aBody;
    request.headers = { { "x-request-id",
                          "booking-" + std::to_string(++mLastId) } };
    return mTest.fleet.Call(mTest.fleet.NodeEndpoints(aNode).callers, request);
  }

private:
  deployment_fixture& mTest;
  endpoint mAddress;
  std::mutex mLock;
  test::answer_case mAnswer = test::PlainAnswer();
  unsigned mLastId = 0;
  test::raw_server mServer;
};

} // namespace

// Guards against MIXED: a broken answer reaches the caller of a node, or of the
// node beside it, as an answer.
TEST_CASE("Calls_BrokenAnswersOfAnUpstream_CallerGetsWholeOnesOnly", "[calls]")
{
  const std::size_t node = GENERATE(0U, 1U);
  deployment_fixture fixture;
  fixture.Start();
  fixture.ApplyExample("seri-kenanga");
  scripted_upstream upstream(fixture);
  REQUIRE(fixture.fleet.WaitUntil(seconds(15), [&] {
    http_result answer = upstream.Request(node, "{}");
    return answer && answer->status == 200;
  }));
  // The bytes of names are tested with the client alone.
  for (const auto& cases : { test::EndCases(),
                             test::HeadCases(),
                             test::ChunkCases(),
                             test::NeighbourCases(),
                             test::EndlessCases() }) {
    for (const test::answer_case& each : cases) {
      INFO(each.name);
      upstream.Set(each);
      http_result answer = upstream.Request(node, "{}");
      REQUIRE(answer);
      CHECK(answer->status == (each.whole ? each.status : 502));
      if (each.whole) {
        CHECK(answer->body == each.body);
      }
      upstream.Set(test::PlainAnswer());
      answer = upstream.Request(node, "{}");
      if (answer && answer->status == 502) {
        // The upstream ended the kept connection meanwhile.
        answer = upstream.Request(node, "{}");
      }
      REQUIRE(answer);
      CHECK(answer->status == 200);
      CHECK(answer->body == test::PlainAnswer().body);
    }
  }
  fixture.RequireNoBrokenInvariant();
}

// Guards against MIXED: an early answer without a length that is reset while
// the request is being written looks complete.
TEST_CASE("Calls_EarlyAnswerWithoutLengthIsReset_CallerGetsNoSuccess",
          "[calls]")
{
  constexpr std::size_t kUploadBytes = 7U << 20U;
  deployment_fixture fixture;
  fixture.Start();
  fixture.ApplyExample("seri-kenanga");
  scripted_upstream upstream(fixture);
  REQUIRE(fixture.fleet.WaitUntil(seconds(15), [&] {
    http_result answer = upstream.Request(1, "{}");
    return answer && answer->status == 200;
  }));
  upstream.Set({ "part",
                 "HTTP/1.1 200 OK\r\n{fields}\r\npart",
                 test::server_end::reset,
                 false,
                 0,
                 "" });
  for (std::size_t node : { 0U, 1U }) {
    http_result answer = upstream.Request(node, std::string(kUploadBytes, 'u'));
    REQUIRE(answer);
    CHECK(answer->status == 502);
  }
}

namespace {

/// Peak of the memory of a process in megabytes, as the kernel reports it.
double
PeakMegabytes(pid_t aProcess)
{
  constexpr double kKilobytes = 1024;
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::stod(line.substr(6)) / kKilobytes;
    }
  }
  return 0;
}

} // namespace

// Guards against bodies without end that a node keeps for all its calls
// together: each is limited, their sum is not.
TEST_CASE("Calls_BodiesWithoutEndOfAnUpstream_NodeStaysWithinItsMemory",
          "[calls][known-red]")
{
  /// What a node may take (docs/CAPACITY.md).
  constexpr double kMaxMegabytes = 256;
  constexpr unsigned kCalls = 100;
  // Within the range of the setting; twice its default.
  fleet_shape shape;
  shape.node_flags = { "--max-body-kb=16384" };
  deployment_fixture fixture(shape);
  fixture.Start();
  fixture.ApplyExample("seri-kenanga");
  const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
  endpoint address = fixture.fleet.AllocateEndpoint();
  test::raw_server upstream(address, [&](test::raw_exchange& aExchange) {
    aExchange.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (aExchange.Send(chunk)) {
    }
    return test::server_end::close;
  });
  json announcement = { { "service", "shift-desk" },
                        { "version", "v1" },
                        { "address", ToString(address) },
                        { "slots", kCalls } };
  REQUIRE(fixture.fleet.Rpc(1, "POST", "/v1/upstream", &announcement));
  REQUIRE(fixture.WaitForUpstreams(1, "v1", 1));
  tcp_transport sockets(fixture.fleet.Loop());
  http_client_options limits;
  limits.max_connections = kCalls;
  http_client callers(sockets, fixture.fleet.NodeEndpoints(1).callers, limits);
  unsigned ended = 0;
  for (unsigned i = 0; i < kCalls; ++i) {
    http_request request;
    request.method = "POST";
    request.path = "/shifts";
    request.headers = { { "x-request-id", "endless-" + std::to_string(i) } };
    callers.Start(std::move(request),
                  seconds(10),
                  [&ended](const http_result&) { ++ended; });
  }
  fixture.fleet.WaitUntil(seconds(15), [&] { return ended == kCalls; });
  double peak = PeakMegabytes(fixture.fleet.Node(1).Id());
  INFO("connections " << upstream.Connections() << ", calls ended " << ended);
  CHECK(fixture.fleet.Node(1).Running());
  REQUIRE(upstream.Connections() > 0); // others are shed by the queue
  CHECK(peak < kMaxMegabytes);
}
