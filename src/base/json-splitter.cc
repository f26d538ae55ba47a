#include "base/json-splitter.h"

#include <boost/locale/encoding_utf.hpp>
#include <simdjson.h>

#include "base/json-decode.h"

namespace eelgrasstrack {

namespace {

using namespace simdjson;
using nlohmann::json;

/// Returns the object with an empty array and adds the array's elements to
/// `aElements`. Numbers and escapes in them are not decoded, and nesting has no
/// limit.
simdjson_result<std::string>
TakeOutElements(const std::string& aText,
                const std::string& aField,
                std::vector<std::string>& aElements)
{
  ondemand::parser parser;
  padded_string padded(aText);
  ondemand::document document;
  ondemand::object object;
  ondemand::array array;
  SIMDJSON_TRY(parser.iterate(padded).get(document));
  SIMDJSON_TRY(document.get_object().get(object));
  SIMDJSON_TRY(object.find_field(aField).get_array().get(array));
  std::string_view arrayText;
  SIMDJSON_TRY(array.raw_json().get(arrayText));
  auto begin = static_cast<std::size_t>(arrayText.data() - padded.data());
  bool isEmpty = false;
  SIMDJSON_TRY(array.reset().get(isEmpty));
  for (simdjson_result<ondemand::value> item : array) {
    ondemand::value element;
    SIMDJSON_TRY(item.get(element));
    ondemand::object entry;
    if (element.get_object().get(entry) != SUCCESS) {
      continue;
    }
    std::string_view text;
    SIMDJSON_TRY(entry.raw_json().get(text));
    aElements.emplace_back(text);
  }
  return aText.substr(0, begin) + "[]" + aText.substr(begin + arrayText.size());
}

simdjson_result<std::string>
ReadString(const std::string& aText,
           std::initializer_list<std::string_view> aPath)
{
  ondemand::parser parser;
  padded_string padded(aText);
  ondemand::document document;
  ondemand::value value;
  SIMDJSON_TRY(parser.iterate(padded).get(document));
  SIMDJSON_TRY(document.get_value().get(value));
  for (std::string_view field : aPath) {
    SIMDJSON_TRY(value.find_field_unordered(field).get(value));
  }
  std::string_view text;
  SIMDJSON_TRY(value.get_string().get(text));
  return std::string(text);
}

/// Removes bytes that are not UTF-8.
std::string
ValidUtf8(const std::string& aText)
{
  return boost::locale::conv::utf_to_utf<char>(aText);
}

} // namespace

result<split_json>
SplitJsonArray(const std::string& aText, const std::string& aField)
{
  std::vector<std::string> elements;
  simdjson_result<std::string> rest = TakeOutElements(aText, aField, elements);
  if (rest.error() == UTF8_ERROR) {
    rest = TakeOutElements(ValidUtf8(aText), aField, elements);
  }
  if (rest.error() != SUCCESS) {
    return Fail(error_kind::invalid_argument,
                "no list '" + aField + "': " + error_message(rest.error()));
  }
  return ParseJson(rest.value_unsafe()).map([&elements](json&& aRest) {
    return split_json{ std::move(aRest), std::move(elements) };
  });
}

result<std::string>
ReadJsonString(const std::string& aText,
               std::initializer_list<std::string_view> aPath)
{
  simdjson_result<std::string> text = ReadString(aText, aPath);
  if (text.error() != SUCCESS) {
    return Fail(error_kind::invalid_argument,
                std::string("no string there: ") + error_message(text.error()));
  }
  return std::move(text).value_unsafe();
}

} // namespace eelgrasstrack
