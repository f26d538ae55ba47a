#ifndef EELGRASSTRACK_BASE_LOG_H_
#define EELGRASSTRACK_BASE_LOG_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasstrack {

enum class log_level
{
  debug,
  info,
  warning,
  error,
};

enum class log_format
{
  text,
  json,
};

/// One field of a log event.
struct log_field
{
  std::string_view name;
  std::string value;
};

/// Returns the level with the given name, if there is one.
std::optional<log_level>
LogLevelFromName(std::string_view aName);

/// Sets the lowest level that is written and the format of the lines.
void
ConfigureLog(log_level aMinimumLevel, log_format aFormat);

/// Sets the node name that every line in the JSON format carries.
void
SetLogNode(std::string aName);

/// Writes one event as one line to standard output.
void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields = {});

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_LOG_H_
