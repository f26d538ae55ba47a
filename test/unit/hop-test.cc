#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/invalid-statuses.h"
#include "harness/silent-connection.h"
#include "proxy/hop-client.h"
#include "proxy/hop-fields.h"
#include "proxy/hop-server.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;

namespace {

/// Records how a request failed and stops the loop at its end.
class recording_sink final : public answer_sink
{
public:
  explicit recording_sink(loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnAnswer(message_head aHead,
                std::optional<std::uint64_t>,
                const run_load&) override
  {
    status = aHead.status;
  }
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerEnd() override { mLoop.Stop(); }
  void OnRunFailed(const run_failure& aFailure) override
  {
    failure = aFailure;
    mLoop.Stop();
  }
  bool ShouldCancelOnUnresponsiveHost() override
  {
    return cancel_on_unresponsive_host;
  }

  std::optional<run_failure> failure;
  /// Status of the answer; empty if there was none.
  std::optional<int> status;
  bool cancel_on_unresponsive_host = false;

private:
  loop& mLoop;
};

/// An instance that answers the first request on each connection and closes the
/// connection on the second one.
class closing_instance final : public connection::observer
{
public:
  closing_instance(std::shared_ptr<connection> aConnection, unsigned& aReceived)
    : mConnection(std::move(aConnection))
    , mReceived(aReceived)
  {
  }

  void OnReceived(std::string_view) override
  {
    ++mReceived;
    if (mAnswered) {
      mConnection->Close();
      return;
    }
    mAnswered = true;
    mConnection->Send(
      "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n");
  }
  void OnEnded(close_reason) override {}

private:
  std::shared_ptr<connection> mConnection;
  unsigned& mReceived;
  bool mAnswered = false;
};

/// A node or an instance that answers each request with the same text.
class scripted_node final : public connection::observer
{
public:
  scripted_node(std::shared_ptr<connection> aConnection, std::string aText)
    : mConnection(std::move(aConnection))
    , mText(std::move(aText))
  {
  }

  void OnReceived(std::string_view) override { mConnection->Send(mText); }
  void OnEnded(close_reason) override {}

private:
  std::shared_ptr<connection> mConnection;
  std::string mText;
};

/// A node on the host of an instance, and another node that sends requests to
/// it.
class hop_fixture
{
public:
  hop_fixture()
    : sockets(events)
    , pacer(events)
    , dispatcher(sockets, names, pacer.Scheduler(), crashes, versions)
    , server(sockets, names, dispatcher, pacer)
    , client(sockets, names)
    , address(FreeAddress())
    , sink(std::make_shared<recording_sink>(events))
  {
    REQUIRE(server.Listen(address));
    instance_record instance;
    instance.id = "i-here";
    instance.state = instance_state::ready;
    instance.address = FreeAddress();
    dispatcher.SetInstance(instance);
    client.OnHostRecordStale(
      [this](const std::string& aName) { stale_hosts.push_back(aName); });
  }

  run_start Send(const endpoint& aTo, const std::string& aInstance)
  {
    return client.Run("host", aTo, Request(aInstance), sink);
  }

  forwarded_request Request(const std::string& aInstance)
  {
    forwarded_request request;
    request.head.method = "GET";
    request.head.target = "/";
    request.instance = aInstance;
    request.route = "route";
    request.idempotent = true;
    request.soft_deadline = events.Now() + std::chrono::seconds(1);
    request.deadline = events.Now() + std::chrono::seconds(2);
    request.body_complete = true;
    return request;
  }

  /// Answers each request on a new address with the same text; counts the
  /// connections.
  endpoint ListenWithAnswer(const std::string& aText)
  {
    endpoint listening = FreeAddress();
    REQUIRE(sockets.Listen(
      listening, [this, aText](std::shared_ptr<connection> aNew) {
        ++connections;
        aNew->SetObserver(std::make_shared<scripted_node>(aNew, aText));
      }));
    return listening;
  }

  /// Starts a request on the only slot of an unresponsive instance and queues
  /// another one.
  void FillUnresponsiveInstance()
  {
    REQUIRE(sockets.Listen(
      mUnresponsiveAddress, [this](std::shared_ptr<connection> aConnection) {
        aConnection->SetObserver(std::make_shared<silent_connection>(received));
      }));
    unresponsive.id = "i-unresponsive";
    unresponsive.address = mUnresponsiveAddress;
    unresponsive.slots = 1;
    unresponsive.state = instance_state::ready;
    dispatcher.SetInstance(unresponsive);
    running = dispatcher.Dispatch(Request("i-unresponsive"), running_sink);
    REQUIRE(running);
    REQUIRE(dispatcher.Dispatch(Request("i-unresponsive"), sink));
    REQUIRE(dispatcher.Load().waiting == 1);
  }

