#ifndef EELGRASSTRACK_PROXY_HOP_FIELDS_H_
#define EELGRASSTRACK_PROXY_HOP_FIELDS_H_

#include "proxy/forwarded-request.h"

namespace eelgrasstrack {

/// Header fields of the messages between nodes. A value is a list of words
/// separated by spaces. Times are in milliseconds and relative to the moment of
/// sending, since the clocks of nodes differ.
constexpr std::string_view kCallField = "Mesh-Call";
constexpr std::string_view kLoadField = "Mesh-Load";
constexpr std::string_view kFailedField = "Mesh-Failed";

/// Encodes a request as
/// `INSTANCE ROUTE PRIORITY idempotent|once SOFT-DEADLINE DEADLINE
/// CALLER-SERVICE REQUEST-LIMIT|none`.
std::string
EncodeCall(const forwarded_request& aRequest, time_point aNow);

/// Sets the members of a request that `EncodeCall` encodes. Fails with
/// `invalid_argument`.
result<void>
DecodeCall(std::string_view aText,
           time_point aNow,
           forwarded_request& aRequest);

/// Encodes a load as
/// `BUSY WAITING SLOTS AVERAGE-DURATION LINK-WAIT LIMIT-WAIT`.
std::string
EncodeLoad(const run_load& aLoad);

/// Returns nothing for a malformed text.
std::optional<run_load>
DecodeLoad(std::string_view aText);

/// Encodes a failure as `REASON not_run|unknown reached|unreached RETRY-AFTER`.
std::string
EncodeFailure(const run_failure& aFailure);

/// Returns nothing for a malformed text.
std::optional<run_failure>
DecodeFailure(std::string_view aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_HOP_FIELDS_H_
