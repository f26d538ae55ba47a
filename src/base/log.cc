#include "base/log.h"

#include <array>
#include <chrono>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace eelgrasstrack {

namespace {

log_level sMinimumLevel = log_level::info;
log_format sFormat = log_format::text;
std::string sNode;

/// Indexed by `log_level`.
constexpr std::array<std::string_view, 4> kLevelNames{ "debug",
                                                       "info",
                                                       "warning",
                                                       "error" };

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
TextLine(std::string_view aEvent, std::initializer_list<log_field> aFields)
{
  std::string line = "event=" + std::string(aEvent);
  for (const log_field& field : aFields) {
    line += ' ';
    line += field.name;
    line += '=';
    bool quote = field.value.find_first_of(" \"\n=") != std::string::npos;
    line +=
      quote ? nlohmann::json(field.value)
                .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            : field.value;
  }
  return line;
}

std::string
JsonLine(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  nlohmann::json line = { { "event", aEvent },
                          { "time_ms", UnixMilliseconds() },
                          { "level",
                            kLevelNames[static_cast<std::size_t>(aLevel)] } };
  if (!sNode.empty()) {
    line["node"] = sNode;
  }
  for (const log_field& field : aFields) {
    line[std::string(field.name)] = field.value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::optional<log_level>
LogLevelFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == aName) {
      return static_cast<log_level>(i);
    }
  }
  return std::nullopt;
}

void
ConfigureLog(log_level aMinimumLevel, log_format aFormat)
{
  sMinimumLevel = aMinimumLevel;
  sFormat = aFormat;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  settings.setGlobally(el::ConfigurationType::Format,
                       aFormat == log_format::text
                         ? "%datetime{%Y-%M-%dT%H:%m:%s.%g} %levshort %msg"
                         : "%msg");
  el::Loggers::reconfigureLogger("default", settings);
}

void
SetLogNode(std::string aName)
{
  sNode = std::move(aName);
}

void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  if (aLevel < sMinimumLevel) {
    return;
  }
  std::string line = sFormat == log_format::text
                       ? TextLine(aEvent, aFields)
                       : JsonLine(aLevel, aEvent, aFields);
  switch (aLevel) {
    case log_level::debug:
    case log_level::info:
      LOG(INFO) << line;
      break;
    case log_level::warning:
      LOG(WARNING) << line;
      break;
    case log_level::error:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace eelgrasstrack
