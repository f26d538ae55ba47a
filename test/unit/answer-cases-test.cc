#include <catch2/catch.hpp>
#include <mutex>

#include "harness/answer-cases.h"
#include "harness/mesh-world.h"
#include "harness/socket-fixture.h"
#include "http/client.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

constexpr int kBadGateway = 502;

/// A server that answers each request with the current case.
class case_server
{
public:
  using fields_of = std::function<std::string(const raw_exchange&)>;

  case_server(const endpoint& aAddress, fields_of aFields)
    : mFields(std::move(aFields))
    , mServer(aAddress,
              [this](raw_exchange& aExchange) { return Answer(aExchange); })
  {
  }

  void Set(const answer_case& aCase)
  {
    std::lock_guard<std::mutex> guard(mLock);
    mCase = aCase;
  }

private:
  server_end Answer(raw_exchange& aExchange)
  {
    answer_case current;
    {
      std::lock_guard<std::mutex> guard(mLock);
      current = mCase;
    }
    aExchange.Send(TextOf(current, mFields(aExchange)));
    return current.end;
  }

  std::mutex mLock;
  answer_case mCase = PlainAnswer();
  fields_of mFields;
  raw_server mServer;
};

/// What a client makes of an answer.
struct outcome
{
  bool whole = false;
  int status = 0;
  std::string body;
  std::string detail;
};

outcome
OutcomeOf(const result<buffered_response>& aResponse)
{
  return aResponse ? outcome{ true, aResponse->status, aResponse->body, "" }
                   : outcome{ false, 0, "", aResponse.error().message };
}

/// A client that reads answers, and the server whose answers it reads.
class answer_reader
{
public:
  virtual ~answer_reader() = default;
  /// Sends one request and waits for its end.
  virtual outcome Get() = 0;
  case_server& Server() { return *mServer; }

protected:
  std::optional<case_server> mServer;
};

/// Runs each case, and an ordinary request after it.
void
CheckCases(answer_reader& aReader)
{
  for (const answer_case& each : AnswerCases()) {
    INFO(each.name);
    aReader.Server().Set(each);
    outcome seen = aReader.Get();
    INFO("seen: status " << seen.status << ", " << seen.detail);
    CHECK(seen.whole == each.whole);
    if (each.whole) {
      CHECK(seen.status == each.status);
      CHECK(seen.body == each.body);
    }
    aReader.Server().Set(PlainAnswer());
    outcome next = aReader.Get();
    if (!next.whole) {
      next = aReader.Get(); // the server ended the kept connection meanwhile
    }
    INFO("next: status " << next.status << ", " << next.detail);
    CHECK(next.whole);
    CHECK(next.body == PlainAnswer().body);
  }
}

/// A caller of a mesh gets the answer, or 502 in its place.
class mesh_reader : public answer_reader
{
public:
  outcome Get() override
  {
    outcome seen = OutcomeOf(mWorld.SendRequest(mFront, "GET", "/orders/1"));
    if (seen.whole && seen.status == kBadGateway) {
      return { false, 0, "", "502" };
    }
    // Anything else that is not the answer counts as one that is wrong.
    seen.whole = true;
    return seen;
  }

protected:
  mesh_world mWorld;
  std::size_t mFront = 0;
};

/// A caller whose request is passed on to an instance.
class instance_reader final : public mesh_reader
{
public:
  explicit instance_reader(bool aThroughNode)
  {
    std::size_t front = mWorld.AddHost("front", "v1");
    std::size_t host = mWorld.AddHost("orders", "v1");
    mWorld.SetRoute(1, "/orders/", "orders", false);
    mWorld.RunUntilInstancesKnown();
    endpoint address = FreeAddress();
    mServer.emplace(address, [](const raw_exchange& aExchange) {
      return "X-Stamp: s\r\nX-Request-Id: " + aExchange.Field("X-Request-Id") +
             "\r\n";
    });
    mWorld.ReplaceInstance(host, address);
    mWorld.RunFor(milliseconds(50));
    mFront = aThroughNode ? front : host;
  }
};

