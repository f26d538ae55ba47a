#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/invalid-statuses.h"
#include "wire/client-channel.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Records one answer or its failure.
class recording_observer final : public client_channel::observer
{
public:
  void OnAnswerHead(message_head& aHead, std::optional<std::uint64_t>) override
  {
    status = aHead.status;
  }
  void OnAnswerBody(std::string_view aBytes) override { body += aBytes; }
  void OnAnswerEnd() override { complete = true; }
  void OnChannelFailed(const channel_failure&) override { failed = true; }

  int status = 0;
  std::string body;
  bool complete = false;
  bool failed = false;
};

/// A server that sends what the test tells it to.
class scripted_server final : public connection::observer
{
public:
  void OnReceived(std::string_view aBytes) override { received += aBytes; }
  void OnEnded(close_reason) override { ended = true; }

  std::string received;
  bool ended = false;
};

class channel_fixture
{
public:
  channel_fixture()
    : sockets(events)
  {
    endpoint address = FreeAddress();
    REQUIRE(sockets.Listen(address, [this](std::shared_ptr<connection> aNew) {
      aNew->SetObserver(server);
      accepted = aNew;
    }));
    channel = client_channel::Open(sockets, address, {});
    REQUIRE(channel);
    Wait();
    REQUIRE(accepted);
  }

  std::shared_ptr<recording_observer> Request(const std::string& aId,
                                              const std::string& aText,
                                              bool aComplete = true)
  {
    auto observer = std::make_shared<recording_observer>();
    channel->Begin(aText, observer, { "X-Id", aId }, { false, aComplete });
    Wait();
    return observer;
  }

  void Reply(const std::string& aBytes)
  {
    accepted->Send(aBytes);
    Wait();
  }

  static std::string Answer(const std::string& aId, const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nX-Id: " + aId +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  void Wait()
  {
    events.RunAfter(milliseconds(20), [this] { events.Stop(); });
    events.Run();
  }

  static constexpr const char* kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  loop events{ 256 };
  tcp_transport sockets;
  std::shared_ptr<scripted_server> server = std::make_shared<scripted_server>();
  std::shared_ptr<connection> accepted;
  std::shared_ptr<client_channel> channel;
};

} // namespace

TEST_CASE_METHOD(channel_fixture,
                 "client channel, second copy of an answer arrives late, next "
                 "request gets its own",
                 "[wire]")
{
  auto first = Request("1", kGet);
  Reply(Answer("1", "one"));
  REQUIRE(first->complete);
  REQUIRE(channel->Reusable(events.Now()));
  auto second = Request("2", kGet);
  Reply(Answer("1", "one"));
  CHECK_FALSE(second->complete);
  Reply(Answer("2", "two"));
  CHECK(second->body == "two");
  CHECK_FALSE(channel->Reusable(events.Now()));
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, bytes outside an exchange, is not reused",
                 "[wire]")
{
  auto first = Request("1", kGet);
  Reply(Answer("1", "one"));
  REQUIRE(first->complete);
  Reply(Answer("1", "one"));
  CHECK_FALSE(channel->Reusable(events.Now()));
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, second copy in the same bytes, is not reused",
                 "[wire]")
{
  auto first = Request("1", kGet);
  Reply(Answer("1", "one") + Answer("1", "one"));
  CHECK(first->body == "one");
  CHECK_FALSE(channel->Reusable(events.Now()));
}

