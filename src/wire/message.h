#ifndef EELGRASSTRACK_WIRE_MESSAGE_H_
#define EELGRASSTRACK_WIRE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasstrack {

/// One HTTP header field. The name keeps its letter case.
struct header_field
{
  std::string name;
  std::string value;
};

using header_fields = std::vector<header_field>;

/// Start line and header fields of an HTTP/1.1 message (RFC 9112), without any
/// normalization.
struct message_head
{
  /// Requests only.
  std::string method;
  /// Requests only: path and query, byte for byte as sent.
  std::string target;
  /// Responses only.
  int status = 0;
  std::string reason;
  header_fields fields;
};

/// How the end of a body is determined.
enum class body_framing
{
  none,
  length,
  chunked,
};

/// Whether a header field can be sent: the name is a token, and the value has
/// no control characters but tabs (RFC 9110, section 5).
bool
IsValidField(std::string_view aName, std::string_view aValue);

/// Compares ASCII text case-insensitively.
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first field with the given name, or null.
const std::string*
FindField(const header_fields& aFields, std::string_view aName);

/// Returns the value of a field as an integer, or nothing if the field is
/// missing or not an integer.
std::optional<std::int64_t>
NumberField(const header_fields& aFields, std::string_view aName);

/// Whether a field applies to one connection only (RFC 9110, section 7.6.1) or
/// to the framing of the body. `aConnectionField` is the value of the message's
/// Connection field, or null.
bool
IsHopByHop(std::string_view aName, const std::string* aConnectionField);

/// Appends a header field as one line.
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

/// Appends one chunk of a chunked body. Appends nothing for no bytes, because
/// an empty chunk ends the body.
void
AppendChunk(std::string& aText, std::string_view aBytes);

/// Ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns the reason phrase of a status that this program sends.
std::string_view
ReasonOf(int aStatus);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_MESSAGE_H_