/// A caller whose request is passed on to another node.
class node_reader final : public mesh_reader
{
public:
  node_reader()
  {
    host_record odd;
    odd.name = "odd";
    odd.domain = "a";
    odd.hop = FreeAddress();
    mServer.emplace(odd.hop, [](const raw_exchange& aExchange) {
      return "X-Stamp: s\r\nX-Request-Id: " + aExchange.Field("X-Request-Id") +
             "\r\n";
    });
    odd.control = FreeAddress();
    mProbes.emplace(odd.control, [](raw_exchange& aExchange) {
      aExchange.Send(AnswerText());
      return server_end::keep;
    });
    odd.incarnation = 1;
    odd.instance.id = "i-odd";
    odd.instance.service = "orders";
    odd.instance.version = "v1";
    odd.instance.address = FreeAddress();
    odd.instance.state = instance_state::ready;
    odd.instance.slots = 4;
    odd.instance.started_unix_ms = 1;
    mWorld.EndFirstStart();
    mWorld.Store().hosts["odd"] = odd;
    mFront = mWorld.AddHost("front", "v1");
    mWorld.Announce(mFront, instance_state::ready);
    mWorld.SetRoute(1, "/orders/", "orders", false);
    mWorld.RunFor(milliseconds(50));
  }

private:
  static std::string AnswerText() { return TextOf(PlainAnswer(), ""); }

  std::optional<raw_server> mProbes;
};

/// The client for the store, other nodes and probes.
class control_reader final
  : public answer_reader
  , public socket_fixture
{
public:
  control_reader()
  {
    mServer.emplace(address, [](const raw_exchange&) { return ""; });
  }

  outcome Get() override
  {
    std::optional<result<buffered_response>> ended;
    mClient.Call(
      address, {}, kTimeout, [&](result<buffered_response> aResponse) {
        ended = std::move(aResponse);
        events.Stop();
      });
    events.Run();
    return OutcomeOf(*ended);
  }

private:
  static constexpr duration kTimeout = std::chrono::seconds(2);
  control_client mClient{ sockets };
};

/// The client of the daemon and the command line.
class daemon_reader final
  : public answer_reader
  , public socket_fixture
{
public:
  daemon_reader()
  {
    mServer.emplace(address, [](const raw_exchange&) { return ""; });
  }

  outcome Get() override
  {
    http_request request;
    request.method = "GET";
    request.path = "/";
    std::optional<http_result> ended;
    mClient.Start(std::move(request), kTimeout, [&](http_result aResponse) {
      ended = std::move(aResponse);
      events.Stop();
    });
    events.Run();
    const http_result& response = *ended;
    return response ? outcome{ true, response->status, response->body, "" }
                    : outcome{ false, 0, "", response.error().message };
  }

private:
  static constexpr duration kTimeout = std::chrono::seconds(2);
  http_client mClient{ sockets, address, {} };
};

} // namespace

// Each test guards against MIXED: a broken answer reaches a client as an
// answer, an answer is joined with bytes that are none, or a whole answer is
// refused.

TEST_CASE("answer cases, from an instance, caller gets whole ones only",
          "[answer-cases]")
{
  const bool throughNode = GENERATE(true, false);
  CAPTURE(throughNode);
  instance_reader reader(throughNode);
  CheckCases(reader);
}

TEST_CASE("answer cases, from another node, caller gets whole ones only",
          "[answer-cases]")
{
  node_reader reader;
  CheckCases(reader);
}

TEST_CASE("answer cases, from the store or a node, control client takes whole "
          "ones only",
          "[answer-cases]")
{
  control_reader reader;
  CheckCases(reader);
}

TEST_CASE("answer cases, from an upstream or the store, http client takes "
          "whole ones only",
          "[answer-cases]")
{
  daemon_reader reader;
  CheckCases(reader);
}
