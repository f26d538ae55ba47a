#include "wire/message.h"

#include <algorithm>
#include <array>

#include "base/parse-number.h"

namespace eelgrasstrack {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields{
  "connection",        "keep-alive", "proxy-connection", "te",     "trailer",
  "transfer-encoding", "upgrade",    "content-length",   "expect",
};

char
LowerOf(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z'
           ? static_cast<char>(aCharacter - 'A' + 'a')
           : aCharacter;
}

std::string_view
Trimmed(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

bool
ListContains(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    std::size_t comma = aList.find(',');
    if (EqualsIgnoreCase(Trimmed(aList.substr(0, comma)), aName)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    aList.remove_prefix(comma + 1);
  }
  return false;
}

bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kTokenCharacters = "abcdefghijklmnopqrstuvwxyz"
                                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                                "0123456789!#$%&'*+-.^_`|~";
  return kTokenCharacters.find(aCharacter) != std::string_view::npos;
}

bool
IsValueCharacter(char aCharacter)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  auto byte = static_cast<unsigned char>(aCharacter);
  return aCharacter == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

} // namespace

bool
IsValidField(std::string_view aName, std::string_view aValue)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), IsTokenCharacter) &&
         std::all_of(aValue.begin(), aValue.end(), IsValueCharacter);
}

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    if (LowerOf(aLeft[i]) != LowerOf(aRight[i])) {
      return false;
    }
  }
  return true;
}

const std::string*
FindField(const header_fields& aFields, std::string_view aName)
{
  for (const header_field& field : aFields) {
    if (EqualsIgnoreCase(field.name, aName)) {
      return &field.value;
    }
  }
  return nullptr;
}

std::optional<std::int64_t>
NumberField(const header_fields& aFields, std::string_view aName)
{
  const std::string* value = FindField(aFields, aName);
  return value == nullptr ? std::nullopt : ParseNumber<std::int64_t>(*value);
}

bool
IsHopByHop(std::string_view aName, const std::string* aConnectionField)
{
  for (std::string_view name : kHopByHopFields) {
    if (EqualsIgnoreCase(aName, name)) {
      return true;
    }
  }
  return aConnectionField != nullptr && ListContains(*aConnectionField, aName);
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName);
  aText.append(": ");
  aText.append(aValue);
  aText.append("\r\n");
}

void
AppendRequestLine(std::string& aText, const message_head& aHead)
{
  aText.append(aHead.method);
  aText.push_back(' ');
  aText.append(aHead.target);
  aText.append(" HTTP/1.1\r\n");
}

void
AppendStatusLine(std::string& aText, int aStatus, std::string_view aReason)
{
  aText.append("HTTP/1.1 ");
  aText.append(std::to_string(aStatus));
  aText.push_back(' ');
  aText.append(aReason);
  aText.append("\r\n");
}

void
AppendChunk(std::string& aText, std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  std::array<char, 16> size{};
  auto end =
    std::to_chars(size.data(), size.data() + size.size(), aBytes.size(), 16);
  aText.append(size.data(), end.ptr);
  aText.append("\r\n");
  aText.append(aBytes);
  aText.append("\r\n");
}

std::string_view
ReasonOf(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

} // namespace eelgrasstrack
