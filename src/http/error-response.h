#ifndef EELGRASSTRACK_HTTP_ERROR_RESPONSE_H_
#define EELGRASSTRACK_HTTP_ERROR_RESPONSE_H_

#include "base/error.h"
#include "http/message.h"

namespace eelgrasstrack {

/// Returns the response that reports a failure to a caller or an operator: JSON
/// with the error kind, the message and whether the request may have run.
http_response
ErrorResponse(const error& aFailure);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_ERROR_RESPONSE_H_