TEST_CASE_METHOD(
  channel_fixture,
  "client channel, answer before the whole body was sent, is not "
  "reused",
  "[wire]")
{
  // The server reads on for the rest of the body; the next request would take
  // its place.
  auto first = Request(
    "1",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nten bytes!",
    false);
  Reply(Answer("1", "early"));
  CHECK(first->body == "early");
  CHECK_FALSE(channel->Reusable(events.Now()));
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, body sent in parts before the answer, is "
                 "reused",
                 "[wire]")
{
  auto first =
    Request("1",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nfive ",
            false);
  channel->SendBody("bytes", true);
  Wait();
  Reply(Answer("1", "done"));
  CHECK(first->complete);
  CHECK(channel->Reusable(events.Now()));
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, answer breaks off, fails in every framing",
                 "[wire]")
{
  const std::string framing =
    GENERATE("Content-Length: 10\r\n\r\nhalf",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
             "Content-Length: 10\r\n");
  auto request = Request("1", kGet);
  Reply("HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + framing);
  accepted->CloseAfterSending();
  Wait();
  CHECK(request->failed);
  CHECK_FALSE(request->complete);
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, endless bytes that are no answer, fails with "
                 "flat memory",
                 "[wire]")
{
  // Head without end, interim answers' fields without end, and a chunk size
  // line without end.
  const std::string start = GENERATE(
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Fill: ",
    "HTTP/1.1 100 Continue\r\nX-Fill: ",
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    "no answer at all ");
  auto request = Request("1", kGet);
  Reply(start);
  const std::string part(16384, 'x');
  std::size_t sent = 0;
  constexpr std::size_t kLimit = 1U << 20U;
  while (!request->failed && !server->ended && sent < kLimit) {
    Reply(part);
    sent += part.size();
  }
  CHECK(request->failed);
  CHECK(sent < kLimit / 4);
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, body without end of an earlier answer, fails",
                 "[wire]")
{
  constexpr std::size_t kPart = 1U << 20U;
  auto request = Request("2", kGet);
  Reply("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "100000\r\n" +
        std::string(kPart, 'x') + "\r\n");
  Wait();
  CHECK(request->failed);
  CHECK_FALSE(channel->IsOpen());
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, idle timeout that is no time, is not reused",
                 "[wire]")
{
  std::string seconds = GENERATE("nan", "-5", "-1e300", "inf", "x");
  auto request = Request("1", kGet);
  Reply("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=" + seconds +
        "\r\nContent-Length: 0\r\n\r\n");
  CHECK(request->complete);
  CHECK_FALSE(channel->Reusable(events.Now()));
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, idle timeout beyond all bounds, is reused",
                 "[wire]")
{
  auto request = Request("1", kGet);
  Reply("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=1e300"
        "\r\nContent-Length: 0\r\n\r\n");
  CHECK(request->complete);
  CHECK(channel->Reusable(events.Now()));
}

// Guards against CONFIG and a status that no caller can handle: 000 was skipped
// like an interim answer until the route's time, and 600 was taken for an
// answer.
TEST_CASE_METHOD(channel_fixture,
                 "client channel, status is not valid, fails at once",
                 "[wire]")
{
  const std::string word = GENERATE(from_range(InvalidStatusWords()));
  CAPTURE(word);
  auto request = Request("1", kGet);
  Reply(AnswerWithStatus(word, "X-Id: 1\r\n"));
  CHECK(request->failed);
  CHECK_FALSE(request->complete);
  CHECK(request->status == 0);
  CHECK_FALSE(channel->IsOpen());
  CHECK_FALSE(channel->Reusable(events.Now()));
}

// Guards against an invalid answer that hides behind the id of an earlier
// request or an interim answer.
TEST_CASE_METHOD(channel_fixture,
                 "client channel, invalid status after a skipped answer, fails "
                 "at once",
                 "[wire]")
{
  const std::string skipped = GENERATE(Answer("0", "old"), InterimAnswers(1));
  auto request = Request("1", kGet);
  Reply(skipped + AnswerWithStatus("600", "X-Id: 1\r\n"));
  CHECK(request->failed);
  CHECK(request->status == 0);
  CHECK_FALSE(channel->IsOpen());
}

TEST_CASE_METHOD(channel_fixture,
                 "client channel, first and last valid statuses, are delivered",
                 "[wire]")
{
  const int status = GENERATE(200, 299, 418, 599);
  auto request = Request("1", kGet);
  Reply(AnswerWithStatus(std::to_string(status), "X-Id: 1\r\n"));
  CHECK(request->complete);
  CHECK(request->status == status);
  CHECK(channel->Reusable(events.Now()));
}

// Guards against a limit that counts the interim answers of a connection
// instead of those of a request.
TEST_CASE_METHOD(channel_fixture,
                 "client channel, as many interim answers as are skipped, each "
                 "request gets its answer",
                 "[wire]")
{
  for (const char* id : { "1", "2" }) {
    auto request = Request(id, kGet);
    Reply(InterimAnswers(kMaxInterim) + Answer(id, "done"));
    CHECK(request->body == "done");
    CHECK(request->complete);
  }
  CHECK(channel->Reusable(events.Now()));
}

// Guards against CONFIG: interim answers without end keep a request until the
// route's time.
TEST_CASE_METHOD(channel_fixture,
                 "client channel, more interim answers than are skipped, fails "
                 "at once",
                 "[wire]")
{
  const bool together = GENERATE(true, false);
  auto request = Request("1", kGet);
  if (together) {
    Reply(InterimAnswers(kMaxInterim + 1));
  } else {
    Reply(InterimAnswers(kMaxInterim));
    CHECK_FALSE(request->failed);
    Reply(InterimAnswers(1));
  }
  CHECK(request->failed);
  CHECK_FALSE(request->complete);
  CHECK_FALSE(channel->IsOpen());
}

// Guards against CONFIG: the parser waits for the body of an answer to HEAD if
// its head arrives together with an interim answer.
TEST_CASE_METHOD(
  channel_fixture,
  "client channel, interim answer and answer to HEAD in the same "
  "bytes, is complete",
  "[wire]")
{
  auto request = std::make_shared<recording_observer>();
  channel->Begin("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
                 request,
                 { "X-Id", "1" },
                 { true, true });
  Wait();
  Reply(InterimAnswers(1) +
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n");
  CHECK(request->complete);
  CHECK(channel->Reusable(events.Now()));
}
