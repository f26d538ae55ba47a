#ifndef EELGRASSTRACK_CONFIG_DECLARATION_H_
#define EELGRASSTRACK_CONFIG_DECLARATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace eelgrasstrack {

/// A service and the version that its callers get.
struct service_declaration
{
  std::string name;
  std::string version;
  /// Requests that one upstream works on at a time.
  std::uint32_t slots = 8;
  /// Connections that one upstream accepts.
  std::uint32_t connections = 100;
  /// Requests that wait at the last hop for a slot.
  std::uint32_t queue = 32;
  /// Time during which a new upstream gets a growing share of the work.
  std::uint32_t warm_up_ms = 5000;
};

/// How calls find a service.
struct route_declaration
{
  std::string name;
  /// Empty for every host name.
  std::string host;
  std::string path_prefix;
  /// Empty for every method.
  std::vector<std::string> methods;
  std::string service;
  std::uint32_t timeout_ms = 5000;
  /// Whether a call may run more than once.
  bool repeatable = false;
};

enum class rollout_phase
{
  running,
  paused,
  done,
  taken_back,
};

std::string_view
NameOf(rollout_phase aPhase);

/// The move of a service from one version to another.
struct rollout_declaration
{
  std::string id;
  std::string service;
  std::string from_version;
  std::string to_version;
  /// Empty for every route of the service.
  std::vector<std::string> routes;
  std::int64_t start_unix_ms = 0;
  std::int64_t deadline_unix_ms = 0;
  rollout_phase phase = rollout_phase::running;
  /// Why the rollout ended.
  std::string reason;
  std::int64_t ended_unix_ms = 0;
  std::uint64_t callers_exposed = 0;
  std::uint64_t callers_hurt = 0;

  bool IsOpen() const
  {
    return phase == rollout_phase::running || phase == rollout_phase::paused;
  }
  bool Covers(std::string_view aRoute) const;
};

/// One document under its key: `service/NAME`, `routes/NAME` or
/// `rollout/ID`. `text` is its canonical JSON.
struct config_document
{
  std::string key;
  std::string text;

  bool operator==(const config_document&) const = default;
};

/// The parsed content of one document; exactly one kind is filled in.
struct parsed_document
{
  std::optional<service_declaration> service;
  std::vector<route_declaration> routes;
  std::optional<rollout_declaration> rollout;
};

/// Reads what an operator wrote: one document or a list of them, as JSON.
/// Rollout documents are refused here, they belong to the rollout commands.
/// Fails with `invalid_argument`, naming the place in the document.
result<std::vector<config_document>>
ReadDeclarations(std::string_view aText);

/// Parses one document by its key.
result<parsed_document>
ParseDocument(const config_document& aDocument);

/// The document that holds a rollout.
config_document
DocumentOf(const rollout_declaration& aRollout);

/// The document that holds a service.
config_document
DocumentOf(const service_declaration& aService);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CONFIG_DECLARATION_H_
