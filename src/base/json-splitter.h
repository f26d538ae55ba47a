#ifndef EELGRASSTRACK_BASE_JSON_SPLITTER_H_
#define EELGRASSTRACK_BASE_JSON_SPLITTER_H_

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace eelgrasstrack {

/// A JSON object, with the elements of one of its arrays taken out.
struct split_json
{
  /// The object with an empty array.
  nlohmann::json rest;
  /// The texts of the array's elements that are objects.
  std::vector<std::string> elements;
};

/// Takes the elements of array `aField` out of a JSON object without decoding
/// them, so that one that can't be decoded, such as for a number out of range,
/// does not spoil the others. Fails with `invalid_argument`.
result<split_json>
SplitJsonArray(const std::string& aText, const std::string& aField);

/// Reads the string at a path of fields without decoding the rest of the
/// object. Fails with `invalid_argument`.
result<std::string>
ReadJsonString(const std::string& aText,
               std::initializer_list<std::string_view> aPath);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_JSON_SPLITTER_H_
