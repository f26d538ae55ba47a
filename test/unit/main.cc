#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "base/invariant.h"

int
main(int aCount, char** aArguments)
{
  eelgrasstrack::SetAbortOnBrokenInvariant(true);
  return Catch::Session().run(aCount, aArguments);
}
