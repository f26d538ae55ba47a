#include <catch2/catch.hpp>

#include "harness/socket-fixture.h"
#include "wire/service-port.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

// Guards against an exit: the stack of a node grew with each request that a
// peer sent ahead on one connection.
TEST_CASE_METHOD(socket_fixture,
                 "service port, many requests sent ahead, are handled one "
                 "after the other",
                 "[wire]")
{
  constexpr unsigned kRequests = 3000;
  unsigned depth = 0;
  unsigned deepest = 0;
  unsigned handled = 0;
  REQUIRE(
    ServeAt(sockets,
            address,
            [&](const buffered_request&, const respond_callback& aRespond) {
              ++handled;
              deepest = std::max(deepest, ++depth);
              aRespond({});
              --depth;
            }));
  auto client = std::make_shared<recording_peer>();
  std::shared_ptr<connection> opened = Connect(client);
  std::string requests;
  for (unsigned i = 0; i < kRequests; ++i) {
    requests += "GET /ready HTTP/1.1\r\n\r\n";
  }
  opened->Send(requests);
  RunFor(milliseconds(300));
  CHECK(handled == kRequests);
  CHECK(deepest == 1);
}
