#ifndef EELGRASSTRACK_BASE_ERROR_H_
#define EELGRASSTRACK_BASE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrasstrack {

/// The closed list of error kinds. Every failure that leaves the process,
/// towards a caller, an operator or a peer, is one of these.
enum class error_kind
{
  invalid_argument,
  unauthorized,
  not_found,
  conflict,
  too_large,
  not_ready,
  overloaded,
  no_upstream,
  duplicate_request,
  deadline_exceeded,
  cancelled,
  upstream_unreachable,
  upstream_broken,
  peer_lost,
  store_unavailable,
  internal,
};

/// Whether the upstream may have executed the request.
/// `not_run` is only said when no byte of the request reached the upstream
/// or when the upstream itself proved that it did not execute it.
enum class execution
{
  not_run,
  unknown,
};

/// A failure with its kind, a message for people, and what is known about
/// the execution of the request.
struct error
{
  error_kind kind = error_kind::internal;
  std::string message;
  execution execution_status = execution::unknown;
};

template<typename T>
using result = tl::expected<T, error>;

/// One row of the table from error kind to answer.
struct error_mapping
{
  error_kind kind;
  std::string_view name;
  /// HTTP status (RFC 9110).
  int http_status;
  /// Exit status of the command line tool.
  int exit_code;
  /// What is known of the execution unless the place of failure knows better.
  execution default_execution;
};

/// Returns the row of `aKind`.
const error_mapping&
MappingOf(error_kind aKind);

/// Looks up a kind by its name.
std::optional<error_kind>
ErrorKindFromName(std::string_view aName);

std::string_view
NameOf(error_kind aKind);

std::string_view
NameOf(execution aExecution);

/// Builds an error whose execution is the default of its kind.
error
MakeError(error_kind aKind, std::string aMessage);

/// Builds an unexpected value, for functions that return `result<T>`.
tl::unexpected<error>
Fail(error_kind aKind, std::string aMessage);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_ERROR_H_
