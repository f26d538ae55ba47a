#include <catch2/catch.hpp>
#include <cstdlib>

#include "ctl/options.h"
#include "settings/settings.h"

using namespace eelgrasstrack;

namespace {

result<parsed_settings>
Parse(std::vector<const char*> aFlags)
{
  aFlags.insert(aFlags.begin(),
                { "eelgrasstrackd",
                  "--store=127.0.0.1:1",
                  "--domain=d",
                  "--peer-secret=0123456789abcdef",
                  "--operator-secret=0123456789abcdef" });
  return ParseSettings(static_cast<int>(aFlags.size()), aFlags.data());
}

} // namespace

TEST_CASE("Settings_InvalidValue_ErrorStatesFlagValueAndAllowedValues",
          "[settings]")
{
  struct bad_flag
  {
    const char* flag;
    const char* named;
    const char* allowed;
  };
  const bad_flag kBad[] = {
    { "--ping-ms=0", "'0'", "100 to 60000" },
    { "--ping-ms=abc", "'abc'", "100 to 60000" },
    { "--ping-ms=9999999999999999999999", "999", "100 to 60000" },
    { "--caller-listen=host:80", "'host:80'", "IP address" },
    { "--log-level=loud", "'loud'", "debug|info" },
    { "--domain=has space", "'has space'", "letters" },
    { "--domain=\xff", "\xff", "letters" },
    { "--seeds=127.0.0.1:1,zz", "zz", "commas" },
    { "--peer-secret=short", "***", "16 to 256" },
  };
  for (const bad_flag& bad : kBad) {
    result<parsed_settings> parsed = Parse({ bad.flag });
    INFO(bad.flag);
    REQUIRE(!parsed);
    INFO(parsed.error().message);
    REQUIRE(parsed.error().message.find(bad.named) != std::string::npos);
    REQUIRE(parsed.error().message.find(bad.allowed) != std::string::npos);
  }
}

TEST_CASE("Settings_UnknownArgument_IsRejected", "[settings]")
{
  REQUIRE(!Parse({ "--no-such-flag=1" }));
  REQUIRE(!Parse({ "stray" }));
}

TEST_CASE("Settings_EnvironmentVariable_IsUsedWithoutTheFlag", "[settings]")
{
  setenv("EELGRASSTRACK_PING_MS", "700", 1);
  REQUIRE(Parse({})->settings.ping_ms == 700);
  REQUIRE(Parse({ "--ping-ms=900" })->settings.ping_ms == 900);
  unsetenv("EELGRASSTRACK_PING_MS");
}

TEST_CASE("CtlTime_ValidForms_AreParsedAndOthersRejected", "[settings]")
{
  REQUIRE(ParseTime("+90s", 1000) == 91000);
  REQUIRE(ParseTime("+2h", 0) == 7200000);
  REQUIRE(ParseTime("1970-01-01T00:01:00Z", 0) == 60000);
  REQUIRE(ParseTime("12345", 0) == 12345);
  for (const char* bad : { "", "+", "+5", "5m", "tomorrow", "-3", "+-3s" }) {
    INFO(bad);
    REQUIRE(!ParseTime(bad, 0));
  }
}
