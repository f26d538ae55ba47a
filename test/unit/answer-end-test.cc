#include <catch2/catch.hpp>

#include "harness/mesh-world.h"
#include "harness/raw-server.h"
#include "harness/socket-fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Larger than what the send and receive buffers of two hops hold, so that the
/// upload is still being written when its answer comes.
constexpr std::size_t kUploadBytes = 24U << 20U;
/// Time for bytes that were sent to be read before the connection is reset, and
/// for the loop to stand still before the server sends anything.
constexpr milliseconds kBeforeReset{ 50 };
const std::string kWholeBody(6000, 'b');
const std::string kPart = kWholeBody.substr(0, 2000);

/// Records what a connection delivers and how it ends.
class end_observer final : public connection::observer
{
public:
  void OnReceived(std::string_view aBytes) override { received += aBytes; }
  void OnEnded(close_reason aReason) override { end = aReason; }

  std::string received;
  std::optional<close_reason> end;
};

/// A connection to a server that sends a part and ends in the given way, while
/// bytes for it wait to be sent.
class ended_connection_fixture : public socket_fixture
{
public:
  void ConnectTo(server_end aEnd)
  {
    server.emplace(address, [aEnd](raw_exchange& aExchange) {
      std::this_thread::sleep_for(kBeforeReset);
      aExchange.Send(kPart);
      return aEnd;
    });
    client = Connect(observer);
    client->Send("GET / HTTP/1.1\r\n\r\n");
    // The loop sends the request and connects, then it stands still while the
    // server ends the connection.
    while (!client->HasSentBytes()) {
      RunFor(milliseconds(1));
    }
    std::this_thread::sleep_for(2 * kBeforeReset);
  }

  std::optional<raw_server> server;
  std::shared_ptr<connection> client;
  std::shared_ptr<end_observer> observer = std::make_shared<end_observer>();
};

/// A caller's node, and the node of a host whose instance the test plays.
class early_answer_fixture
{
public:
  early_answer_fixture()
  {
    front = world.AddHost("front", "v1");
    host = world.AddHost("orders", "v1");
    world.SetRoute(1, "/orders/", "orders", false);
    world.RunUntilInstancesKnown();
  }

  /// Replaces the instance by one that answers each request at once with a head
  /// without a length and the given part of a body.
  void AnswerEarly(const std::string& aBody, server_end aEnd)
  {
    endpoint address = FreeAddress();
    server.emplace(address, [aBody, aEnd](raw_exchange& aExchange) {
      aExchange.Send("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Request-Id: " +
                     aExchange.Field("X-Request-Id") + "\r\n\r\n" + aBody);
      std::this_thread::sleep_for(kBeforeReset);
      return aEnd;
    });
    world.ReplaceInstance(host, address);
    world.RunFor(milliseconds(50));
  }

  result<buffered_response> Upload(std::size_t aNode)
  {
    return world.SendRequest(
      aNode, "POST", "/orders/1", std::string(kUploadBytes, 'u'));
  }

  mesh_world world;
  std::size_t front = 0;
  std::size_t host = 0;
  std::optional<raw_server> server;
};

} // namespace

// Guards against MIXED: the kernel reports a reset once. Told to send(), it was
// dropped, and recv() then reports an end in order.
TEST_CASE_METHOD(ended_connection_fixture,
                 "connection, reset is told to the writer, does not end in "
                 "order",
                 "[net][answer-end]")
{
  ConnectTo(server_end::reset);
  client->Send("x");
  RunFor(milliseconds(50));
  CHECK(observer->received == kPart);
  CHECK(observer->end == close_reason::broken);
}

TEST_CASE_METHOD(ended_connection_fixture,
                 "connection, reset is told to the reader, does not end in "
                 "order",
                 "[net][answer-end]")
{
  ConnectTo(server_end::reset);
  RunFor(milliseconds(50));
  CHECK(observer->received == kPart);
  CHECK(observer->end == close_reason::broken);
}

// Guards against a mend that takes each end during an upload for a reset.
TEST_CASE_METHOD(ended_connection_fixture,
                 "connection, peer ends its direction while bytes are sent, "
                 "ends in order",
                 "[net][answer-end]")
{
  ConnectTo(server_end::half_close);
  client->Send(std::string(kUploadBytes, 'u'));
  RunFor(milliseconds(50));
  CHECK(observer->received == kPart);
  CHECK(observer->end == close_reason::closed_by_peer);
}

// Guards against MIXED: the caller gets the part of an answer without a length
// that arrived before a reset as a whole answer.
TEST_CASE_METHOD(early_answer_fixture,
                 "early answer without a length, reset during the upload, "
                 "caller gets no success",
                 "[answer-end]")
{
  const bool throughNode = GENERATE(true, false);
  // Closing with an unread upload is a reset as well.
  const server_end end = GENERATE(server_end::reset, server_end::close);
  CAPTURE(throughNode, end == server_end::reset);
  AnswerEarly(kPart, end);
  result<buffered_response> answer = Upload(throughNode ? front : host);
  REQUIRE(answer);
  CHECK(answer->status == 502);
  CHECK(answer->body.empty());
}

// Guards against a mend that refuses answers that end in order.
TEST_CASE_METHOD(early_answer_fixture,
                 "early answer without a length, ends in order during the "
                 "upload, caller gets it whole",
                 "[answer-end]")
{
  const bool throughNode = GENERATE(true, false);
  AnswerEarly(kWholeBody, server_end::half_close);
  result<buffered_response> answer = Upload(throughNode ? front : host);
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(answer->body == kWholeBody);
}
