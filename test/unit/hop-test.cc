#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "proxy/hop-client.h"
#include "proxy/hop-server.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;

namespace {

/// Remembers how a request ended.
class remembering_sink final : public answer_sink
{
public:
  explicit remembering_sink(loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnAnswer(message_head,
                std::optional<std::uint64_t>,
                const run_load&) override
  {
  }
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerEnd() override { mLoop.Stop(); }
  void OnRunFailed(const run_failure& aFailure) override
  {
    failure = aFailure;
    mLoop.Stop();
  }
  bool ShouldCancelOnUnresponsiveHost() override { return may_run_elsewhere; }

  std::optional<run_failure> failure;
  bool may_run_elsewhere = false;

private:
  loop& mLoop;
};

/// An instance that answers once on each connection, then loses its answers.
class answer_then_cut final : public connection::observer
{
public:
  answer_then_cut(std::shared_ptr<connection> aConnection, unsigned& aArrivals)
    : mConnection(std::move(aConnection))
    , mArrivals(aArrivals)
  {
  }

  void OnReceived(std::string_view) override
  {
    ++mArrivals;
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
  unsigned& mArrivals;
  bool mAnswered = false;
};

/// An instance with one slot that takes requests and answers none.
class silent_instance final : public connection::observer
{
public:
  explicit silent_instance(unsigned& aArrivals)
    : mArrivals(aArrivals)
  {
  }

  void OnReceived(std::string_view) override { ++mArrivals; }
  void OnEnded(close_reason) override {}

private:
  unsigned& mArrivals;
};

/// A node beside an instance, and another node that sends to it.
class hop_fixture
{
public:
  hop_fixture()
    : sockets(events)
    , port(sockets, names)
    , server(sockets, names, port)
    , client(sockets, names)
    , address(FreeAddress())
    , sink(std::make_shared<remembering_sink>(events))
  {
    REQUIRE(server.Listen(address));
    instance_record instance;
    instance.id = "i-here";
    instance.state = instance_state::ready;
    instance.address = FreeAddress();
    port.SetInstance(instance);
    client.OnOutdated(
      [this](const std::string& aName) { outdated.push_back(aName); });
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

  /// Fills the one slot of an instance, and has one request wait there.
  void FillSilentInstance()
  {
    REQUIRE(sockets.Listen(
      mSilentAddress, [this](std::shared_ptr<connection> aConnection) {
        aConnection->SetObserver(std::make_shared<silent_instance>(arrivals));
      }));
    silent.id = "i-silent";
    silent.address = mSilentAddress;
    silent.slots = 1;
    silent.state = instance_state::ready;
    port.SetInstance(silent);
    running = port.Dispatch(Request("i-silent"), running_sink);
    REQUIRE(running);
    REQUIRE(port.Dispatch(Request("i-silent"), sink));
    REQUIRE(port.Load().waiting == 1);
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
  instance_dispatcher port;
  hop_server server;
  hop_client client;
  endpoint address;
  std::shared_ptr<remembering_sink> sink;
  std::vector<std::string> outdated;
  instance_record silent;
  unsigned arrivals = 0;
  run_start running;
  std::shared_ptr<remembering_sink> running_sink =
    std::make_shared<remembering_sink>(events);

private:
  endpoint mSilentAddress = FreeAddress();
};

} // namespace

TEST_CASE_METHOD(hop_fixture,
                 "hop client, another instance is there, asks for the news",
                 "[hop]")
{
  // After all hosts lost power, instances came back under new ids and the
  // word of it was lost among nodes that were still starting.
  REQUIRE(Send(address, "i-before"));
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::wrong_instance);
  CHECK(sink->failure->not_run);
  CHECK(outdated == std::vector<std::string>{ "host" });
}

TEST_CASE_METHOD(hop_fixture,
                 "hop client, instance is not reachable, it is not run",
                 "[hop]")
{
  REQUIRE(Send(address, "i-here"));
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::unreachable);
  CHECK(sink->failure->not_run);
  CHECK_FALSE(sink->failure->reached_instance);
  CHECK(outdated.empty());
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance port, answer lost on a used connection, is not resent",
  "[hop]")
{
  // Every resend has to come out of the budget, which the first hop holds.
  endpoint cutting = FreeAddress();
  unsigned arrivals = 0;
  REQUIRE(sockets.Listen(
    cutting, [&arrivals](std::shared_ptr<connection> aConnection) {
      aConnection->SetObserver(
        std::make_shared<answer_then_cut>(aConnection, arrivals));
    }));
  instance_record instance;
  instance.id = "i-cuts";
  instance.state = instance_state::ready;
  instance.address = cutting;
  port.SetInstance(instance);
  REQUIRE(Send(address, "i-cuts"));
  events.Run();
  REQUIRE_FALSE(sink->failure);
  REQUIRE(Send(address, "i-cuts"));
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::broken);
  CHECK_FALSE(sink->failure->not_run);
  CHECK(arrivals == 2);
}

TEST_CASE_METHOD(
  hop_fixture,
  "hop client, host lost and no repeat possible, goes on waiting",
  "[hop]")
{
  // A run at its instance was ended for a missed probe, and nothing gained.
  REQUIRE(sockets.Listen(FreeAddress(), [](std::shared_ptr<connection>) {}));
  endpoint silent = FreeAddress();
  REQUIRE(sockets.Listen(silent, [](std::shared_ptr<connection>) {}));
  run_start run = Send(silent, "i-silent");
  REQUIRE(run);
  events.RunAfter(std::chrono::milliseconds(50), [this] { events.Stop(); });
  events.Run();
  client.HostLost("host");
  CHECK_FALSE(sink->failure);
  sink->may_run_elsewhere = true;
  client.HostLost("host");
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::host_unresponsive);
  CHECK_FALSE(sink->failure->not_run);
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance port, instance is gone, what waits is given back as not run",
  "[hop]")
{
  FillSilentInstance();
  silent.state = instance_state::gone;
  port.SetInstance(silent);
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::leaving);
  CHECK(sink->failure->not_run);
  CHECK_FALSE(running_sink->failure);
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance port, instance drains, nothing starts after the time for it",
  "[hop]")
{
  port.SetDrainTime(std::chrono::milliseconds(600));
  FillSilentInstance();
  RunFor(std::chrono::milliseconds(20));
  silent.state = instance_state::draining;
  port.SetInstance(silent);
  CHECK_FALSE(sink->failure);
  events.Run();
  REQUIRE(sink->failure);
  CHECK(sink->failure->reason == run_failure_reason::leaving);
  CHECK(sink->failure->not_run);
  CHECK(arrivals == 1);
}

TEST_CASE_METHOD(
  hop_fixture,
  "instance port, same id is started again after a drain, its queue is kept",
  "[hop]")
{
  port.SetDrainTime(std::chrono::milliseconds(600));
  FillSilentInstance();
  silent.state = instance_state::draining;
  port.SetInstance(silent);
  silent.state = instance_state::ready;
  silent.started_unix_ms = 5000;
  port.SetInstance(silent);
  sink->failure.reset(); // what waited for the earlier life
  REQUIRE(port.Dispatch(Request("i-silent"), sink));
  REQUIRE(port.Load().waiting == 1);
  RunFor(std::chrono::milliseconds(200));
  CHECK_FALSE(sink->failure);
}
