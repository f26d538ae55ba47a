#include <catch2/catch.hpp>

#include "harness/socket-fixture.h"
#include "wire/control-client.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
const std::string kBody = "done";

/// What a server does with the requests on a connection.
enum class reaction
{
  answer,
  /// Sends the head and each byte of the body apart, with `mDelay` between.
  answer_in_parts,
  /// Sends an answer without its last byte.
  answer_half,
  stay_silent,
  /// Closes the connection after `mDelay`.
  close,
};

/// The server side of one connection. A request is taken to arrive at once.
class served_connection final
  : public connection::observer
  , public std::enable_shared_from_this<served_connection>
{
public:
  served_connection(loop& aLoop,
                    std::shared_ptr<connection> aConnection,
                    reaction aReaction,
                    duration aDelay)
    : reacts(aReaction)
    , mLoop(aLoop)
    , mConnection(std::move(aConnection))
    , mDelay(aDelay)
  {
  }

  void OnReceived(std::string_view) override
  {
    ++requests;
    switch (reacts) {
      case reaction::answer:
        SendAfter(mDelay, kHead + kBody);
        break;
      case reaction::answer_in_parts:
        SendInParts();
        break;
      case reaction::answer_half:
        SendAfter(mDelay, kHead + kBody.substr(0, kBody.size() - 1));
        break;
      case reaction::stay_silent:
        break;
      case reaction::close:
        mLoop.RunAfter(mDelay, [self = shared_from_this()] {
          self->mConnection->Close();
          self->closed = true;
        });
        break;
    }
  }

  void OnEnded(close_reason) override { closed = true; }

  reaction reacts;
  unsigned requests = 0;
  bool closed = false;

private:
  void SendAfter(duration aDelay, const std::string& aText)
  {
    mLoop.RunAfter(aDelay, [self = shared_from_this(), aText] {
      if (!self->closed) {
        self->mConnection->Send(aText);
      }
    });
  }

  void SendInParts()
  {
    SendAfter(duration(0), kHead);
    for (std::size_t i = 0; i < kBody.size(); ++i) {
      SendAfter(mDelay * (i + 1), kBody.substr(i, 1));
    }
  }

  loop& mLoop;
  std::shared_ptr<connection> mConnection;
  duration mDelay;
};

/// A server whose connections may fall silent, and a client.
class control_client_fixture : public socket_fixture
{
public:
  control_client_fixture()
  {
    REQUIRE(sockets.Listen(address, [this](std::shared_ptr<connection> aNew) {
      std::size_t number = served.size();
      reaction reacts =
        number < reactions.size() ? reactions[number] : reaction::answer;
      duration delay = number < delays.size() ? delays[number] : duration(0);
      auto peer =
        std::make_shared<served_connection>(events, aNew, reacts, delay);
      served.push_back(peer);
      aNew->SetObserver(peer);
    }));
  }

  void Start(const call_options& aOptions)
  {
    buffered_request request;
    request.target = "/";
    client.Call(
      address, request, aOptions, [this](result<buffered_response> aResponse) {
        results.push_back(std::move(aResponse));
        events.Stop();
      });
  }

  /// Makes a call and returns its result.
  result<buffered_response> Call(const call_options& aOptions)
  {
    std::size_t before = results.size();
    Start(aOptions);
    while (results.size() == before) {
      events.Run();
    }
    return results.back();
  }

  /// Makes two calls at a time, after which two connections are idle.
  void OpenTwoIdleConnections()
  {
    Start({ .timeout = kTimeout });
    Start({ .timeout = kTimeout });
    while (results.size() < 2) {
      events.Run();
    }
    REQUIRE(served.size() == 2);
    results.clear();
  }

  void SilenceOpenConnections()
  {
    for (const std::shared_ptr<served_connection>& peer : served) {
      peer->reacts = reaction::stay_silent;
    }
  }

