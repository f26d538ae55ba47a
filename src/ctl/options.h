#ifndef EELGRASSTRACK_CTL_OPTIONS_H_
#define EELGRASSTRACK_CTL_OPTIONS_H_

#include <string>
#include <vector>

#include "base/error.h"
#include "http/message.h"

namespace eelgrasstrack {

/// Parsed command line of eelgrasstrackctl.
struct ctl_options
{
  bool help = false;
  bool version = false;
  std::string help_text;
  /// Operator address of a node.
  endpoint node;
  /// Operator secret, from the environment.
  std::string secret;
  bool json_output = false;
  std::string operation_id;
  /// Empty if not given.
  std::string expected_version;
  /// Text of `--by`; empty if not given.
  std::string deadline;
  std::vector<std::string> routes;
  std::vector<std::string> removed;
  bool dry_run = false;
  unsigned timeout_ms = 0;
  /// The command and its arguments.
  std::vector<std::string> arguments;
};

/// Parses the command line and the environment. Fails with `invalid_argument`.
result<ctl_options>
ParseCtlOptions(int aCount, const char* const* aArguments);

/// Parses `+90s`, `+10m`, `+2h`, `2026-12-04T10:00:00Z` or Unix milliseconds
/// and returns Unix milliseconds. Fails with `invalid_argument`.
result<std::int64_t>
ParseTime(const std::string& aText, std::int64_t aNowMs);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CTL_OPTIONS_H_
