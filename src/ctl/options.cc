#include "ctl/options.h"

#include <charconv>
#include <cstdlib>
#include <ctime>
#include <cxxopts.hpp>

namespace eelgrasstrack {

namespace {

constexpr const char* kCommands =
  "Commands:\n"
  "  apply FILE...                       apply the declarations in files\n"
  "  config                              show the configuration in force\n"
  "  rollout start SERVICE VERSION       roll out a version (--by TIME)\n"
  "  rollout status ID                   show the status of a rollout\n"
  "  rollout watch ID                    print status changes until it ends\n"
  "  rollout pause|resume|take-back ID   pause, resume or roll back\n"
  "  rollout history                     list all rollouts\n"
  "  explain REQUEST-ID FILE...          explain a request from node logs\n"
  "  health | dump | metrics | schema    query one node\n"
  "\n"
  "TIME is +90s, +10m, +2h, 2026-12-04T10:00:00Z or Unix milliseconds.\n"
  "Exit status: 0 on success, otherwise by kind of error; see "
  "docs/errors.md.\n";

/// Returns an environment variable, or `aDefault` if it is not set.
std::string
EnvironmentOr(const char* aName, const char* aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : value;
}

cxxopts::Options
BuildOptions()
{
  cxxopts::Options options("eelgrasstrackctl",
                           "Operates eelgrasstrack through any of its nodes.");
  options.custom_help("[OPTION...]");
  options.positional_help("COMMAND [ARGUMENT...]");
  auto add = options.add_options();
  add("node",
      "operator address of a node, IP:port (environment EELGRASSTRACK_NODE)",
      cxxopts::value<std::string>()->default_value(
        EnvironmentOr("EELGRASSTRACK_NODE", "127.0.0.1:7200")));
  add("output",
      "text or json",
      cxxopts::value<std::string>()->default_value("text"));
  add("operation-id",
      "id of this change; repeat a command with the same id to retry it safely",
      cxxopts::value<std::string>()->default_value(""));
  add("expect",
      "apply only if the configuration has this version",
      cxxopts::value<std::string>()->default_value(""));
  add("by",
      "time by which all callers must use the new version",
      cxxopts::value<std::string>()->default_value(""));
  add("route",
      "limit a rollout to a route (may be repeated)",
      cxxopts::value<std::vector<std::string>>());
  add("remove",
      "remove a document, such as service/NAME (may be repeated)",
      cxxopts::value<std::vector<std::string>>());
  add("dry-run", "validate and list the changes only");
  add("timeout-ms",
      "timeout for an answer, 1 to 600000 ms",
      cxxopts::value<unsigned>()->default_value("30000"));
  add("help", "show this text");
  add("version", "show the version");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  return options;
}

result<ctl_options>
ReadOptions(const cxxopts::ParseResult& aFlags)
{
  ctl_options parsed;
  parsed.node = ParseEndpoint(aFlags["node"].as<std::string>());
  if (parsed.node.port == 0) {
    return Fail(error_kind::invalid_argument,
                "--node has the value '" + aFlags["node"].as<std::string>() +
                  "'; allowed: IP:port");
  }
  std::string output = aFlags["output"].as<std::string>();
  if (output != "text" && output != "json") {
    return Fail(error_kind::invalid_argument,
                "--output has the value '" + output +
                  "'; allowed: text or json");
  }
  parsed.json_output = output == "json";
  parsed.secret = EnvironmentOr("EELGRASSTRACK_OPERATOR_SECRET", "");
  parsed.operation_id = aFlags["operation-id"].as<std::string>();
  parsed.expected_version = aFlags["expect"].as<std::string>();
  parsed.deadline = aFlags["by"].as<std::string>();
  if (aFlags.count("route") > 0) {
    parsed.routes = aFlags["route"].as<std::vector<std::string>>();
  }
  if (aFlags.count("remove") > 0) {
    parsed.removed = aFlags["remove"].as<std::vector<std::string>>();
  }
  parsed.dry_run = aFlags.count("dry-run") > 0;
  parsed.timeout_ms = aFlags["timeout-ms"].as<unsigned>();
  constexpr unsigned kMaxTimeoutMs = 600000;
  if (parsed.timeout_ms == 0 || parsed.timeout_ms > kMaxTimeoutMs) {
    return Fail(error_kind::invalid_argument,
                "--timeout-ms must be from 1 to 600000 ms");
  }
  if (aFlags.count("words") > 0) {
    parsed.arguments = aFlags["words"].as<std::vector<std::string>>();
  }
  return parsed;
}

} // namespace

result<ctl_options>
ParseCtlOptions(int aCount, const char* const* aArguments)
{
  cxxopts::Options options = BuildOptions();
  try {
    cxxopts::ParseResult flags = options.parse(aCount, aArguments);
    ctl_options parsed;
    parsed.help = flags.count("help") > 0;
    parsed.version = flags.count("version") > 0;
    parsed.help_text = options.help() + "\n" + kCommands;
    if (parsed.help || parsed.version) {
      return parsed;
    }
    return ReadOptions(flags);
  } catch (const cxxopts::exceptions::exception& problem) {
    return Fail(error_kind::invalid_argument, problem.what());
  }
}

result<std::int64_t>
ParseTime(const std::string& aText, std::int64_t aNowMs)
{
  std::tm calendar{};
  const char* end = strptime(aText.c_str(), "%Y-%m-%dT%H:%M:%SZ", &calendar);
  if (end != nullptr && *end == '\0') {
    return static_cast<std::int64_t>(timegm(&calendar)) * 1000;
  }
  bool relative = !aText.empty() && aText[0] == '+';
  const char* first = aText.data() + (relative ? 1 : 0);
  const char* last = aText.data() + aText.size();
  std::int64_t number = 0;
  auto [rest, code] = std::from_chars(first, last, number);
  std::string unit(rest, last);
  constexpr std::int64_t kMaxNumber = 1000000000000000;
  if (code == std::errc() && number >= 0 && number < kMaxNumber) {
    if (!relative && unit.empty()) {
      return number;
    }
    if (relative && unit == "s") {
      return aNowMs + number * 1000;
    }
    if (relative && unit == "m") {
      return aNowMs + number * 60000;
    }
    if (relative && unit == "h") {
      return aNowMs + number * 3600000;
    }
  }
  return Fail(error_kind::invalid_argument,
              "'" + aText +
                "' is not a time; allowed: +90s, +10m, +2h, "
                "2026-12-04T10:00:00Z or Unix milliseconds");
}

} // namespace eelgrasstrack
