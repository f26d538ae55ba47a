#include "proxy/instance-notices.h"

#include <array>
#include <charconv>
#include <cmath>

#include "base/parse-number.h"

namespace eelgrasstrack {

namespace {

constexpr std::string_view kNoLimit = "none";

result<std::optional<double>>
ParseLimit(std::string_view aText)
{
  std::optional<double> limit = ParseNumber<double>(aText);
  if (!limit || !std::isfinite(*limit) || *limit < 0) {
    return Fail(error_kind::invalid_argument,
                "request limit '" + std::string(aText) +
                  "' is not a number of 0 or more");
  }
  return limit;
}

} // namespace

bool
AnnouncesLeaving(const header_fields& aFields, const header_names& aNames)
{
  const std::string* value = FindField(aFields, aNames.leaving);
  return value != nullptr && *value == "1";
}

result<std::optional<double>>
RequestLimitOf(const header_fields& aFields, const header_names& aNames)
{
  const std::string* text = FindField(aFields, aNames.request_limit);
  if (text == nullptr) {
    return std::optional<double>();
  }
  return ParseLimit(*text);
}

std::string
RequestLimitText(const std::optional<double>& aLimit)
{
  if (!aLimit) {
    return std::string(kNoLimit);
  }
  constexpr std::size_t kMaxDigits = 32;
  std::array<char, kMaxDigits> text{};
  auto written = std::to_chars(text.data(), text.data() + text.size(), *aLimit);
  return std::string(text.data(), written.ptr);
}

result<std::optional<double>>
ParseRequestLimit(std::string_view aText)
{
  return aText == kNoLimit ? std::optional<double>() : ParseLimit(aText);
}

} // namespace eelgrasstrack
