#ifndef EELGRASSTRACK_SETTINGS_SETTINGS_H_
#define EELGRASSTRACK_SETTINGS_SETTINGS_H_

#include <string>
#include <vector>

#include "base/error.h"
#include "base/log.h"
#include "http/message.h"

namespace eelgrasstrack {

/// The checked settings of a node.
struct node_settings
{
  endpoint caller_listen;
  endpoint operator_listen;
  endpoint peer_listen;
  endpoint store;
  std::string domain;
  std::string region;
  std::string peer_secret;
  std::string operator_secret;
  std::vector<std::string> seeds;
  /// Upstream announcements are taken from this address only.
  std::string upstream_address;
  std::string distribution;
  log_level min_log_level = log_level::info;
  log_format log_line_format = log_format::text;
  unsigned max_connections = 0;
  std::size_t max_body_bytes = 0;
  unsigned drain_ms = 0;
  unsigned ping_ms = 0;
  double store_calls_per_second = 0;
  std::uint64_t random_seed = 0;
};

/// What the command line asked for instead of running.
enum class settings_request
{
  run,
  help,
  version,
};

struct parsed_settings
{
  settings_request request = settings_request::run;
  node_settings settings;
  /// The help text, if asked for.
  std::string help_text;
};

/// Reads flags and, for those not given, environment variables
/// (`EELGRASSTRACK_` and the flag's name in upper case). Fails with
/// `invalid_argument`, naming the setting, its value and what is allowed.
result<parsed_settings>
ParseSettings(int aCount, const char* const* aArguments);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_SETTINGS_SETTINGS_H_
