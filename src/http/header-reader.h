#ifndef EELGRASSTRACK_HTTP_HEADER_READER_H_
#define EELGRASSTRACK_HTTP_HEADER_READER_H_

#include "http/message.h"

struct lws;

namespace eelgrasstrack::detail {

/// Copies the supported header fields of a parsed message; others are ignored.
http_headers
ReadHeaders(lws* aConnection);

/// Whether a header field is supported. `aName` is in lower case.
bool
IsSupportedHeader(std::string_view aName);

/// Returns `content-length`, or -1 if it is absent or not a valid length.
std::int64_t
ReadContentLength(lws* aConnection);

} // namespace eelgrasstrack::detail

#endif // EELGRASSTRACK_HTTP_HEADER_READER_H_
