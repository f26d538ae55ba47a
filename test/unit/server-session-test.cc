#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "harness/free-address.h"
#include "proxy/server-session.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// A request that the test answers.
class held_request final : public request_handler
{
public:
  void OnClientDisconnected() override
  {
    disconnected = true;
    exchange.reset();
  }
  void OnRequestBody(std::string_view aBytes, bool aLast) override
  {
    body += aBytes;
    complete = complete || aLast;
  }
  void OnBodyStalled() override
  {
    stalled = true;
    if (std::shared_ptr<server_exchange> ended = std::move(exchange)) {
      ended->Answer(504, {});
    }
  }
  bool MayHaveRun() const override { return may_have_run; }

  std::string target;
  std::string body;
  bool complete = false;
  bool disconnected = false;
  bool stalled = false;
  bool may_have_run = false;
  std::shared_ptr<server_exchange> exchange;
  body_reservation held;
};

/// Keeps all requests until the test answers them.
class holding_server final : public request_server
{
public:
  traffic_limits Limits() const override { return limits; }
  std::shared_ptr<request_handler> Begin(
    received_request aRequest,
    const std::shared_ptr<server_exchange>& aExchange) override
  {
    auto request = std::make_shared<held_request>();
    request->target = aRequest.head.target;
    request->body = aRequest.body;
    request->complete = aRequest.body_complete;
    request->exchange = aExchange;
    request->held = std::move(aRequest.held);
    requests.push_back(request);
    return request;
  }
  bool IsClosing() const override { return closing; }

  traffic_limits limits;
  std::vector<std::shared_ptr<held_request>> requests;
  bool closing = false;
};

class recording_client final : public connection::observer
{
public:
  void OnReceived(std::string_view aBytes) override { received += aBytes; }
  void OnEnded(close_reason) override { ended = true; }

  std::string received;
  bool ended = false;
};

class session_fixture
{
public:
  session_fixture()
    : sockets(events)
    , client(std::make_shared<recording_client>())
  {
    REQUIRE(sessions.Listen(sockets, address, server));
    caller = sockets.Connect(address, {});
    caller->SetObserver(client);
  }

  ~session_fixture()
  {
    for (const auto& request : server.requests) {
      request->exchange.reset();
    }
  }

  /// Replaces the client's connection.
  void Reconnect()
  {
    client = std::make_shared<recording_client>();
    caller = sockets.Connect(address, {});
    caller->SetObserver(client);
  }

  void Send(const std::string& aText)
  {
    caller->Send(aText);
    Wait();
  }

  void Answer(std::size_t aRequest, const std::string& aBody)
  {
    std::shared_ptr<server_exchange> exchange =
      std::move(server.requests.at(aRequest)->exchange);
    exchange->Answer(200, {}, aBody);
    Wait();
  }

  void Wait()
  {
    events.RunAfter(milliseconds(30), [this] { events.Stop(); });
    events.Run();
  }

  /// Ends what exceeds a time limit, as if `aPassed` had passed since.
  void SweepAfter(duration aPassed)
  {
    sessions.Sweep(events.Now() + aPassed);
    Wait();
  }

  static std::string Post(const std::string& aFields)
  {
    return "POST /0 HTTP/1.1\r\nHost: h.example\r\n" + aFields + "\r\n";
  }

  static std::string Get(int aNumber)
  {
    return "GET /" + std::to_string(aNumber) +
           " HTTP/1.1\r\nHost: h.example\r\n\r\n";
  }

  loop events{ 256 };
  tcp_transport sockets;
  endpoint address = FreeAddress();
  holding_server server;
  body_budget budget{ std::size_t{ 1 } << 20U };
  session_list sessions;
  std::shared_ptr<recording_client> client;
  std::shared_ptr<connection> caller;
};

} // namespace

TEST_CASE_METHOD(session_fixture,
                 "server session, pipelined reads, run together and are "
                 "answered in order",
                 "[session]")
{
  Send(Get(0) + Get(1) + Get(2));
  REQUIRE(server.requests.size() == 3);
  Answer(2, "third");
  Answer(1, "second");
  CHECK(client->received.empty());
  Answer(0, "first");
  std::size_t first = client->received.find("first");
  std::size_t second = client->received.find("second");
  std::size_t third = client->received.find("third");
  REQUIRE(third != std::string::npos);
  CHECK(first < second);
  CHECK(second < third);
}