  void RunFor(duration aTime)
  {
    events.RunAfter(aTime, [this] { events.Stop(); });
    events.Run();
  }

  header_names names{ "X-Id",     "X-Timeout", "X-Target",
                      "X-Caller", "X-Stamp",   "X-Not" };
  loop events{ 256 };
  tcp_transport sockets;
  link_pacer pacer;
  crash_table crashes;
  version_selector versions;
  instance_dispatcher dispatcher;
  hop_server server;
  hop_client client;
  endpoint address;
  std::shared_ptr<recording_sink> sink;
  std::vector<std::string> stale_hosts;
  instance_record unresponsive;
  unsigned received = 0;
  unsigned connections = 0;
  run_start running;
  std::shared_ptr<recording_sink> running_sink =
    std::make_shared<recording_sink>(events);

private:
  endpoint mUnresponsiveAddress = FreeAddress();
};

} // namespace

TEST_CASE_METHOD(
  hop_fixture,
  "hop client, host runs another instance, reports a stale record",
  "[hop]")
{
  // After a power failure of all hosts, the instances had new ids, and their
  // announcements did not reach nodes that were still starting. These nodes
  // kept stale records.
  REQUIRE(Send(address, "i-before"));
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::wrong_instance);
  CHECK(sink->failure->not_run);
  CHECK(stale_hosts == std::vector<std::string>{ "host" });
}

TEST_CASE_METHOD(hop_fixture,
                 "hop client, instance is unreachable, fails as not run",
                 "[hop]")
{
  REQUIRE(Send(address, "i-here"));
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::unreachable);
  CHECK(sink->failure->not_run);
  CHECK_FALSE(sink->failure->reached_instance);
  CHECK(stale_hosts.empty());
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance dispatcher, answer lost on a reused connection, does not resend",
  "[hop]")
{
  // Every resend must be counted in the retry budget, which only the first hop
  // has.
  endpoint closing = FreeAddress();
  unsigned received = 0;
  REQUIRE(sockets.Listen(
    closing, [&received](std::shared_ptr<connection> aConnection) {
      aConnection->SetObserver(
        std::make_shared<closing_instance>(aConnection, received));
    }));
  instance_record instance;
  instance.id = "i-closing";
  instance.state = instance_state::ready;
  instance.address = closing;
  dispatcher.SetInstance(instance);
  REQUIRE(Send(address, "i-closing"));
  events.Run();
  REQUIRE_FALSE(sink->failure);
  REQUIRE(Send(address, "i-closing"));
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::broken);
  CHECK_FALSE(sink->failure->not_run);
  CHECK(received == 2);
}

TEST_CASE_METHOD(
  hop_fixture,
  "hop client, host unreachable but no retry allowed, keeps waiting",
  "[hop]")
{
  // A missed probe used to cancel a request that was still running at its
  // instance, although it could not be retried.
  REQUIRE(sockets.Listen(FreeAddress(), [](std::shared_ptr<connection>) {}));
  endpoint target = FreeAddress();
  REQUIRE(sockets.Listen(target, [](std::shared_ptr<connection>) {}));
  run_start run = Send(target, "i-unresponsive");
  REQUIRE(run);
  events.RunAfter(std::chrono::milliseconds(50), [this] { events.Stop(); });
  events.Run();
  client.HandleUnreachableHost("host");
  CHECK_FALSE(sink->failure);
  sink->cancel_on_unresponsive_host = true;
  client.HandleUnreachableHost("host");
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::host_unresponsive);
  CHECK_FALSE(sink->failure->not_run);
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance dispatcher, instance is gone, waiting requests fail as not run",
  "[hop]")
{
  FillUnresponsiveInstance();
  unresponsive.state = instance_state::gone;
  dispatcher.SetInstance(unresponsive);
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::leaving);
  CHECK(sink->failure->not_run);
  CHECK_FALSE(running_sink->failure);
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance dispatcher, instance drains, starts nothing after the drain time",
  "[hop]")
{
  dispatcher.SetDrainTime(std::chrono::milliseconds(600));
  FillUnresponsiveInstance();
  RunFor(std::chrono::milliseconds(20));
  unresponsive.state = instance_state::draining;
  dispatcher.SetInstance(unresponsive);
  CHECK_FALSE(sink->failure);
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::leaving);
  CHECK(sink->failure->not_run);
  CHECK(received == 1);
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance dispatcher, same id restarts after a drain, keeps its new queue",
  "[hop]")
{
  dispatcher.SetDrainTime(std::chrono::milliseconds(600));
  FillUnresponsiveInstance();
  unresponsive.state = instance_state::draining;
  dispatcher.SetInstance(unresponsive);
  unresponsive.state = instance_state::ready;
  unresponsive.started_unix_ms = 5000;
  dispatcher.SetInstance(unresponsive);
  sink->failure.reset(); // of the request queued for the old incarnation
  REQUIRE(dispatcher.Dispatch(Request("i-unresponsive"), sink));
  REQUIRE(dispatcher.Load().waiting == 1);
  RunFor(std::chrono::milliseconds(200));
  CHECK_FALSE(sink->failure);
}