  unsigned Requests() const
  {
    unsigned sum = 0;
    for (const std::shared_ptr<served_connection>& peer : served) {
      sum += peer->requests;
    }
    return sum;
  }

  static constexpr duration kTimeout = seconds(3);
  static constexpr duration kShort = milliseconds(100);

  control_client client{ sockets };
  /// Reactions and delays of the connections, in the order of their opening.
  /// Without an entry, requests are answered at once.
  std::vector<reaction> reactions;
  std::vector<duration> delays;
  std::vector<std::shared_ptr<served_connection>> served;
  std::vector<result<buffered_response>> results;
};

} // namespace

// Guards against CONFIG: after all open connections had fallen silent, a call
// took one idle connection after the other, and each cost a whole timeout.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, idle connections silent and request may be "
                 "sent again, is answered on a new connection",
                 "[control-client]")
{
  OpenTwoIdleConnections();
  SilenceOpenConnections();

  CHECK(Call({ .timeout = kTimeout, .resend_after = kShort }));
  CHECK(served.size() == 3);
  RunFor(kShort);
  CHECK(served[0]->closed);
  CHECK(served[1]->closed);

  CHECK(Call({ .timeout = kTimeout }));
  REQUIRE(served.size() == 3);
  CHECK(served[2]->requests == 2);
}

// Guards against CONFIG: a timeout left the other idle connections to the
// address in use, although they had fallen silent at the same moment.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, call times out, does not use connections "
                 "that were idle before it",
                 "[control-client]")
{
  OpenTwoIdleConnections();
  SilenceOpenConnections();

  result<buffered_response> first = Call({ .timeout = kShort });
  REQUIRE_FALSE(first);
  CHECK(first.error().kind == error_kind::deadline_exceeded);
  CHECK(first.error().execution_status == execution::unknown);
  CHECK(Call({ .timeout = kTimeout }));
  CHECK(served.size() == 3);
}

// Guards against closing connections that have answered since the silent call
// began, each of which would have to be opened again.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, call times out, keeps a connection that "
                 "answered after it began",
                 "[control-client]")
{
  OpenTwoIdleConnections();
  served[1]->reacts = reaction::stay_silent;

  Start({ .timeout = kShort });
  RunFor(milliseconds(1));
  REQUIRE(served[1]->requests == 2);
  CHECK(Call({ .timeout = kTimeout }));
  CHECK(served[0]->requests == 2);
  while (results.size() < 2) {
    events.Run();
  }
  REQUIRE_FALSE(results[1]);
  CHECK(Call({ .timeout = kTimeout }));
  CHECK(served[0]->requests == 3);
  CHECK(served.size() == 2);
}

// Guards against a second callback, or a lost one, when a slow peer answers
// both attempts.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, slow peer and request sent again, reports "
                 "one answer",
                 "[control-client]")
{
  delays = { 3 * kShort, 3 * kShort };
  CHECK(Call({ .timeout = kTimeout, .resend_after = kShort }));
  RunFor(4 * kShort);
  CHECK(results.size() == 1);
  CHECK(served.size() == 2);
  CHECK(Requests() == 2);
}

// Guards against a failed second attempt that ends a call whose first attempt
// is still answered.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, second attempt fails, reports the answer to "
                 "the first one",
                 "[control-client]")
{
  reactions = { reaction::answer, reaction::close };
  delays = { 4 * kShort, duration(0) };
  CHECK(Call({ .timeout = kTimeout, .resend_after = kShort }));
  CHECK(served.size() == 2);
  CHECK(Requests() == 2);
  CHECK(results.size() == 1);
}

// Guards against a failed first attempt that ends a call whose second attempt
// is still answered.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, first attempt fails after the request was "
                 "sent again, reports the answer to the second one",
                 "[control-client]")
{
  reactions = { reaction::close, reaction::answer };
  delays = { 2 * kShort, 4 * kShort };
  CHECK(Call({ .timeout = kTimeout, .resend_after = kShort }));
  CHECK(served.size() == 2);
  CHECK(Requests() == 2);
  CHECK(results.size() == 1);
}

