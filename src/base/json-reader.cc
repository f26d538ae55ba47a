#include "base/json-reader.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

constexpr std::size_t kMaxNameBytes = 64;

bool
IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '_' || aCharacter == '.';
}

} // namespace

json_reader::json_reader(const nlohmann::json& aObject, std::string aPath)
  : mObject(aObject)
  , mPath(std::move(aPath))
{
  if (!aObject.is_object()) {
    mError = mPath + ": must be an object";
  }
}

const nlohmann::json*
json_reader::Find(const char* aField, bool aRequired)
{
  mKnownFields.insert(aField);
  if (!mObject.is_object()) {
    return nullptr;
  }
  auto found = mObject.find(aField);
  if (found != mObject.end()) {
    return &*found;
  }
  if (aRequired) {
    ReportInvalid(aField, "is missing");
  }
  return nullptr;
}

void
json_reader::ReportInvalid(const char* aField, const std::string& aReason)
{
  if (mError.empty()) {
    mError = mPath + "." + aField + ": " + aReason;
  }
}

std::string
json_reader::String(const char* aField, std::size_t aMaxBytes)
{
  const nlohmann::json* value = Find(aField, true);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    ReportInvalid(aField, "must be a string");
    return {};
  }
  std::string text = value->get<std::string>();
  if (text.empty() || text.size() > aMaxBytes) {
    ReportInvalid(aField,
                  "must be 1 to " + std::to_string(aMaxBytes) + " bytes long");
  }
  return text;
}

std::string
json_reader::StringOr(const char* aField,
                      std::size_t aMaxBytes,
                      const std::string& aDefault)
{
  return Find(aField, false) == nullptr ? aDefault : String(aField, aMaxBytes);
}

std::string
json_reader::Name(const char* aField)
{
  std::string text = String(aField, kMaxNameBytes);
  if (!std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    ReportInvalid(aField, "may contain only letters, digits, '-', '_' and '.'");
  }
  return text;
}

std::int64_t
json_reader::Integer(const char* aField, std::int64_t aLow, std::int64_t aHigh)
{
  const nlohmann::json* value = Find(aField, true);
  if (value == nullptr) {
    return aLow;
  }
  std::string range = "must be an integer from " + std::to_string(aLow) +
                      " to " + std::to_string(aHigh);
  std::optional<std::int64_t> number = IntegerOf(*value, aLow, aHigh);
  if (!number) {
    ReportInvalid(aField, range);
  }
  return number.value_or(aLow);
}

std::int64_t
json_reader::IntegerOr(const char* aField,
                       std::int64_t aLow,
                       std::int64_t aHigh,
                       std::int64_t aDefault)
{
  return Find(aField, false) == nullptr ? aDefault
                                        : Integer(aField, aLow, aHigh);
}

bool
json_reader::BooleanOr(const char* aField, bool aDefault)
{
  const nlohmann::json* value = Find(aField, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    ReportInvalid(aField, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

std::vector<std::string>
json_reader::StringsOr(const char* aField,
                       std::size_t aMaxCount,
                       std::vector<std::string> aDefault)
{
  if (Find(aField, false) == nullptr) {
    return aDefault;
  }
  const nlohmann::json* array = Array(aField, aMaxCount);
  std::vector<std::string> texts;
  if (array == nullptr) {
    return texts;
  }
  for (const nlohmann::json& item : *array) {
    if (!item.is_string()) {
      ReportInvalid(aField, "must be an array of strings");
      return texts;
    }
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

const nlohmann::json*
json_reader::Array(const char* aField, std::size_t aMaxCount)
{
  const nlohmann::json* value = Find(aField, true);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    ReportInvalid(aField, "must be an array");
    return nullptr;
  }
  if (value->size() > aMaxCount) {
    ReportInvalid(aField,
                  "must have at most " + std::to_string(aMaxCount) + " items");
    return nullptr;
  }
  return value;
}

result<void>
json_reader::Finish()
{
  if (mError.empty() && mObject.is_object()) {
    for (const auto& item : mObject.items()) {
      if (mKnownFields.count(item.key()) == 0) {
        ReportInvalid(item.key().c_str(), "unknown field");
      }
    }
  }
  if (!mError.empty()) {
    return Fail(error_kind::invalid_argument, mError);
  }
  return {};
}

} // namespace eelgrasstrack