// Guards against CONFIG: a node reads a body that nobody wants until the
// deadline of its request.
TEST_CASE_METHOD(hop_fixture,
                 "hop client, failure with a body without end, fails at once",
                 "[hop]")
{
  run_failure full;
  full.reason = run_failure_reason::full;
  full.not_run = true;
  constexpr std::size_t kPart = 1U << 20U;
  std::string text = "HTTP/1.1 503 Full\r\n" + std::string(kFailedField) +
                     ": " + EncodeFailure(full) +
                     "\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" +
                     std::string(kPart, 'x') + "\r\n";
  endpoint other = FreeAddress();
  REQUIRE(sockets.Listen(other, [&text](std::shared_ptr<connection> aNew) {
    aNew->SetObserver(std::make_shared<scripted_node>(aNew, text));
  }));
  REQUIRE(Send(other, "i-there"));
  RunFor(std::chrono::milliseconds(1000));
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::full);
  CHECK(sink->failure->not_run);
}

// Guards against a status that no caller can handle, and against CONFIG: the
// first hop passed 600 on, and after 000 it waited for the route's time.
TEST_CASE_METHOD(hop_fixture,
                 "hop client, invalid status, fails at once and does not use "
                 "the connection again",
                 "[hop]")
{
  const std::string word = GENERATE(from_range(InvalidStatusWords()));
  CAPTURE(word);
  endpoint other = ListenWithAnswer(AnswerWithStatus(word, ""));
  for (unsigned i = 1; i <= 2; ++i) {
    sink->failure.reset();
    REQUIRE(Send(other, "i-there"));
    RunFor(std::chrono::milliseconds(1000));
    REQUIRE(sink->failure);
    CHECK(sink->failure->reason == run_failure_reason::broken);
    CHECK_FALSE(sink->failure->not_run);
    CHECK_FALSE(sink->status);
    CHECK(connections == i);
  }
}

// Guards against a failure that passes as an answer: the fields of a failure do
// not make an invalid status valid.
TEST_CASE_METHOD(hop_fixture,
                 "hop client, failure with an invalid status, is not taken as "
                 "not run",
                 "[hop]")
{
  run_failure full;
  full.reason = run_failure_reason::full;
  full.not_run = true;
  endpoint other = ListenWithAnswer(AnswerWithStatus(
    "600", std::string(kFailedField) + ": " + EncodeFailure(full) + "\r\n"));
  REQUIRE(Send(other, "i-there"));
  RunFor(std::chrono::milliseconds(1000));
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::broken);
  CHECK_FALSE(sink->failure->not_run);
}

// Guards against CONFIG: interim answers without end keep a request until the
// route's time.
TEST_CASE_METHOD(hop_fixture,
                 "hop client, more interim answers than are skipped, fails at "
                 "once",
                 "[hop]")
{
  endpoint other = ListenWithAnswer(InterimAnswers(kMaxInterim + 1));
  REQUIRE(Send(other, "i-there"));
  RunFor(std::chrono::milliseconds(1000));
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::broken);
}

