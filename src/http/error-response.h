#ifndef EELGRASSTRACK_HTTP_ERROR_RESPONSE_H_
#define EELGRASSTRACK_HTTP_ERROR_RESPONSE_H_

#include "base/error.h"
#include "http/message.h"

namespace eelgrasstrack {

/// The answer to a caller or an operator for a failure: JSON with the kind, the
/// message and what is known about the execution.
http_response
ErrorResponse(const error& aFailure);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_ERROR_RESPONSE_H_