TEST_CASE_METHOD(session_fixture,
                 "server session, write behind a read, waits for its answer",
                 "[session]")
{
  // A request behind an answer that closes the connection counts as not read,
  // so only one that may be repeated is started early.
  Send(Get(0) +
       "POST /1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody" +
       Get(2));
  REQUIRE(server.requests.size() == 1);
  Answer(0, "first");
  REQUIRE(server.requests.size() >= 2);
  CHECK(server.requests[1]->target == "/1");
  CHECK(server.requests[1]->body == "body");
}

TEST_CASE_METHOD(session_fixture,
                 "server session, flood of pipelined requests, runs a few at a "
                 "time",
                 "[session]")
{
  std::string flood;
  constexpr int kRequests = 3000;
  for (int i = 0; i < kRequests; ++i) {
    flood += Get(i);
  }
  Send(flood);
  CHECK(server.requests.size() <= 8);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(server.requests.size() > static_cast<std::size_t>(i));
    Answer(i, "x");
  }
  CHECK(server.requests.size() <= 28);
}

TEST_CASE_METHOD(session_fixture,
                 "server session, node stops with pipelined requests, answers "
                 "all before it closes",
                 "[session]")
{
  Send(Get(0) + Get(1));
  REQUIRE(server.requests.size() == 2);
  server.closing = true;
  Answer(0, "first");
  CHECK(client->received.find("Connection: close") == std::string::npos);
  CHECK_FALSE(client->ended);
  Answer(1, "second");
  CHECK(client->received.find("second") != std::string::npos);
  CHECK(client->ended);
}

TEST_CASE_METHOD(
  session_fixture,
  "server session, hundreds of stops at any moment, every started "
  "request is answered",
  "[session]")
{
  std::mt19937 random(1);
  constexpr int kStops = 200;
  for (int stop = 0; stop < kStops; ++stop) {
    server.closing = false;
    server.requests.clear();
    Reconnect();
    std::string sent;
    int pipelined = static_cast<int>(random() % 4) + 1;
    for (int i = 0; i < pipelined; ++i) {
      sent += Get(i);
    }
    Send(sent);
    REQUIRE(server.requests.size() == static_cast<std::size_t>(pipelined));
    std::vector<std::size_t> order(server.requests.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random);
    std::size_t before = random() % order.size();
    for (std::size_t i = 0; i < order.size(); ++i) {
      server.closing = server.closing || i == before;
      std::shared_ptr<server_exchange> exchange =
        std::move(server.requests[order[i]]->exchange);
      exchange->Answer(200, {}, "answer;");
    }
    Wait();
    std::size_t answers = 0;
    for (std::size_t at = client->received.find("answer;");
         at != std::string::npos;
         at = client->received.find("answer;", at + 1)) {
      ++answers;
    }
    CHECK(answers == order.size());
  }
}

TEST_CASE_METHOD(session_fixture,
                 "server session, invalid input behind a request, answers the "
                 "request first",
                 "[session]")
{
  Send(Get(0) + "no request at all\r\n\r\n");
  REQUIRE(server.requests.size() == 1);
  CHECK(client->received.empty());
  Answer(0, "first");
  CHECK(client->received.find("first") < client->received.find("400"));
  CHECK(client->ended);
}

TEST_CASE_METHOD(session_fixture,
                 "server session, answer aborted behind another, completes the "
                 "other one",
                 "[session]")
{
  Send(Get(0) + Get(1));
  REQUIRE(server.requests.size() == 2);
  std::shared_ptr<server_exchange> second =
    std::move(server.requests[1]->exchange);
  message_head head;
  head.status = 200;
  second->BeginAnswer(head, 1000);
  second->SendAnswerBody("part");
  second->AbortAnswer();
  Wait();
  CHECK_FALSE(client->ended);
  Answer(0, "first");
  CHECK(client->received.find("first") != std::string::npos);
  CHECK(client->received.find("part") == std::string::npos);
  CHECK(client->ended);
}

TEST_CASE_METHOD(session_fixture,
                 "server session, client leaves, ends all its requests",
                 "[session]")
{
  Send(Get(0) + Get(1));
  REQUIRE(server.requests.size() == 2);
  caller->Close();
  Wait();
  CHECK(server.requests[0]->disconnected);
  CHECK(server.requests[1]->disconnected);
}

