#include "base/error.h"

#include <array>

namespace eelgrasstrack {

namespace {

constexpr execution kNotRun = execution::not_run;
constexpr execution kUnknown = execution::unknown;

// Indexed by `error_kind`, so the rows are in the order of its values.
constexpr std::array<error_mapping, 16> kErrorMappings{ {
  { error_kind::invalid_argument, "invalid_argument", 400, 2, kNotRun },
  { error_kind::unauthorized, "unauthorized", 401, 3, kNotRun },
  { error_kind::not_found, "not_found", 404, 4, kNotRun },
  { error_kind::conflict, "conflict", 409, 5, kNotRun },
  { error_kind::too_large, "too_large", 413, 6, kNotRun },
  { error_kind::not_ready, "not_ready", 503, 7, kNotRun },
  { error_kind::overloaded, "overloaded", 503, 8, kNotRun },
  { error_kind::no_upstream, "no_upstream", 503, 9, kNotRun },
  { error_kind::duplicate_request, "duplicate_request", 409, 10, kUnknown },
  { error_kind::deadline_exceeded, "deadline_exceeded", 504, 11, kUnknown },
  { error_kind::cancelled, "cancelled", 499, 12, kUnknown },
  { error_kind::upstream_unreachable,
    "upstream_unreachable",
    502,
    13,
    kNotRun },
  { error_kind::upstream_broken, "upstream_broken", 502, 14, kUnknown },
  { error_kind::peer_lost, "peer_lost", 502, 15, kUnknown },
  { error_kind::store_unavailable, "store_unavailable", 503, 16, kUnknown },
  { error_kind::internal, "internal", 500, 17, kUnknown },
} };

} // namespace

const error_mapping&
MappingOf(error_kind aKind)
{
  return kErrorMappings[static_cast<std::size_t>(aKind)];
}

std::optional<error_kind>
ErrorKindFromName(std::string_view aName)
{
  for (const error_mapping& mapping : kErrorMappings) {
    if (mapping.name == aName) {
      return mapping.kind;
    }
  }
  return std::nullopt;
}

std::string_view
NameOf(error_kind aKind)
{
  return MappingOf(aKind).name;
}

std::string_view
NameOf(execution aExecution)
{
  return aExecution == execution::not_run ? "not_run" : "unknown";
}

error
MakeError(error_kind aKind, std::string aMessage)
{
  return error{ aKind,
                std::move(aMessage),
                MappingOf(aKind).default_execution };
}

tl::unexpected<error>
Fail(error_kind aKind, std::string aMessage)
{
  return tl::unexpected<error>(MakeError(aKind, std::move(aMessage)));
}

} // namespace eelgrasstrack
