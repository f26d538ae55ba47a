#include <cstdio>
#include <exception>

#include "daemon/node.h"

namespace {

using namespace eelgrasstrack;

int
RunNode(const node_settings& aSettings)
{
  ConfigureLog(aSettings.min_log_level, aSettings.log_line_format);
  loop events(aSettings.max_connections);
  node self(events, aSettings);
  events.OnTerminate([&self] { self.Drain(); });
  self.Start();
  events.Run();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  result<parsed_settings> parsed = ParseSettings(aCount, aArguments);
  if (!parsed) {
    std::fprintf(
      stderr, "eelgrasstrackd: %s\n", parsed.error().message.c_str());
    return MappingOf(parsed.error().kind).exit_code;
  }
  if (parsed->request == settings_request::help) {
    std::fputs(parsed->help_text.c_str(), stdout);
    return 0;
  }
  if (parsed->request == settings_request::version) {
    std::printf("eelgrasstrackd %s\n", EELGRASSTRACK_VERSION);
    return 0;
  }
  try {
    return RunNode(parsed->settings);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "eelgrasstrackd: %s\n", problem.what());
    return MappingOf(error_kind::internal).exit_code;
  }
}
