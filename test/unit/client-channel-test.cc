#include <catch2/catch.hpp>

#include "harness/free-address.h"
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
