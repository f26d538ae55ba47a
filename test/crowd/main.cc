#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "base/log.h"

int
main(int aCount, char** aArguments)
{
  eelgrasstrack::ConfigureLog(eelgrasstrack::log_level::error,
                              eelgrasstrack::log_format::text);
  return Catch::Session().run(aCount, aArguments);
}
