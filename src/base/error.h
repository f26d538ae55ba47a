#ifndef EELGRASSTRACK_BASE_ERROR_H_
#define EELGRASSTRACK_BASE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrasstrack {

/// All kinds of errors. Every failure that is reported to a caller, an operator
/// or a peer has one of these kinds.
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

/// Whether the upstream may have executed the request. `not_run` is reported
/// only if no byte of the request reached the upstream, or if the upstream
/// itself proved that it did not execute the request.
enum class execution
{
  not_run,
  unknown,
};

/// A failure: its kind, a message for people, and whether the request may have
/// been executed.
struct error
{
  error_kind kind = error_kind::internal;
  std::string message;
  execution execution_status = execution::unknown;
};

/// A value or an error.
template<typename T>
using result = tl::expected<T, error>;

/// How an error kind is reported outside the process.
struct error_mapping
{
  error_kind kind;
  std::string_view name;
  /// HTTP status (RFC 9110).
  int http_status;
  /// Exit status of the command line tool.
  int exit_code;
  /// Applies unless the code that reports the error has more information.
  execution default_execution;
};

/// Returns the mapping of `aKind`.
const error_mapping&
MappingOf(error_kind aKind);

/// Returns the kind with the given name, if there is one.
std::optional<error_kind>
ErrorKindFromName(std::string_view aName);

std::string_view
NameOf(error_kind aKind);

std::string_view
NameOf(execution aExecution);

/// Builds an error with the default execution status of its kind.
error
MakeError(error_kind aKind, std::string aMessage);

/// Builds the same error as an unexpected value, for functions that return
/// `result<T>`.
tl::unexpected<error>
Fail(error_kind aKind, std::string aMessage);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_ERROR_H_
