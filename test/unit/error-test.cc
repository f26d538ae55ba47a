#include <catch2/catch.hpp>

#include "base/error.h"

using namespace eelgrasstrack;

TEST_CASE("ErrorTable_EveryKind_IsFoundByItsName", "[error]")
{
  for (int i = 0; i <= static_cast<int>(error_kind::internal); ++i) {
    auto kind = static_cast<error_kind>(i);
    REQUIRE(MappingOf(kind).kind == kind);
    REQUIRE(ErrorKindFromName(NameOf(kind)) == kind);
  }
}
