#ifndef EELGRASSTRACK_HTTP_HEADER_READER_H_
#define EELGRASSTRACK_HTTP_HEADER_READER_H_

#include "http/message.h"

struct lws;

namespace eelgrasstrack::detail {

/// Copies the header fields that eelgrasstrack knows from a parsed message.
http_headers
ReadHeaders(lws* aConnection);

/// Reads `content-length`; -1 if there is none or it is not a number.
std::int64_t
ReadContentLength(lws* aConnection);

} // namespace eelgrasstrack::detail

#endif // EELGRASSTRACK_HTTP_HEADER_READER_H_
