#ifndef EELGRASSTRACK_HTTP_MESSAGE_H_
#define EELGRASSTRACK_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasstrack {

/// One HTTP header field. Names are in lower case.
struct http_header
{
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

/// A whole HTTP request.
struct http_request
{
  std::string method;
  std::string path;
  /// The part after `?`, without it.
  std::string query;
  http_headers headers;
  std::string body;
  /// IP address of the sender; set on received requests only.
  std::string sender;
};

/// A whole HTTP answer.
struct http_response
{
  int status = 200;
  http_headers headers;
  std::string body;
};

/// An IP address in text form with a port.
struct endpoint
{
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
};

/// Returns the first value of a header, or an empty text.
std::string_view
HeaderValue(const http_headers& aHeaders, std::string_view aName);

/// Returns the value of a query parameter, or an empty text.
std::string
QueryValue(std::string_view aQuery, std::string_view aName);

/// `address:port`.
std::string
ToString(const endpoint& aEndpoint);

/// Reads `address:port`; the port of the result is 0 if the text is wrong.
endpoint
ParseEndpoint(std::string_view aText);

/// Whether the address is of IP version 4.
bool
IsIpv4(const endpoint& aEndpoint);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_MESSAGE_H_
