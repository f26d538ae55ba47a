#ifndef EELGRASSTRACK_PROXY_INSTANCE_NOTICES_H_
#define EELGRASSTRACK_PROXY_INSTANCE_NOTICES_H_

#include <optional>

#include "proxy/forwarded-request.h"

namespace eelgrasstrack {

/// Whether an instance says in its answer that it is about to exit.
bool
AnnouncesLeaving(const header_fields& aFields, const header_names& aNames);

/// The number of requests per second that an instance names in its answer as
/// the most that it takes from all hosts together; nothing if it names none.
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
