#ifndef EELGRASSTRACK_CONFIG_SNAPSHOT_H_
#define EELGRASSTRACK_CONFIG_SNAPSHOT_H_

#include <map>
#include <memory>

#include "config/declaration.h"

namespace eelgrasstrack {

/// Documents by key; the value is canonical JSON.
using document_map = std::map<std::string, std::string>;

/// One accepted configuration, whole and never changed once built.
struct config_snapshot
{
  std::uint64_t version = 0;
  /// Hash over keys and texts of all documents.
  std::uint64_t hash = 0;
  document_map documents;
  std::map<std::string, service_declaration> services;
  /// Ordered so that the first match is the route of a call: longest path
  /// prefix first, then those with a host name.
  std::vector<route_declaration> routes;
  std::map<std::string, rollout_declaration> rollouts;

  const service_declaration* FindService(const std::string& aName) const;
  /// The open rollout of a service, or null.
  const rollout_declaration* FindOpenRollout(const std::string& aService) const;
};

using snapshot_ptr = std::shared_ptr<const config_snapshot>;

/// The difference between two versions.
struct config_delta
{
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  /// Hash of the whole configuration at `to_version`.
  std::uint64_t to_hash = 0;
  std::vector<config_document> changed;
  std::vector<std::string> removed;
};

std::uint64_t
HashOf(const document_map& aDocuments);

/// Parses every document and checks every reference between them.
/// Fails with `invalid_argument`; nothing is built in part.
result<snapshot_ptr>
BuildSnapshot(std::uint64_t aVersion, document_map aDocuments);

config_delta
DeltaBetween(const config_snapshot& aFrom, const config_snapshot& aTo);

/// Fails with `conflict` if the delta starts elsewhere or the content hash of
/// the outcome differs from the delta's.
result<snapshot_ptr>
ApplyDelta(const config_snapshot& aFrom, const config_delta& aDelta);

/// Names of the documents that differ, for people.
std::vector<std::string>
DifferingKeys(const document_map& aLeft, const document_map& aRight);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CONFIG_SNAPSHOT_H_
