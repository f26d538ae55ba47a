#ifndef EELGRASSTRACK_HTTP_HEADER_READER_H_
#define EELGRASSTRACK_HTTP_HEADER_READER_H_

#include "http/message.h"

struct lws;

namespace eelgrasstrack::detail {

/// Copies the supported header fields of a parsed message; others are ignored.
http_headers
ReadHeaders(lws* aConnection);

/// Returns the status of a response, or 0 if it is not a number of three
/// digits.
int
ReadStatus(lws* aConnection);

/// Returns `content-length`, or -1 if it is absent or not a valid length.
std::int64_t
ReadContentLength(lws* aConnection);

} // namespace eelgrasstrack::detail

#endif // EELGRASSTRACK_HTTP_HEADER_READER_H_
