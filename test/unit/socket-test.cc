#include <catch2/catch.hpp>

#include "harness/socket-fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Counts what arrives before the next timer runs.
class turn_observer final : public connection::observer
{
public:
  explicit turn_observer(loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnReceived(std::string_view aBytes) override
  {
    received += aBytes.size();
    if (++mEventsInTurn == 1) {
      mLoop.RunAfter(duration(0), [this] { mEventsInTurn = 0; });
    }
    most_events_in_turn = std::max(most_events_in_turn, mEventsInTurn);
    if (pause_after_first && connection_to_pause) {
      connection_to_pause->PauseReading(true);
    }
  }
  void OnEnded(close_reason) override {}

  std::size_t received = 0;
  unsigned most_events_in_turn = 0;
  bool pause_after_first = false;
  std::shared_ptr<connection> connection_to_pause;

private:
  loop& mLoop;
  unsigned mEventsInTurn = 0;
};

/// A sender whose bytes wait in the kernel before the receiver reads.
class fast_sender_fixture : public socket_fixture
{
public:
  fast_sender_fixture()
  {
    REQUIRE(
      sockets.Listen(address, [this](std::shared_ptr<connection> aAccepted) {
        accepted = aAccepted;
        receiver->connection_to_pause = aAccepted;
        aAccepted->SetObserver(receiver);
      }));
    sender = Connect(std::make_shared<recording_peer>());
    RunFor(milliseconds(20));
    REQUIRE(accepted);
  }

  static constexpr std::size_t kBytes = 4U << 20U;

  std::shared_ptr<turn_observer> receiver =
    std::make_shared<turn_observer>(events);
  std::shared_ptr<connection> accepted;
  std::shared_ptr<connection> sender;
};

} // namespace

// Guards against CONFIG: a peer that sends without end keeps the loop from its
// timers and other connections.
TEST_CASE_METHOD(fast_sender_fixture,
                 "connection, peer sends faster than bytes are processed, "
                 "timers run after each read",
                 "[net]")
{
  sender->Send(std::string(kBytes, 'x'));
  RunFor(milliseconds(300));
  CHECK(receiver->received == kBytes);
  // A timer set during a read may be due only after the next one has begun.
  CHECK(receiver->most_events_in_turn <= 2);
}

TEST_CASE_METHOD(fast_sender_fixture,
                 "connection, paused while bytes wait, delivers none of them "
                 "until it is resumed",
                 "[net]")
{
  receiver->pause_after_first = true;
  sender->Send(std::string(kBytes, 'x'));
  RunFor(milliseconds(100));
  std::size_t first = receiver->received;
  CHECK(first <= 65536);
  RunFor(milliseconds(100));
  CHECK(receiver->received == first);
  receiver->pause_after_first = false;
  accepted->PauseReading(false);
  RunFor(milliseconds(300));
  CHECK(receiver->received == kBytes);
}

// Guards against CONFIG: many peers that connect at once keep the loop from its
// timers and other connections.
TEST_CASE_METHOD(socket_fixture,
                 "listener, many peers connect at once, timers run between "
                 "groups of them",
                 "[net]")
{
  constexpr unsigned kPeers = 200;
  constexpr unsigned kMaxInTurn = 64;
  unsigned accepted = 0;
  unsigned inTurn = 0;
  unsigned mostInTurn = 0;
  REQUIRE(sockets.Listen(address, [&](const std::shared_ptr<connection>&) {
    ++accepted;
    if (++inTurn == 1) {
      events.RunAfter(duration(0), [&inTurn] { inTurn = 0; });
    }
    mostInTurn = std::max(mostInTurn, inTurn);
  }));
  for (unsigned i = 0; i < kPeers; ++i) {
    Connect(std::make_shared<recording_peer>());
  }
  RunFor(milliseconds(300));
  CHECK(accepted == kPeers);
  CHECK(mostInTurn <= kMaxInTurn);
}
