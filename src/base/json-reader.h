#ifndef EELGRASSTRACK_BASE_JSON_READER_H_
#define EELGRASSTRACK_BASE_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/json-decode.h"

namespace eelgrasstrack {

/// Reads and validates the fields of one JSON object. The first invalid,
/// missing or unknown field is recorded as the error, with its path in the
/// document; `Finish` returns it. The functions with `Or` return `aDefault` if
/// the field is missing.
class json_reader
{
public:
  /// `aPath` is the path of the object in the document, for error messages.
  json_reader(const nlohmann::json& aObject, std::string aPath);

  /// Reads a string of 1 to `aMaxBytes` bytes.
  std::string String(const char* aField, std::size_t aMaxBytes);
  std::string StringOr(const char* aField,
                       std::size_t aMaxBytes,
                       const std::string& aDefault);

  /// Reads a name: at most 64 letters, digits, `-`, `_` and `.`.
  std::string Name(const char* aField);

  /// Reads an integer from `aLow` to `aHigh`. Returns `aLow` on an error.
  std::int64_t Integer(const char* aField,
                       std::int64_t aLow,
                       std::int64_t aHigh);
  std::int64_t IntegerOr(const char* aField,
                         std::int64_t aLow,
                         std::int64_t aHigh,
                         std::int64_t aDefault);
  bool BooleanOr(const char* aField, bool aDefault);
  std::vector<std::string> StringsOr(const char* aField,
                                     std::size_t aMaxCount,
                                     std::vector<std::string> aDefault);

  /// Returns the array of a field, or null if it is missing or invalid.
  const nlohmann::json* Array(const char* aField, std::size_t aMaxCount);

  /// Records an error of a field, unless an earlier error is recorded.
  void ReportInvalid(const char* aField, const std::string& aReason);

  /// Marks a field as known without reading it.
  void MarkKnown(const char* aField) { mKnownFields.insert(aField); }

  /// Checks for unknown fields and returns the first error, if any.
  result<void> Finish();

  /// Path of the object in the document.
  const std::string& Path() const { return mPath; }

private:
  const nlohmann::json* Find(const char* aField, bool aRequired);

  const nlohmann::json& mObject;
  std::string mPath;
  std::set<std::string> mKnownFields;
  std::string mError;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_JSON_READER_H_
