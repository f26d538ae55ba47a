#include "settings/settings.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>

#include "base/parse-number.h"

namespace eelgrasstrack {

namespace {

enum class value_kind
{
  endpoint,
  endpoints,
  name,
  secret,
  address,
  choice,
  number,
};

/// Definition of one setting.
struct setting_definition
{
  const char* flag;
  value_kind kind;
  /// Null if the setting is required.
  const char* default_value;
  /// Unit of a number, or format of another value. Only units are printed.
  const char* unit;
  /// Bounds of a number, or of the length of a secret in bytes.
  long min_value;
  long max_value;
  /// Allowed values of a choice, separated by `|`.
  const char* choices;
  const char* help;
};

constexpr setting_definition kSettingDefinitions[] = {
  { "caller-listen",
    value_kind::endpoint,
    "127.0.0.1:7100",
    "IP:port",
    0,
    0,
    "",
    "address that accepts requests of callers" },
  { "operator-listen",
    value_kind::endpoint,
    "127.0.0.1:7200",
    "IP:port",
    0,
    0,
    "",
    "address that accepts operators and the upstream on this host" },
  { "peer-listen",
    value_kind::endpoint,
    "127.0.0.1:7300",
    "IP:port",
    0,
    0,
    "",
    "address that accepts other nodes; also the name of this node" },
  { "store",
    value_kind::endpoint,
    nullptr,
    "IP:port",
    0,
    0,
    "",
    "address of the platform's object store" },
  { "domain",
    value_kind::name,
    nullptr,
    "name",
    0,
    0,
    "",
    "failure domain of this host" },
  { "region",
    value_kind::name,
    "main",
    "name",
    0,
    0,
    "",
    "region of this host" },
  { "peer-secret",
    value_kind::secret,
    nullptr,
    "text",
    16,
    256,
    "",
    "shared secret of all nodes; set it through the environment" },
  { "operator-secret",
    value_kind::secret,
    nullptr,
    "text",
    16,
    256,
    "",
    "secret that operators present; set it through the environment" },
  { "seeds",
    value_kind::endpoints,
    "",
    "IP:port,...",
    0,
    0,
    "",
    "peers to contact while the store is unavailable" },
  { "upstream-address",
    value_kind::address,
    "127.0.0.1",
    "IP",
    0,
    0,
    "",
    "address that upstream announcements must come from" },
  { "distribution",
    value_kind::choice,
    "overlay",
    "",
    0,
    0,
    "overlay|watch-all|poll",
    "how configurations arrive; all but 'overlay' are for comparison only" },
  { "log-level",
    value_kind::choice,
    "info",
    "",
    0,
    0,
    "debug|info|warning|error",
    "lowest level that is logged" },
  { "log-format",
    value_kind::choice,
    "text",
    "",
    0,
    0,
    "text|json",
    "format of log lines" },
  { "max-connections",
    value_kind::number,
    "2048",
    "connections",
    64,
    65536,
    "",
    "most sockets that are open at the same time" },
  { "max-body-kb",
    value_kind::number,
    "8192",
    "KB",
    1,
    65536,
    "",
    "largest body of a request or a response" },
  { "drain-ms",
    value_kind::number,
    "30000",
    "ms",
    0,
    600000,
    "",
    "longest wait for running calls after SIGTERM" },
  { "ping-ms",
    value_kind::number,
    "2000",
    "ms",
    100,
    60000,
    "",
    "time between probes of a neighbour" },
  { "store-calls",
    value_kind::number,
    "4",
    "calls/s",
    1,
    1000,
    "",
    "rate limit of this node's calls to the store" },
  { "random-seed",
    value_kind::number,
    "0",
    "",
    0,
    2147483647,
    "",
    "seed of random choices; 0: taken from the system" },
};

/// Name of the environment variable of a flag.
std::string
EnvironmentName(const char* aFlag)
{
  std::string name = "EELGRASSTRACK_";
  for (const char* character = aFlag; *character != '\0'; ++character) {
    name +=
      *character == '-' ? '_' : static_cast<char>(std::toupper(*character));
  }
  return name;
}

/// Describes the allowed values for help and error messages.
std::string
DescribeAllowedValues(const setting_definition& aSetting)
{
  switch (aSetting.kind) {
    case value_kind::endpoint:
      return "an IP address and a port, such as 127.0.0.1:7100";
    case value_kind::endpoints:
      return "IP addresses with ports, separated by commas";
    case value_kind::name:
      return "1 to 64 letters, digits, '-', '_' or '.'";
    case value_kind::secret:
      return std::to_string(aSetting.min_value) + " to " +
             std::to_string(aSetting.max_value) + " bytes";
    case value_kind::address:
      return "an IP address";
    case value_kind::choice:
      return std::string("one of ") + aSetting.choices;
    case value_kind::number:
      return "a whole number from " + std::to_string(aSetting.min_value) +
             " to " + std::to_string(aSetting.max_value) + " " + aSetting.unit;
  }
  return "";
}

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    std::size_t end = std::min(aText.find(aSeparator, begin), aText.size());
    parts.push_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

bool
IsValidName(const std::string& aText)
{
  constexpr std::size_t kMaxBytes = 64;
  return !aText.empty() && aText.size() <= kMaxBytes &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
           return std::isalnum(aCharacter) != 0 || aCharacter == '-' ||
                  aCharacter == '_' || aCharacter == '.';
         });
}

