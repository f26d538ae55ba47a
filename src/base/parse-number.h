#ifndef EELGRASSTRACK_BASE_PARSE_NUMBER_H_
#define EELGRASSTRACK_BASE_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>

namespace eelgrasstrack {

/// Parses a text that is a number and nothing else. Returns nothing for any
/// other text and for a number out of range.
template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_PARSE_NUMBER_H_
