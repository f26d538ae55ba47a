#include "http/header-reader.h"

#include <algorithm>
#include <libwebsockets.h>

#include "base/parse-number.h"

namespace eelgrasstrack::detail {

namespace {

struct known_header
{
  std::string_view name;
  lws_token_indexes token;
};

constexpr known_header kKnownHeaders[] = {
  { "content-type", WSI_TOKEN_HTTP_CONTENT_TYPE },
  { "accept", WSI_TOKEN_HTTP_ACCEPT },
  { "accept-language", WSI_TOKEN_HTTP_ACCEPT_LANGUAGE },
  { "authorization", WSI_TOKEN_HTTP_AUTHORIZATION },
  { "cookie", WSI_TOKEN_HTTP_COOKIE },
  { "set-cookie", WSI_TOKEN_HTTP_SET_COOKIE },
  { "user-agent", WSI_TOKEN_HTTP_USER_AGENT },
  { "location", WSI_TOKEN_HTTP_LOCATION },
  { "cache-control", WSI_TOKEN_HTTP_CACHE_CONTROL },
  { "etag", WSI_TOKEN_HTTP_ETAG },
  { "if-match", WSI_TOKEN_HTTP_IF_MATCH },
  { "if-none-match", WSI_TOKEN_HTTP_IF_NONE_MATCH },
  { "last-modified", WSI_TOKEN_HTTP_LAST_MODIFIED },
  { "retry-after", WSI_TOKEN_HTTP_RETRY_AFTER },
  { "host", WSI_TOKEN_HOST },
  { "transfer-encoding", WSI_TOKEN_HTTP_TRANSFER_ENCODING },
};

/// Headers without a libwebsockets token, which it looks up with their colon.
constexpr std::string_view kCustomHeaders[] = {
  "x-request-id:", "x-execution:", "x-caller:",
  "x-timeout-ms:", "x-not-run:",   "x-version:",
  "x-upstream:",   "traceparent:", "tracestate:",
};

std::string
KnownValue(lws* aConnection, lws_token_indexes aToken)
{
  int length = lws_hdr_total_length(aConnection, aToken);
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  int copied = lws_hdr_copy(aConnection, value.data(), length + 1, aToken);
  value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
  return value;
}

} // namespace

http_headers
ReadHeaders(lws* aConnection)
{
  http_headers headers;
  for (const known_header& known : kKnownHeaders) {
    if (lws_hdr_total_length(aConnection, known.token) > 0) {
      headers.push_back(
        { std::string(known.name), KnownValue(aConnection, known.token) });
    }
  }
  for (std::string_view name : kCustomHeaders) {
    int nameLength = static_cast<int>(name.size());
    int length = lws_hdr_custom_length(aConnection, name.data(), nameLength);
    if (length <= 0) {
      continue;
    }
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    int copied = lws_hdr_custom_copy(
      aConnection, value.data(), length + 1, name.data(), nameLength);
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    headers.push_back(
      { std::string(name.substr(0, name.size() - 1)), std::move(value) });
  }
  return headers;
}

bool
IsSupportedHeader(std::string_view aName)
{
  auto isKnown = [aName](const known_header& aKnown) {
    return aKnown.name == aName;
  };
  auto isCustom = [aName](std::string_view aCustom) {
    return aCustom.substr(0, aCustom.size() - 1) == aName;
  };
  return std::any_of(
           std::begin(kKnownHeaders), std::end(kKnownHeaders), isKnown) ||
         std::any_of(
           std::begin(kCustomHeaders), std::end(kCustomHeaders), isCustom);
}

std::int64_t
ReadContentLength(lws* aConnection)
{
  if (lws_hdr_total_length(aConnection, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0) {
    return -1;
  }
  std::string text = KnownValue(aConnection, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  return std::max<std::int64_t>(ParseNumber<std::int64_t>(text).value_or(-1),
                                -1);
}

} // namespace eelgrasstrack::detail
