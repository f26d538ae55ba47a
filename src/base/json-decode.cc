#include "base/json-decode.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

/// Copying and encoding a value recurse once for each level.
constexpr int kMaxLevels = 64;

} // namespace

result<json>
ParseJson(std::string_view aText)
{
  bool tooDeep = false;
  auto isKept = [&tooDeep](int aDepth, json::parse_event_t, json&) {
    tooDeep = tooDeep || aDepth > kMaxLevels;
    return aDepth <= kMaxLevels;
  };
  // The message of the exception would quote the text, which may hold a key.
  result<json> parsed = [&]() -> result<json> {
    try {
      return json::parse(aText, isKept);
    } catch (const json::parse_error& problem) {
      return Fail(error_kind::invalid_argument,
                  "not valid JSON at byte " + std::to_string(problem.byte));
    } catch (const json::exception& problem) {
      return Fail(error_kind::invalid_argument,
                  "not valid JSON, error " + std::to_string(problem.id));
    }
  }();
  if (tooDeep) {
    return Fail(error_kind::invalid_argument,
                "JSON nested more than " + std::to_string(kMaxLevels) +
                  " levels deep");
  }
  return parsed;
}

std::optional<std::int64_t>
IntegerOf(const json& aValue, std::int64_t aLow, std::int64_t aHigh)
{
  bool tooLarge = aValue.is_number_unsigned() &&
                  aValue.get<std::uint64_t>() > std::uint64_t{ INT64_MAX };
  if (!aValue.is_number_integer() || tooLarge) {
    return std::nullopt;
  }
  auto number = aValue.get<std::int64_t>();
  return number < aLow || number > aHigh ? std::nullopt : std::optional(number);
}

std::int64_t
IntegerIn(const json& aValue, std::int64_t aLow, std::int64_t aHigh)
{
  std::optional<std::int64_t> number = IntegerOf(aValue, aLow, aHigh);
  if (!number) {
    throw std::out_of_range("not an integer from " + std::to_string(aLow) +
                            " to " + std::to_string(aHigh));
  }
  return *number;
}

std::int64_t
TimeIn(const json& aValue)
{
  return IntegerIn(aValue, 0, kMaxTimeMs);
}

} // namespace eelgrasstrack
