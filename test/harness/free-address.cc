#include "harness/free-address.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasstrack::test {

namespace {

/// Ports below the range from which the system assigns ports to outgoing
/// connections, so that no connection takes a port before its test listens.
constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kPortCount = 20000;
/// Distance between the first ports of processes with successive ids.
constexpr unsigned kPortsPerProcess = 61;

bool
IsFree(std::uint16_t aPort)
{
  int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(descriptor >= 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  bool bound = bind(descriptor,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) == 0;
  close(descriptor);
  return bound;
}

} // namespace

endpoint
FreeAddress()
{
  static unsigned next = static_cast<unsigned>(getpid()) * kPortsPerProcess;
  for (unsigned tries = 0; tries < kPortCount; ++tries) {
    auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    if (IsFree(port)) {
      return { "127.0.0.1", port };
    }
  }
  FAIL("no free port");
  return {};
}

} // namespace eelgrasstrack::test
