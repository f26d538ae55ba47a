#ifndef EELGRASSTRACK_SETTINGS_SETTINGS_H_
#define EELGRASSTRACK_SETTINGS_SETTINGS_H_

#include <string>
#include <vector>

#include "base/error.h"
#include "base/log.h"
#include "http/message.h"

namespace eelgrasstrack {

/// Validated settings of a node.
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
  /// Peers to contact while the store is unavailable, as `IP:port`.
  std::vector<std::string> seeds;
  /// Upstream announcements are accepted only from this IP address.
  std::string upstream_address;
  /// How configurations reach the node: `overlay`, `watch-all` or `poll`.
  std::string distribution;
  log_level min_log_level = log_level::info;
  log_format log_line_format = log_format::text;
  unsigned max_connections = 0;
  std::size_t max_body_bytes = 0;
  /// Longest wait for running calls after SIGTERM, in milliseconds.
  unsigned drain_ms = 0;
  /// Time between probes of a neighbour, in milliseconds.
  unsigned ping_ms = 0;
  double store_calls_per_second = 0;
  /// Seed of random choices; 0: taken from the system.
  std::uint64_t random_seed = 0;
};

/// Whether the command line asks to run the node or only to print a text.
enum class settings_request
{
  run,
  help,
  version,
};

/// Result of parsing the command line.
struct parsed_settings
{
  settings_request request = settings_request::run;
  /// Set if `request` is `run`.
  node_settings settings;
  /// The help text; set if `request` is `help`.
  std::string help_text;
};

/// Parses the command line. A flag that is not given is read from its
/// environment variable: `EELGRASSTRACK_` and the flag's name in upper case,
/// with `_` for `-`. Fails with `invalid_argument` and a message that states
/// the setting, its value (`***` for a secret) and the allowed values.
result<parsed_settings>
ParseSettings(int aCount, const char* const* aArguments);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_SETTINGS_SETTINGS_H_
