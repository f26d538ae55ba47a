#include <catch2/catch.hpp>
#include <set>

#include "harness/free-address.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;

TEST_CASE("free address, many calls, never returns an address twice",
          "[harness]")
{
  // A repeated address made two listeners of one test collide.
  std::set<std::uint16_t> ports;
  constexpr std::size_t kCalls = 2000;
  for (std::size_t i = 0; i < kCalls; ++i) {
    ports.insert(FreeAddress().port);
  }
  CHECK(ports.size() == kCalls);
}
