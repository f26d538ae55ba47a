#ifndef EELGRASSTRACK_CONFIG_DECLARATION_H_
#define EELGRASSTRACK_CONFIG_DECLARATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace eelgrasstrack {

/// A service, the version that its callers use, and the limits of its
/// upstreams.
struct service_declaration
{
  std::string name;
  std::string version;
  /// Requests that one upstream handles concurrently.
  std::uint32_t slots = 8;
  /// Maximum number of connections that one upstream accepts.
  std::uint32_t connections = 100;
  /// Maximum number of requests queued for a slot at the last hop.
  std::uint32_t queue = 32;
  /// Warm-up time in milliseconds, during which a new upstream receives a
  /// growing share of the calls.
  std::uint32_t warm_up_ms = 5000;
};

/// Maps the calls that match a host name, path prefix and method to a service.
struct route_declaration
{
  std::string name;
  /// Empty to match every host name.
  std::string host;
  std::string path_prefix;
  /// Empty to match every method.
  std::vector<std::string> methods;
  std::string service;
  std::uint32_t timeout_ms = 5000;
  /// Whether a call may be executed more than once, so that it can be retried.
  bool repeatable = false;
};

/// Recorded phase of a rollout. A rollout is open while running or paused.
enum class rollout_phase
{
  running,
  paused,
  done,
  /// Rolled back.
  taken_back,
};

/// Returns the name of a phase in rollout documents.
std::string_view
NameOf(rollout_phase aPhase);

/// Replacement of one version of a service by another.
struct rollout_declaration
{
  std::string id;
  std::string service;
  std::string from_version;
  std::string to_version;
  /// Names of the routes to roll out on; empty for every route of the service.
  std::vector<std::string> routes;
  std::int64_t start_unix_ms = 0;
  /// Time by which all callers must use the new version.
  std::int64_t deadline_unix_ms = 0;
  rollout_phase phase = rollout_phase::running;
  /// Reason for which the rollout was halted; empty if it was not.
  std::string reason;
  /// Zero while the rollout is open.
  std::int64_t ended_unix_ms = 0;
  /// Callers whose calls used the new version.
  std::uint64_t callers_exposed = 0;
  /// Callers with a call that used the new version and failed.
  std::uint64_t callers_hurt = 0;

  bool IsOpen() const
  {
    return phase == rollout_phase::running || phase == rollout_phase::paused;
  }
  /// Whether the rollout applies to a route.
  bool Covers(std::string_view aRoute) const;
};

/// A configuration document. The key is `service/NAME`, `routes/NAME` or
/// `rollout/ID`; the text is canonical JSON.
struct config_document
{
  std::string key;
  std::string text;

  bool operator==(const config_document&) const = default;
};

/// Parsed content of a document. Only the member for its kind is set.
struct parsed_document
{
  std::optional<service_declaration> service;
  std::vector<route_declaration> routes;
  std::optional<rollout_declaration> rollout;
};

/// Reads documents written by an operator: one JSON object or an array of
/// objects. Rollout documents are rejected, because only the rollout commands
/// may change them. Fails with `invalid_argument` and a message that names the
/// location in the input.
result<std::vector<config_document>>
ReadDeclarations(std::string_view aText);

/// Parses a document as the kind that its key names. Fails with
/// `invalid_argument`.
result<parsed_document>
ParseDocument(const config_document& aDocument);

/// Returns the document for a rollout.
config_document
DocumentOf(const rollout_declaration& aRollout);

/// Returns the document for a service.
config_document
DocumentOf(const service_declaration& aService);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CONFIG_DECLARATION_H_