bool
IsAllowed(const setting_definition& aSetting, const std::string& aValue)
{
  switch (aSetting.kind) {
    case value_kind::endpoint:
      return ParseEndpoint(aValue).port != 0;
    case value_kind::endpoints: {
      std::vector<std::string> parts = Split(aValue, ',');
      return std::all_of(
        parts.begin(), parts.end(), [](const std::string& aPart) {
          return ParseEndpoint(aPart).port != 0;
        });
    }
    case value_kind::name:
      return IsValidName(aValue);
    case value_kind::secret:
      return static_cast<long>(aValue.size()) >= aSetting.min_value &&
             static_cast<long>(aValue.size()) <= aSetting.max_value;
    case value_kind::address:
      return ParseEndpoint(aValue + ":1").port != 0;
    case value_kind::choice: {
      std::vector<std::string> choices = Split(aSetting.choices, '|');
      return std::find(choices.begin(), choices.end(), aValue) != choices.end();
    }
    case value_kind::number: {
      std::optional<long> number = ParseNumber<long>(aValue);
      return number && *number >= aSetting.min_value &&
             *number <= aSetting.max_value;
    }
  }
  return false;
}

cxxopts::Options
BuildOptions()
{
  cxxopts::Options options(
    "eelgrasstrackd",
    "Node of eelgrasstrack: routes the requests of callers, holds the accepted "
    "configuration and protects the upstream on its host.");
  for (const setting_definition& setting : kSettingDefinitions) {
    std::string help =
      std::string(setting.help) + " (" + DescribeAllowedValues(setting) + "; ";
    help += setting.default_value == nullptr
              ? "required"
              : "default '" + std::string(setting.default_value) + "'";
    help += "; environment " + EnvironmentName(setting.flag) + ")";
    options.add_options()(setting.flag, help, cxxopts::value<std::string>());
  }
  options.add_options()("help", "print this help and exit");
  options.add_options()("version", "print the version and exit");
  return options;
}

/// Validated values of all settings, by flag.
class setting_values
{
public:
  result<void> ReadAll(const cxxopts::ParseResult& aParsed)
  {
    for (const setting_definition& setting : kSettingDefinitions) {
      result<std::string> value = ReadOne(setting, aParsed);
      if (!value) {
        return tl::unexpected<error>(value.error());
      }
      mValues.push_back(std::move(*value));
    }
    return {};
  }

  const std::string& operator[](std::string_view aFlag) const
  {
    std::size_t index = 0;
    while (kSettingDefinitions[index].flag != aFlag) {
      ++index;
    }
    return mValues[index];
  }

