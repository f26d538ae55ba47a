#ifndef EELGRASSTRACK_TEST_HARNESS_SOCKET_FIXTURE_H_
#define EELGRASSTRACK_TEST_HARNESS_SOCKET_FIXTURE_H_

#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "net/socket.h"

namespace eelgrasstrack::test {

/// The side of a connection that only records what it receives.
class recording_peer final : public connection::observer
{
public:
  void OnReceived(std::string_view aBytes) override { received += aBytes; }
  void OnEnded(close_reason) override {}

  std::string received;
};

/// Both sides of connections on one event loop.
class socket_fixture
{
public:
  socket_fixture()
    : sockets(events)
    , address(FreeAddress())
  {
  }

  std::shared_ptr<connection> Connect(
    const std::shared_ptr<connection::observer>& aObserver)
  {
    std::shared_ptr<connection> opened = sockets.Connect(address, {});
    REQUIRE(opened);
    opened->SetObserver(aObserver);
    return opened;
  }

  void RunFor(duration aTime)
  {
    events.RunAfter(aTime, [this] { events.Stop(); });
    events.Run();
  }

  loop events{ 1024 };
  tcp_transport sockets;
  endpoint address;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_SOCKET_FIXTURE_H_