// Guards against EXPOSURE: a version that answers with an invalid status counts
// as one that serves.
TEST_CASE_METHOD(hop_fixture,
                 "instance dispatcher, invalid status, is a failed run",
                 "[hop]")
{
  const std::string word = GENERATE(from_range(InvalidStatusWords()));
  CAPTURE(word);
  std::vector<run_result> results;
  dispatcher.OnResult(
    [&results](const run_result& aResult) { results.push_back(aResult); });
  instance_record instance;
  instance.id = "i-odd";
  instance.state = instance_state::ready;
  instance.address = ListenWithAnswer(AnswerWithStatus(word, "X-Stamp: s\r\n"));
  dispatcher.SetInstance(instance);
  REQUIRE(Send(address, "i-odd"));
  RunFor(std::chrono::milliseconds(1000));
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::broken);
  CHECK(sink->failure->reached_instance);
  CHECK_FALSE(sink->failure->not_run);
  REQUIRE(results.size() == 1);
  CHECK(results[0].failed);
  CHECK_FALSE(results[0].unanswered);
}

TEST_CASE("hop fields, time out of its range, are refused", "[hop]")
{
  std::string time = GENERATE("9223372036854775807", "-9223372036854775808");
  forwarded_request request;
  CHECK(DecodeCall("i r 0 once 100 100 -", {}, request));
  CHECK_FALSE(DecodeCall("i r 0 once 100 " + time + " -", {}, request));
  CHECK_FALSE(DecodeCall("i r 0 once " + time + " 100 -", {}, request));
  CHECK(DecodeLoad("1 1 4 10"));
  CHECK_FALSE(DecodeLoad("1 1 4 " + time));
  CHECK(DecodeFailure("full not_run unreached 10"));
  CHECK_FALSE(DecodeFailure("full not_run unreached " + time));
}

// Guards against uploads that stand still and keep the slots of the instance:
// requests through all nodes then waited until the route's timeout.
TEST_CASE_METHOD(
  hop_fixture,
  "instance dispatcher, upload stands still and another request comes, upload "
  "loses its slot and may have run",
  "[hop]")
{
  dispatcher.SetStallTimes(std::chrono::seconds(10),
                           std::chrono::milliseconds(40));
  endpoint busy = FreeAddress();
  REQUIRE(sockets.Listen(busy, [this](std::shared_ptr<connection> aConnection) {
    aConnection->SetObserver(std::make_shared<silent_connection>(received));
  }));
  unresponsive.id = "i-unresponsive";
  unresponsive.address = busy;
  unresponsive.slots = 1;
  unresponsive.state = instance_state::ready;
  dispatcher.SetInstance(unresponsive);
  forwarded_request upload = Request("i-unresponsive");
  upload.body = "first part";
  upload.body_complete = false;
  upload.body_length = 1000000;
  running = dispatcher.Dispatch(std::move(upload), running_sink);
  REQUIRE(running);
  RunFor(std::chrono::milliseconds(100));
  CHECK_FALSE(running_sink->failure);
  CHECK(dispatcher.Load().busy == 1);
  REQUIRE(dispatcher.Dispatch(Request("i-unresponsive"), sink));
  RunFor(std::chrono::milliseconds(20));
  REQUIRE(running_sink->failure);
  CHECK(running_sink->failure->reason == run_failure_reason::upload_stalled);
  CHECK_FALSE(running_sink->failure->not_run);
  CHECK(running_sink->failure->reached_instance);
  CHECK(dispatcher.Load().busy == 1);
  CHECK(dispatcher.Load().waiting == 0);
  CHECK(received == 2);
}

// Guards against uploads that lose their slot while they move, or while nobody
// else needs it.
TEST_CASE_METHOD(hop_fixture,
                 "instance dispatcher, upload moves, keeps its slot",
                 "[hop]")
{
  dispatcher.SetStallTimes(std::chrono::seconds(10),
                           std::chrono::milliseconds(100));
  FillUnresponsiveInstance();
  (*running)->Cancel();
  RunFor(std::chrono::milliseconds(20));
  forwarded_request upload = Request("i-unresponsive");
  upload.body = "first part";
  upload.body_complete = false;
  upload.body_length = 1000000;
  unresponsive.slots = 2;
  dispatcher.SetInstance(unresponsive);
  running = dispatcher.Dispatch(std::move(upload), running_sink);
  REQUIRE(running);
  REQUIRE(dispatcher.Load().busy == 2);
  REQUIRE(dispatcher.Dispatch(Request("i-unresponsive"), sink));
  for (int i = 0; i < 8; ++i) {
    (*running)->SendBody(std::string(5000, 'x'), false);
    RunFor(std::chrono::milliseconds(40));
  }
  CHECK_FALSE(running_sink->failure);
}
