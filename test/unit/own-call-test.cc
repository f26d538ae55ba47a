#include <catch2/catch.hpp>

#include "harness/invalid-statuses.h"
#include "harness/socket-fixture.h"
#include "http/client.h"
#include "wire/control-client.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;

namespace {

/// A server that answers each request with the same text, unless its connection
/// is among the first `aSilent` ones.
class scripted_server final : public connection::observer
{
public:
  scripted_server(std::shared_ptr<connection> aConnection,
                  std::string aText,
                  unsigned aNumber,
                  const unsigned& aSilent)
    : mConnection(std::move(aConnection))
    , mText(std::move(aText))
    , mNumber(aNumber)
    , mSilent(aSilent)
  {
  }

  void OnReceived(std::string_view) override
  {
    if (mNumber > mSilent) {
      mConnection->Send(mText);
    }
  }
  void OnEnded(close_reason) override {}

private:
  std::shared_ptr<connection> mConnection;
  std::string mText;
  unsigned mNumber;
  const unsigned& mSilent;
};

/// A server, and the clients by which the program makes calls of its own.
class own_call_fixture : public socket_fixture
{
public:
  void Listen(const std::string& aText)
  {
    REQUIRE(
      sockets.Listen(address, [this, aText](std::shared_ptr<connection> aNew) {
        ++connections;
        aNew->SetObserver(std::make_shared<scripted_server>(
          aNew, aText, connections, silent_connections));
      }));
  }

  /// Calls the server by the client for the store, nodes and probes.
  result<buffered_response> CallByControlClient()
  {
    std::optional<result<buffered_response>> ended;
    control.Call(
      address, {}, kTimeout, [&](result<buffered_response> aResponse) {
        ended = std::move(aResponse);
        events.Stop();
      });
    events.Run();
    REQUIRE(ended);
    return *ended;
  }

  /// Calls the server by the client of the daemon and the command line.
  http_result CallByHttpClient() { return CallByHttpClient(1).front(); }

  /// Makes `aCount` calls at the same time.
  std::vector<http_result> CallByHttpClient(std::size_t aCount)
  {
    http_request request;
    request.method = "GET";
    request.path = "/";
    std::vector<http_result> ended;
    for (std::size_t i = 0; i < aCount; ++i) {
      http.Start(request, kTimeout, [&](http_result aResponse) {
        ended.push_back(std::move(aResponse));
        if (ended.size() == aCount) {
          events.Stop();
        }
      });
    }
    events.Run();
    REQUIRE(ended.size() == aCount);
    return ended;
  }

  static constexpr duration kTimeout = std::chrono::seconds(1);

  control_client control{ sockets };
  http_client http{ sockets, address, {} };
  unsigned connections = 0;
  /// Number of connections, from the first one on, that get no answer.
  unsigned silent_connections = 0;
};

} // namespace

// Guards against a status that is no status in the calls to the store and other
// nodes: 600 was taken for an answer, and after 000 the call waited for its
// timeout.
TEST_CASE_METHOD(own_call_fixture,
                 "control client, invalid status, fails at once and does not "
                 "use the connection again",
                 "[own-call]")
{
  const std::string word = GENERATE(from_range(InvalidStatusWords()));
  CAPTURE(word);
  Listen(AnswerWithStatus(word, ""));
  for (unsigned i = 1; i <= 2; ++i) {
    result<buffered_response> response = CallByControlClient();
    REQUIRE_FALSE(response);
    CHECK(response.error().kind == error_kind::upstream_broken);
    CHECK(response.error().execution_status == execution::unknown);
    CHECK(connections == i);
  }
}

// Guards against the same fault in the client of the daemon, by which it calls
// its upstream and the store.
TEST_CASE_METHOD(own_call_fixture,
                 "http client, invalid status, fails at once and does not use "
                 "the connection again",
                 "[own-call]")
{
  const std::string word = GENERATE(from_range(InvalidStatusWords()));
  CAPTURE(word);
  Listen(AnswerWithStatus(word, ""));
  for (unsigned i = 1; i <= 2; ++i) {
    http_result response = CallByHttpClient();
    REQUIRE_FALSE(response);
    CHECK(response.error().kind == error_kind::upstream_broken);
    CHECK(response.error().execution_status == execution::unknown);
    CHECK(connections == i);
  }
}

TEST_CASE_METHOD(own_call_fixture,
                 "http client, first and last valid statuses, are delivered",
                 "[own-call]")
{
  const int status = GENERATE(200, 404, 599);
  Listen(AnswerWithStatus(std::to_string(status), ""));
  http_result response = CallByHttpClient();
  REQUIRE(response);
  CHECK(response->status == status);
}

// Guards against CONFIG: an interim answer is taken for the final one, so that
// the call lasts until its timeout.
TEST_CASE_METHOD(own_call_fixture,
                 "http client, interim answers, gets the final answer",
                 "[own-call]")
{
  const unsigned count = GENERATE(1U, kMaxInterim);
  Listen(InterimAnswers(count) + AnswerWithStatus("404", ""));
  http_result response = CallByHttpClient();
  REQUIRE(response);
  CHECK(response->status == 404);
}

// Guards against CONFIG: interim answers without end keep a call until its
// timeout.
TEST_CASE_METHOD(own_call_fixture,
                 "http client, more interim answers than are skipped, fails at "
                 "once",
                 "[own-call]")
{
  Listen(InterimAnswers(kMaxInterim + 1));
  http_result response = CallByHttpClient();
  REQUIRE_FALSE(response);
  CHECK(response.error().kind == error_kind::upstream_broken);
}

// Guards against calls to the store that time out one after the other, each on
// another kept connection that has fallen silent.
TEST_CASE_METHOD(own_call_fixture,
                 "http client, kept connections fall silent, only the first "
                 "call times out",
                 "[own-call][stale-config]")
{
  Listen(AnswerWithStatus("200", ""));
  for (const http_result& response : CallByHttpClient(3)) {
    REQUIRE(response);
  }
  REQUIRE(connections == 3);
  silent_connections = connections;
  CHECK_FALSE(CallByHttpClient());
  CHECK(CallByHttpClient());
  CHECK(connections == 4);
}
