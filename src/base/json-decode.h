#ifndef EELGRASSTRACK_BASE_JSON_DECODE_H_
#define EELGRASSTRACK_BASE_JSON_DECODE_H_

#include <exception>
#include <limits>
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

/// An unsigned integer up to `aHigh`, by default the largest of its type or,
/// for 64 bits, the largest signed one. Throws `std::out_of_range`.
template<typename Unsigned>
Unsigned
UnsignedIn(const nlohmann::json& aValue,
           std::int64_t aHigh = sizeof(Unsigned) < sizeof(std::int64_t)
                                  ? std::numeric_limits<Unsigned>::max()
                                  : std::numeric_limits<std::int64_t>::max())
{
  return static_cast<Unsigned>(IntegerIn(aValue, 0, aHigh));
}

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

/// Parses text as JSON and calls `aRead` with it, as above.
template<typename T, typename Read>
result<T>
DecodeJsonText(const char* aSubject, std::string_view aText, Read aRead)
{
  result<nlohmann::json> document = ParseJson(aText);
  if (!document) {
    return tl::unexpected<error>(document.error());
  }
  return DecodeJson<T>(aSubject, [&] { return aRead(*document); });
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_JSON_DECODE_H_
