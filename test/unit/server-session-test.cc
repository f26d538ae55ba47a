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

  std::string target;
  std::string body;
  bool complete = false;
  bool disconnected = false;
  std::shared_ptr<server_exchange> exchange;
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

  static std::string Get(int aNumber)
  {
    return "GET /" + std::to_string(aNumber) +
           " HTTP/1.1\r\nHost: h.example\r\n\r\n";
  }

  loop events{ 256 };
  tcp_transport sockets;
  endpoint address = FreeAddress();
  holding_server server;
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
