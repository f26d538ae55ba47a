#ifndef EELGRASSTRACK_PROXY_REQUEST_FINGERPRINT_H_
#define EELGRASSTRACK_PROXY_REQUEST_FINGERPRINT_H_

#include <cstdint>

#include "proxy/forwarded-request.h"

namespace eelgrasstrack {

/// Identifies a request that a caller repeats with new request ids.
using request_fingerprint = std::uint64_t;

/// Returns the same value on all nodes for requests that are alike in method,
/// host, path and query, caller service and body. Of a body, only the first
/// 256 KiB count, since nodes do not hold more of it.
request_fingerprint
FingerprintOf(const message_head& aHead,
              std::string_view aCallerService,
              std::string_view aBody);

request_fingerprint
FingerprintOf(const forwarded_request& aRequest);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_REQUEST_FINGERPRINT_H_
