#ifndef EELGRASSTRACK_TRAFFIC_ORGANISATION_TABLE_H_
#define EELGRASSTRACK_TRAFFIC_ORGANISATION_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace eelgrasstrack {

/// A caller's organisation, with the keys that its callers present.
struct organisation
{
  std::string name;
  std::vector<std::string> keys;
  /// Goes before the priority of a route, which decides between requests of
  /// equal organisations; 0 is the highest.
  std::optional<unsigned> priority;
  /// Requests per second that all nodes together admit; 0: no limit.
  double requests_per_second = 0;
  /// Requests that may come at once beyond that rate.
  double burst = 0;

  bool HasLimit() const { return requests_per_second > 0; }
};

/// The organisations of one configuration, found by key or by name. Keys are
/// kept as keyed hashes only, so that neither a comparison nor a dump of the
/// table reveals one.
class organisation_table
{
public:
  /// Fails with `invalid_argument` for an organisation whose name is not
  /// printable, for an empty key, for a key of two organisations, and for a
  /// negative or not finite limit.
  static result<organisation_table> Build(
    std::vector<organisation> aOrganisations);

  /// Returns the organisation that holds a key, or null.
  const organisation* FindByKey(std::string_view aKey) const;
  /// Returns null if there is none of this name.
  const organisation* FindByName(const std::string& aName) const;
  /// All organisations, without their keys.
  const std::vector<organisation>& All() const { return mOrganisations; }

private:
  /// Two independent 64-bit hashes of a key.
  using key_hash = std::pair<std::uint64_t, std::uint64_t>;
  key_hash HashOfKey(std::string_view aKey) const;

  /// Without `keys`.
  std::vector<organisation> mOrganisations;
  std::map<key_hash, std::size_t> mByKey;
  std::map<std::string, std::size_t> mByName;
  key_hash mSeeds;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_TRAFFIC_ORGANISATION_TABLE_H_