// Guards against a call without a result, or with two, when both attempts fail.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, both attempts fail, fails once",
                 "[control-client]")
{
  reactions = { reaction::close, reaction::close };
  delays = { 3 * kShort, duration(0) };
  result<buffered_response> response =
    Call({ .timeout = kTimeout, .resend_after = kShort });
  REQUIRE_FALSE(response);
  CHECK(response.error().kind == error_kind::upstream_broken);
  CHECK(response.error().execution_status == execution::unknown);
  RunFor(2 * kShort);
  CHECK(results.size() == 1);
  CHECK(Requests() == 2);
}

TEST_CASE_METHOD(control_client_fixture,
                 "control client, connection ends before the request is sent "
                 "again, fails at once",
                 "[control-client]")
{
  reactions = { reaction::close };
  result<buffered_response> response =
    Call({ .timeout = kTimeout, .resend_after = seconds(1) });
  REQUIRE_FALSE(response);
  CHECK(response.error().kind == error_kind::upstream_broken);
  CHECK(Requests() == 1);
}

// Guards against a call that is sent again and again to a silent peer.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, both attempts silent, times out once",
                 "[control-client]")
{
  reactions = { reaction::stay_silent, reaction::stay_silent };
  result<buffered_response> response =
    Call({ .timeout = 5 * kShort, .resend_after = kShort });
  REQUIRE_FALSE(response);
  CHECK(response.error().kind == error_kind::deadline_exceeded);
  RunFor(2 * kShort);
  CHECK(results.size() == 1);
  REQUIRE(served.size() == 2);
  CHECK(Requests() == 2);
  CHECK(served[0]->closed);
  CHECK(served[1]->closed);
}

// Guards against an answer that falls silent between its parts.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, answer stops in the middle, is answered on a "
                 "new connection",
                 "[control-client]")
{
  reactions = { reaction::answer_half };
  result<buffered_response> response =
    Call({ .timeout = kTimeout, .resend_after = kShort });
  REQUIRE(response);
  CHECK(response->body == kBody);
  CHECK(Requests() == 2);
}

// Guards against a long answer that is requested twice while it arrives.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, parts of an answer arrive in time, does not "
                 "send the request again",
                 "[control-client]")
{
  reactions = { reaction::answer_in_parts };
  delays = { milliseconds(200) };
  CHECK(Call({ .timeout = kTimeout, .resend_after = milliseconds(600) }));
  CHECK(Requests() == 1);
}

// Guards against a request that is not idempotent and runs twice.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, request must not be sent again, sends it "
                 "once",
                 "[control-client]")
{
  const bool silent = GENERATE(false, true);
  CAPTURE(silent);
  OpenTwoIdleConnections();
  if (silent) {
    SilenceOpenConnections();
  }
  CHECK(Call({ .timeout = 3 * kShort }).has_value() == !silent);
  RunFor(kShort);
  CHECK(Requests() == 3);
  CHECK(served.size() == 2);
}

// Guards against a probe that asks an old connection whether a host is there.
TEST_CASE_METHOD(control_client_fixture,
                 "control client, new connection required, does not use idle "
                 "ones",
                 "[control-client]")
{
  OpenTwoIdleConnections();
  SilenceOpenConnections();
  CHECK(Call({ .timeout = kTimeout, .new_connection = true }));
  CHECK(served.size() == 3);
  CHECK(served[0]->requests == 1);
  CHECK(served[1]->requests == 1);
}

TEST_CASE_METHOD(control_client_fixture,
                 "control client, idle connections to an address closed, opens "
                 "a new one",
                 "[control-client]")
{
  OpenTwoIdleConnections();
  client.CloseIdleTo(address);
  CHECK(Call({ .timeout = kTimeout }));
  CHECK(served.size() == 3);
  CHECK(served[0]->closed);
  CHECK(served[1]->closed);
}