TEST_CASE_METHOD(session_fixture,
                 "server session, chunked body grows past the limit, is "
                 "rejected",
                 "[session]")
{
  // The first part of a long body was handed on; the rest was then streamed
  // without a limit.
  server.limits.body_bytes = 400000;
  Send("POST /0 HTTP/1.1\r\nHost: h.example\r\n"
       "Transfer-Encoding: chunked\r\n\r\n");
  const std::string part(100000, 'x');
  for (int i = 0; i < 6; ++i) {
    Send("186a0\r\n" + part + "\r\n");
  }
  REQUIRE(server.requests.size() == 1);
  CHECK(server.requests[0]->disconnected);
  CHECK(client->received.find("413") != std::string::npos);
  CHECK(client->ended);
}

TEST_CASE_METHOD(session_fixture,
                 "server session, chunk size line without end, is rejected",
                 "[session]")
{
  Send("POST /0 HTTP/1.1\r\nHost: h.example\r\n"
       "Transfer-Encoding: chunked\r\n\r\n1;");
  const std::string endless(50000, 'x');
  for (int i = 0; i < 4 && !client->ended; ++i) {
    Send(endless);
  }
  CHECK(client->received.find("431") != std::string::npos);
  CHECK(client->ended);
}

// Guards against 413, which promises that the request has not run, for a body
// whose first part an instance has received.
TEST_CASE_METHOD(session_fixture,
                 "server session, streamed body grows past the limit, does not "
                 "promise that the request has not run",
                 "[session]")
{
  server.limits.body_bytes = 400000;
  Send(Post("Transfer-Encoding: chunked\r\n"));
  const std::string part(100000, 'x');
  for (int i = 0; i < 6; ++i) {
    Send("186a0\r\n" + part + "\r\n");
    if (!server.requests.empty()) {
      server.requests[0]->may_have_run = true;
    }
  }
  REQUIRE(server.requests.size() == 1);
  CHECK(client->received.find("413") == std::string::npos);
  CHECK(client->received.find("400") != std::string::npos);
  CHECK(client->ended);
}

// Guards against connections that keep part of a body for ever.
TEST_CASE_METHOD(session_fixture,
                 "server session, body stands still before its request began, "
                 "is rejected with 408",
                 "[session]")
{
  sessions.SetBudget(budget);
  Send(Post("Content-Length: 1000\r\n") + std::string(999, 'x'));
  CHECK(budget.HeldBytes() >= 999);
  SweepAfter(std::chrono::seconds(15));
  CHECK_FALSE(client->ended);
  SweepAfter(std::chrono::seconds(21));
  CHECK(client->received.find("408") != std::string::npos);
  CHECK(client->ended);
  CHECK(server.requests.empty());
  CHECK(budget.HeldBytes() == 0);
  CHECK(sessions.Counts().stalled == 1);
}

// Guards against uploads that keep a slot of an instance while nothing of them
// arrives, and against one that is ended although the instance holds it up.
TEST_CASE_METHOD(session_fixture,
                 "server session, streamed body stands still, handler is told "
                 "unless it has paused the body",
                 "[session]")
{
  Send(Post("Content-Length: 1000000\r\n") + std::string(300000, 'x'));
  Wait();
  REQUIRE(server.requests.size() == 1);
  server.requests[0]->exchange->PauseBody(true);
  SweepAfter(std::chrono::seconds(21));
  CHECK_FALSE(server.requests[0]->stalled);
  server.requests[0]->exchange->PauseBody(false);
  SweepAfter(std::chrono::seconds(21));
  CHECK(server.requests[0]->stalled);
  CHECK(client->received.find("504") != std::string::npos);
  CHECK(client->ended);
}

// Guards against collected bodies without a bound on their sum.
TEST_CASE_METHOD(session_fixture,
                 "server session, memory for bodies used up, refuses a large "
                 "body with 503 and serves a small one",
                 "[session]")
{
  sessions.SetBudget(budget);
  body_reservation others(budget);
  REQUIRE(others.Resize(700000));
  Send(Post("Content-Length: 200000\r\n") + std::string(199999, 'x'));
  Wait();
  CHECK(client->received.find("503") != std::string::npos);
  CHECK(client->ended);
  CHECK(budget.HeldBytes() == 700000);
  CHECK(sessions.Counts().refused_memory == 1);
  Reconnect();
  Send(Post("Content-Length: 1000\r\n") + std::string(1000, 'x'));
  REQUIRE(server.requests.size() == 1);
  CHECK(server.requests[0]->body.size() == 1000);
  CHECK(server.requests[0]->held.Bytes() >= 1000);
}

