#ifndef EELGRASSTRACK_PROXY_HOP_FIELDS_H_
#define EELGRASSTRACK_PROXY_HOP_FIELDS_H_

#include "proxy/forwarded-request.h"

namespace eelgrasstrack {

/// Fields that nodes add to the messages between them. Values are words
/// separated by spaces; times are in milliseconds and relative, since clocks
/// differ.
constexpr std::string_view kCallField = "Mesh-Call";
constexpr std::string_view kLoadField = "Mesh-Load";
constexpr std::string_view kFailedField = "Mesh-Failed";

/// `INSTANCE ROUTE RANK idempotent|once GOAL DEADLINE CALLER-SERVICE`.
std::string
EncodeCall(const forwarded_request& aRequest, time_point aNow);

/// Fills the parts of a request that the call field holds. Fails with
/// `invalid_argument`.
result<void>
DecodeCall(std::string_view aText,
           time_point aNow,
           forwarded_request& aRequest);

/// `BUSY WAITING SLOTS TYPICAL`.
std::string
EncodeLoad(const run_load& aLoad);

std::optional<run_load>
DecodeLoad(std::string_view aText);

/// `REASON not_run|unknown reached|unreached ROOM-IN`.
std::string
EncodeFailure(const run_failure& aFailure);

std::optional<run_failure>
DecodeFailure(std::string_view aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_HOP_FIELDS_H_
