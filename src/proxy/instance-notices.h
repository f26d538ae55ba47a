#ifndef EELGRASSTRACK_PROXY_INSTANCE_NOTICES_H_
#define EELGRASSTRACK_PROXY_INSTANCE_NOTICES_H_

#include <optional>

#include "proxy/forwarded-request.h"

namespace eelgrasstrack {

/// Whether an instance announces in its answer that it is about to exit.
bool
AnnouncesLeaving(const header_fields& aFields, const header_names& aNames);

/// The greatest number of requests per second that an instance announces in its
/// answer to accept from all hosts together; nothing if it announces none.
/// Fails with `invalid_argument` if the field is not a number of 0 or more.
result<std::optional<double>>
RequestLimitOf(const header_fields& aFields, const header_names& aNames);

/// Text of a limit for messages between nodes and log lines; "none" if there is
/// none.
std::string
RequestLimitText(const std::optional<double>& aLimit);

/// Reverses `RequestLimitText`. Fails with `invalid_argument`.
result<std::optional<double>>
ParseRequestLimit(std::string_view aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INSTANCE_NOTICES_H_