  long Number(std::string_view aFlag) const
  {
    return std::stol((*this)[aFlag]);
  }

private:
  static result<std::string> ReadOne(const setting_definition& aSetting,
                                     const cxxopts::ParseResult& aParsed)
  {
    std::string source = std::string("--") + aSetting.flag;
    std::string value;
    const char* variable = std::getenv(EnvironmentName(aSetting.flag).c_str());
    if (aParsed.count(aSetting.flag) > 0) {
      value = aParsed[aSetting.flag].as<std::string>();
    } else if (variable != nullptr) {
      value = variable;
      source = EnvironmentName(aSetting.flag);
    } else if (aSetting.default_value != nullptr) {
      return std::string(aSetting.default_value);
    } else {
      return Fail(error_kind::invalid_argument,
                  source + " (or " + EnvironmentName(aSetting.flag) +
                    ") is required: " + DescribeAllowedValues(aSetting));
    }
    if (!IsAllowed(aSetting, value)) {
      bool secret = aSetting.kind == value_kind::secret;
      return Fail(error_kind::invalid_argument,
                  source + " has the value '" + (secret ? "***" : value) +
                    "'; allowed: " + DescribeAllowedValues(aSetting));
    }
    return value;
  }

  std::vector<std::string> mValues;
};

node_settings
MakeNodeSettings(const setting_values& aValues)
{
  node_settings settings;
  settings.caller_listen = ParseEndpoint(aValues["caller-listen"]);
  settings.operator_listen = ParseEndpoint(aValues["operator-listen"]);
  settings.peer_listen = ParseEndpoint(aValues["peer-listen"]);
  settings.store = ParseEndpoint(aValues["store"]);
  settings.domain = aValues["domain"];
  settings.region = aValues["region"];
  settings.peer_secret = aValues["peer-secret"];
  settings.operator_secret = aValues["operator-secret"];
  settings.seeds = Split(aValues["seeds"], ',');
  settings.upstream_address = aValues["upstream-address"];
  settings.distribution = aValues["distribution"];
  settings.min_log_level = *LogLevelFromName(aValues["log-level"]);
  settings.log_line_format =
    aValues["log-format"] == "json" ? log_format::json : log_format::text;
  settings.max_connections =
    static_cast<unsigned>(aValues.Number("max-connections"));
  settings.max_body_bytes =
    static_cast<std::size_t>(aValues.Number("max-body-kb")) * 1024;
  settings.drain_ms = static_cast<unsigned>(aValues.Number("drain-ms"));
  settings.ping_ms = static_cast<unsigned>(aValues.Number("ping-ms"));
  settings.store_calls_per_second =
    static_cast<double>(aValues.Number("store-calls"));
  settings.random_seed =
    static_cast<std::uint64_t>(aValues.Number("random-seed"));
  return settings;
}

} // namespace

result<parsed_settings>
ParseSettings(int aCount, const char* const* aArguments)
{
  cxxopts::Options options = BuildOptions();
  parsed_settings parsed;
  try {
    cxxopts::ParseResult flags = options.parse(aCount, aArguments);
    if (flags.count("help") > 0) {
      parsed.request = settings_request::help;
      parsed.help_text = options.help();
      return parsed;
    }
    if (flags.count("version") > 0) {
      parsed.request = settings_request::version;
      return parsed;
    }
    if (!flags.unmatched().empty()) {
      return Fail(error_kind::invalid_argument,
                  "unknown argument '" + flags.unmatched().front() + "'");
    }
    setting_values values;
    result<void> read = values.ReadAll(flags);
    if (!read) {
      return tl::unexpected<error>(read.error());
    }
    parsed.settings = MakeNodeSettings(values);
    return parsed;
  } catch (const cxxopts::exceptions::exception& exception) {
    return Fail(error_kind::invalid_argument, exception.what());
  }
}

} // namespace eelgrasstrack
