#ifndef EELGRASSTRACK_WIRE_MESSAGE_H_
#define EELGRASSTRACK_WIRE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasstrack {

/// One HTTP header field; the name keeps its letter case.
struct header_field
{
  std::string name;
  std::string value;
};

using header_fields = std::vector<header_field>;

/// First line and fields of an HTTP/1.1 message (RFC 9112), unchanged.
struct message_head
{
  /// Requests only.
  std::string method;
  /// Requests only: path and query as they were sent.
  std::string target;
  /// Responses only.
  int status = 0;
  std::string reason;
  header_fields fields;
};

/// How the end of a body is marked.
enum class body_framing
{
  none,
  length,
  chunked,
};

/// Compares names without regard to letter case.
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Returns the first value of a field, or null.
const std::string*
FindField(const header_fields& aFields, std::string_view aName);

/// The value as a whole number, if the field is there and is one.
std::optional<std::int64_t>
NumberField(const header_fields& aFields, std::string_view aName);

/// Whether a field concerns one connection only (RFC 9110, section 7.6.1) or
/// frames the body.
bool
IsHopByHop(std::string_view aName, const std::string* aConnectionField);

void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

/// Appends the first line of a request.
void
AppendRequestLine(std::string& aText, const message_head& aHead);

/// Appends the first line of a response.
void
AppendStatusLine(std::string& aText, int aStatus, std::string_view aReason);

void
AppendChunk(std::string& aText, std::string_view aBytes);

constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The reason phrase of a status this program sends.
std::string_view
ReasonOf(int aStatus);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_MESSAGE_H_
