#ifndef EELGRASSTRACK_BASE_JSON_READER_H_
#define EELGRASSTRACK_BASE_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"

namespace eelgrasstrack {

/// Parses text as JSON (RFC 8259). Fails with `invalid_argument`.
result<nlohmann::json>
ParseJson(std::string_view aText);

/// Reads the fields of one JSON object strictly. The first wrong, missing or
/// unknown field is kept as the error, with its place in the document.
class json_reader
{
public:
  json_reader(const nlohmann::json& aObject, std::string aPath);

  /// A text of 1 to `aMaxBytes` bytes.
  std::string String(const char* aField, std::size_t aMaxBytes);
  std::string StringOr(const char* aField,
                       std::size_t aMaxBytes,
                       const std::string& aDefault);

  /// A name: letters, digits, `-`, `_` and `.`, at most 64 of them.
  std::string Name(const char* aField);

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

  /// Returns the array of a field, or null.
  const nlohmann::json* Array(const char* aField, std::size_t aMaxCount);

  /// Records that a value is wrong.
  void ReportInvalid(const char* aField, const std::string& aReason);

  /// Marks a field as known.
  void MarkKnown(const char* aField) { mKnownFields.insert(aField); }

  /// Checks for unknown fields and returns the first error, if any.
  result<void> Finish();

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
