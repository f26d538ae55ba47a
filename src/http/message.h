#ifndef EELGRASSTRACK_HTTP_MESSAGE_H_
#define EELGRASSTRACK_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasstrack {

/// One HTTP header field. The name is in lower case.
struct http_header
{
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

/// A complete HTTP request.
struct http_request
{
  std::string method;
  std::string path;
  /// The part of the target after `?`.
  std::string query;
  http_headers headers;
  std::string body;
  /// IP address of the peer that sent the request; set on received requests
  /// only.
  std::string remote_address;
};

/// A complete HTTP response.
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

/// Returns the first value of a header, or an empty string.
std::string_view
HeaderValue(const http_headers& aHeaders, std::string_view aName);

/// Returns the first value of a query parameter as it was sent, without
/// decoding, or an empty string.
std::string
QueryValue(std::string_view aQuery, std::string_view aName);

/// Formats an endpoint as `address:port`.
std::string
ToString(const endpoint& aEndpoint);

/// Parses `address:port`. The result has port 0 if the text is invalid.
endpoint
ParseEndpoint(std::string_view aText);

/// Returns whether the address is an IPv4 address.
bool
IsIpv4(const endpoint& aEndpoint);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_MESSAGE_H_