// Guards against bodies that stand still and keep the memory from others until
// the usual time limit.
TEST_CASE_METHOD(session_fixture,
                 "server session, memory for bodies used up, ends bodies that "
                 "stand still for a new one",
                 "[session]")
{
  sessions.SetBudget(budget);
  session_limits limits;
  limits.stall_time_when_full = milliseconds(50);
  sessions.SetLimits(limits);
  std::vector<std::shared_ptr<connection>> standing;
  for (int i = 0; i < 3; ++i) {
    Reconnect();
    standing.push_back(caller);
    Send(Post("Content-Length: 250000\r\n") + std::string(249999, 'x'));
    Wait();
  }
  CHECK(budget.HeldBytes() > 700000);
  Wait();
  Wait();
  Reconnect();
  Send(Post("Content-Length: 250000\r\n") + std::string(250000, 'x'));
  Wait();
  REQUIRE(server.requests.size() == 1);
  CHECK(server.requests[0]->complete);
  CHECK(sessions.Counts().stalled == 3);
}

// Guards against chunks of one byte that keep a whole read buffer (64 KiB) for
// each connection.
TEST_CASE_METHOD(session_fixture,
                 "server session, chunks of one byte, keeps about the bytes of "
                 "the body",
                 "[session]")
{
  sessions.SetBudget(budget);
  std::string chunks;
  constexpr std::size_t kChunks = 20000;
  for (std::size_t i = 0; i < kChunks; ++i) {
    chunks += "1\r\nx\r\n";
  }
  Send(Post("Transfer-Encoding: chunked\r\n") + chunks);
  Wait();
  CHECK(budget.HeldBytes() >= kChunks);
  CHECK(budget.HeldBytes() < 2 * kChunks);
}

// Guards against connections without a request that use up all descriptors.
TEST_CASE_METHOD(session_fixture,
                 "server session, too many connections, closes the longest "
                 "idle ones and none with a request",
                 "[session]")
{
  session_limits limits;
  limits.max_connections = 4;
  sessions.SetLimits(limits);
  Send(Get(0));
  std::shared_ptr<recording_client> busy = client;
  std::vector<std::shared_ptr<recording_client>> idle;
  std::vector<std::shared_ptr<connection>> open;
  for (int i = 0; i < 4; ++i) {
    Reconnect();
    idle.push_back(client);
    open.push_back(caller);
    Wait();
  }
  CHECK(idle[0]->ended);
  CHECK_FALSE(idle[3]->ended);
  CHECK_FALSE(busy->ended);
  CHECK(sessions.Counts().closed_for_others == 1);
  Reconnect();
  Send(Get(1));
  CHECK(server.requests.size() == 2);
}

// Guards against answers that pile up for a client that sends requests ahead
// and reads nothing.
TEST_CASE_METHOD(session_fixture,
                 "server session, client reads no answers, starts no further "
                 "request and goes on once they are read",
                 "[session]")
{
  caller->PauseReading(true);
  constexpr std::size_t kRequests = 60;
  const std::string answer(1U << 20U, 'a');
  std::string sent;
  for (std::size_t i = 0; i < kRequests; ++i) {
    sent += Get(static_cast<int>(i));
  }
  Send(sent);
  std::size_t answered = 0;
  auto answerAll = [&] {
    while (answered < server.requests.size()) {
      Answer(answered++, answer);
    }
  };
  answerAll();
  std::size_t started = server.requests.size();
  CHECK(started < kRequests);
  Wait();
  CHECK(server.requests.size() == started);
  caller->PauseReading(false);
  for (std::size_t i = 0; i < kRequests && answered < kRequests; ++i) {
    Wait();
    answerAll();
  }
  CHECK(answered == kRequests);
}

// Guards against an idle time on the connection that counts as time taken for
// the head.
TEST_CASE_METHOD(session_fixture,
                 "server session, head in two parts after an idle time, is "
                 "not rejected",
                 "[session]")
{
  server.limits.head_timeout = milliseconds(100);
  for (int i = 0; i < 6; ++i) {
    Wait();
  }
  Send("GET /0 HTTP/1.1\r\n");
  sessions.Sweep(events.Now());
  Send("Host: h.example\r\n\r\n");
  CHECK(server.requests.size() == 1);
  Reconnect();
  Send("GET /0 HTTP/1.1\r\n");
  SweepAfter(milliseconds(200));
  CHECK(client->received.find("408") != std::string::npos);
}
