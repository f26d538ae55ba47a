#ifndef EELGRASSTRACK_BASE_JSON_DECODE_H_
#define EELGRASSTRACK_BASE_JSON_DECODE_H_

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "base/error.h"

namespace eelgrasstrack {

/// Largest integer that every reader of JSON holds exactly (RFC 8259, section
/// 6).
constexpr std::int64_t kMaxJsonInteger = (std::int64_t{ 1 } << 53) - 1;
/// Largest time in milliseconds, since the Unix epoch or as a span: sums of a
/// few still fit into a `duration`.
constexpr std::int64_t kMaxTimeMs = 4'000'000'000'000;

/// Parses text as JSON (RFC 8259) that is nested 64 levels deep at most. Fails
/// with `invalid_argument`.
result<nlohmann::json>
ParseJson(std::string_view aText);

/// The value as an integer from `aLow` to `aHigh`; nothing if it is none.
std::optional<std::int64_t>
IntegerOf(const nlohmann::json& aValue, std::int64_t aLow, std::int64_t aHigh);

/// Same, for decoders that throw. Throws `std::out_of_range`.
std::int64_t
IntegerIn(const nlohmann::json& aValue, std::int64_t aLow, std::int64_t aHigh);

/// A span or time in milliseconds. Throws `std::out_of_range`.
std::int64_t
TimeIn(const nlohmann::json& aValue);

/// Calls `aRead`, which throws what the JSON library and the functions above
/// throw, and converts an exception to `invalid_argument`, with `aSubject` in
/// front of its message.
template<typename T, typename Read>
result<T>
DecodeJson(const char* aSubject, Read aRead)
{
  try {
    return aRead();
  } catch (const std::exception& exception) {
    return Fail(error_kind::invalid_argument,
                std::string(aSubject) + ": " + exception.what());
  }
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_JSON_DECODE_H_
