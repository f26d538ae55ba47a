#ifndef EELGRASSTRACK_CONFIG_SNAPSHOT_H_
#define EELGRASSTRACK_CONFIG_SNAPSHOT_H_

#include <map>
#include <memory>

#include "config/declaration.h"

namespace eelgrasstrack {

/// Texts of documents, as canonical JSON, by key.
using document_map = std::map<std::string, std::string>;

/// A complete, valid configuration. Immutable once built.
struct config_snapshot
{
  std::uint64_t version = 0;
  /// Hash of the keys and texts of all documents.
  std::uint64_t hash = 0;
  document_map documents;
  std::map<std::string, service_declaration> services;
  /// Sorted so that the first match is the route of a call: longest path prefix
  /// first, then routes with a host name, then routes with methods.
  std::vector<route_declaration> routes;
  std::map<std::string, rollout_declaration> rollouts;

  /// Returns null if the service is not declared.
  const service_declaration* FindService(const std::string& aName) const;
  /// Returns the open rollout of a service, or null.
  const rollout_declaration* FindOpenRollout(const std::string& aService) const;
};

using snapshot_ptr = std::shared_ptr<const config_snapshot>;

/// Difference between two versions of the configuration.
struct config_delta
{
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  /// Hash of the whole configuration at `to_version`.
  std::uint64_t to_hash = 0;
  std::vector<config_document> changed;
  std::vector<std::string> removed;
};

/// Hashes the keys and texts of all documents.
std::uint64_t
HashOf(const document_map& aDocuments);

/// Parses all documents and checks the references between them. Fails with
/// `invalid_argument` if any document or reference is invalid.
result<snapshot_ptr>
BuildSnapshot(std::uint64_t aVersion, document_map aDocuments);

/// Returns the changes that turn `aFrom` into `aTo`.
config_delta
DeltaBetween(const config_snapshot& aFrom, const config_snapshot& aTo);

/// Applies a delta. Fails with `conflict` if the delta starts at another
/// version or if the hash of the resulting documents is not `to_hash`.
result<snapshot_ptr>
ApplyDelta(const config_snapshot& aFrom, const config_delta& aDelta);

/// Returns the keys of documents that were added, removed or changed, sorted.
std::vector<std::string>
DifferingKeys(const document_map& aLeft, const document_map& aRight);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CONFIG_SNAPSHOT_H_
