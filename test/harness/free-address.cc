#include "harness/free-address.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasstrack::test {

endpoint
FreeAddress()
{
  int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  REQUIRE(bind(descriptor,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0);
  REQUIRE(
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  close(descriptor);
  return { "127.0.0.1", ntohs(address.sin_port) };
}

} // namespace eelgrasstrack::test
