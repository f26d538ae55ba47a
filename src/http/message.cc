#include "http/message.h"

#include <arpa/inet.h>

#include "base/parse-number.h"

namespace eelgrasstrack {

std::string_view
HeaderValue(const http_headers& aHeaders, std::string_view aName)
{
  for (const http_header& header : aHeaders) {
    if (header.name == aName) {
      return header.value;
    }
  }
  return {};
}

std::string
QueryValue(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    std::size_t end = aQuery.find('&');
    std::string_view part = aQuery.substr(0, end);
    std::size_t equals = part.find('=');
    if (equals != std::string_view::npos && part.substr(0, equals) == aName) {
      return std::string(part.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    aQuery.remove_prefix(end + 1);
  }
  return {};
}

std::string
ToString(const endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

endpoint
ParseEndpoint(std::string_view aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  endpoint parsed;
  parsed.address = std::string(aText.substr(0, colon));
  std::string_view port = aText.substr(colon + 1);
  std::optional<std::uint16_t> value = ParseNumber<std::uint16_t>(port);
  in_addr v4{};
  in6_addr v6{};
  bool address = inet_pton(AF_INET, parsed.address.c_str(), &v4) == 1 ||
                 inet_pton(AF_INET6, parsed.address.c_str(), &v6) == 1;
  if (!value || !address) {
    return {};
  }
  parsed.port = *value;
  return parsed;
}

bool
IsIpv4(const endpoint& aEndpoint)
{
  in_addr address{};
  return inet_pton(AF_INET, aEndpoint.address.c_str(), &address) == 1;
}

} // namespace eelgrasstrack
