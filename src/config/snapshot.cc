#include "config/snapshot.h"

#include <algorithm>
#include <set>

#include "base/hash.h"
#include "base/invariant.h"

namespace eelgrasstrack {

namespace {

result<void>
AddDocument(config_snapshot& aSnapshot, const config_document& aDocument)
{
  result<parsed_document> parsed = ParseDocument(aDocument);
  if (!parsed) {
    return tl::unexpected<error>(parsed.error());
  }
  if (parsed->service) {
    aSnapshot.services[parsed->service->name] = *parsed->service;
  }
  if (parsed->rollout) {
    aSnapshot.rollouts[parsed->rollout->id] = *parsed->rollout;
  }
  for (route_declaration& route : parsed->routes) {
    aSnapshot.routes.push_back(std::move(route));
  }
  return {};
}

result<void>
CheckRoutes(const config_snapshot& aSnapshot)
{
  std::set<std::string> names;
  for (const route_declaration& route : aSnapshot.routes) {
    if (!names.insert(route.name).second) {
      return Fail(error_kind::invalid_argument,
                  "route '" + route.name + "' is declared twice");
    }
    if (aSnapshot.FindService(route.service) == nullptr) {
      return Fail(error_kind::invalid_argument,
                  "route '" + route.name + "' refers to service '" +
                    route.service + "', which is not declared");
    }
  }
  return {};
}

result<void>
CheckRollouts(const config_snapshot& aSnapshot)
{
  std::set<std::string> services;
  for (const auto& entry : aSnapshot.rollouts) {
    const std::string& id = entry.first;
    const rollout_declaration& rollout = entry.second;
    if (!rollout.IsOpen()) {
      continue;
    }
    if (aSnapshot.FindService(rollout.service) == nullptr) {
      return Fail(error_kind::invalid_argument,
                  "rollout '" + id + "' is open for service '" +
                    rollout.service + "', which is not declared");
    }
    if (!services.insert(rollout.service).second) {
      return Fail(error_kind::invalid_argument,
                  "service '" + rollout.service +
                    "' has more than one open rollout");
    }
    for (const std::string& name : rollout.routes) {
      bool exists = std::any_of(aSnapshot.routes.begin(),
                                aSnapshot.routes.end(),
                                [&](const route_declaration& aRoute) {
                                  return aRoute.name == name &&
                                         aRoute.service == rollout.service;
                                });
      if (!exists) {
        return Fail(error_kind::invalid_argument,
                    "rollout '" + id + "' names route '" + name +
                      "', which service '" + rollout.service +
                      "' does not have");
      }
    }
  }
  return {};
}

/// Whether a route is matched before another one: the longer path prefix first,
/// then routes with a host name, then routes with methods, then by name.
bool
HasPrecedence(const route_declaration& aLeft, const route_declaration& aRight)
{
  if (aLeft.path_prefix.size() != aRight.path_prefix.size()) {
    return aLeft.path_prefix.size() > aRight.path_prefix.size();
  }
  if (aLeft.host.empty() != aRight.host.empty()) {
    return aRight.host.empty();
  }
  if (aLeft.methods.empty() != aRight.methods.empty()) {
    return aRight.methods.empty();
  }
  return aLeft.name < aRight.name;
}

} // namespace

const service_declaration*
config_snapshot::FindService(const std::string& aName) const
{
  auto found = services.find(aName);
  return found == services.end() ? nullptr : &found->second;
}

const rollout_declaration*
config_snapshot::FindOpenRollout(const std::string& aService) const
{
  for (const auto& [id, rollout] : rollouts) {
    if (rollout.service == aService && rollout.IsOpen()) {
      return &rollout;
    }
  }
  return nullptr;
}

std::uint64_t
HashOf(const document_map& aDocuments)
{
  std::uint64_t hash = 0;
  for (const auto& [key, text] : aDocuments) {
    hash = HashOf(text, HashOf(key, hash));
  }
  return hash;
}

result<snapshot_ptr>
BuildSnapshot(std::uint64_t aVersion, document_map aDocuments)
{
  auto snapshot = std::make_shared<config_snapshot>();
  snapshot->version = aVersion;
  snapshot->hash = HashOf(aDocuments);
  for (const auto& [key, text] : aDocuments) {
    result<void> added = AddDocument(*snapshot, { key, text });
    if (!added) {
      return tl::unexpected<error>(added.error());
    }
  }
  result<void> checked = CheckRoutes(*snapshot);
  if (checked) {
    checked = CheckRollouts(*snapshot);
  }
  if (!checked) {
    return tl::unexpected<error>(checked.error());
  }
  std::sort(snapshot->routes.begin(), snapshot->routes.end(), HasPrecedence);
  snapshot->documents = std::move(aDocuments);
  return snapshot_ptr(std::move(snapshot));
}

config_delta
DeltaBetween(const config_snapshot& aFrom, const config_snapshot& aTo)
{
  config_delta delta;
  delta.from_version = aFrom.version;
  delta.to_version = aTo.version;
  delta.to_hash = aTo.hash;
  for (const auto& [key, text] : aTo.documents) {
    auto old = aFrom.documents.find(key);
    if (old == aFrom.documents.end() || old->second != text) {
      delta.changed.push_back({ key, text });
    }
  }
  for (const auto& [key, text] : aFrom.documents) {
    if (aTo.documents.count(key) == 0) {
      delta.removed.push_back(key);
    }
  }
  return delta;
}

result<snapshot_ptr>
ApplyDelta(const config_snapshot& aFrom, const config_delta& aDelta)
{
  if (aFrom.version != aDelta.from_version) {
    return Fail(
      error_kind::conflict,
      "the delta starts at version " + std::to_string(aDelta.from_version) +
        ", but the current version is " + std::to_string(aFrom.version));
  }
  document_map documents = aFrom.documents;
  for (const config_document& document : aDelta.changed) {
    documents[document.key] = document.text;
  }
  for (const std::string& key : aDelta.removed) {
    documents.erase(key);
  }
  if (HashOf(documents) != aDelta.to_hash) {
    return Fail(error_kind::conflict,
                "the result of the delta to version " +
                  std::to_string(aDelta.to_version) + " has a different hash");
  }
  return BuildSnapshot(aDelta.to_version, std::move(documents));
}

std::vector<std::string>
DifferingKeys(const document_map& aLeft, const document_map& aRight)
{
  std::set<std::string> keys;
  for (const auto& [key, text] : aLeft) {
    auto other = aRight.find(key);
    if (other == aRight.end() || other->second != text) {
      keys.insert(key);
    }
  }
  for (const auto& [key, text] : aRight) {
    if (aLeft.count(key) == 0) {
      keys.insert(key);
    }
  }
  return { keys.begin(), keys.end() };
}

} // namespace eelgrasstrack
