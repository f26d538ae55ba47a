#ifndef EELGRASSTRACK_MESH_EVACUATION_TABLE_H_
#define EELGRASSTRACK_MESH_EVACUATION_TABLE_H_

#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

#include "base/error.h"
#include "base/store-revision.h"

namespace eelgrasstrack {

/// The failure domains whose instances get no requests, as of a revision of the
/// store.
struct evacuation_snapshot
{
  store_revision revision;
  std::set<std::string> domains;
};

/// The latest known snapshot. A snapshot is complete, so the one with the
/// greater revision replaces the other, whichever node has read it.
class evacuation_table
{
public:
  /// While disabled, which is the default, no snapshot is taken over or kept.
  void SetEnabled(bool aEnabled);

  /// Takes over a later snapshot. Returns whether the set of failure domains
  /// changed.
  bool Merge(const evacuation_snapshot& aSnapshot);

  /// Whether any snapshot is known.
  bool IsKnown() const { return mSnapshot.revision.number > 0; }
  bool Contains(const std::string& aDomain) const
  {
    return mSnapshot.domains.count(aDomain) > 0;
  }
  const evacuation_snapshot& Snapshot() const { return mSnapshot; }

private:
  bool mEnabled = false;
  evacuation_snapshot mSnapshot;
};

/// Encodes a snapshot for a message between nodes.
nlohmann::json
EncodeEvacuations(const evacuation_snapshot& aSnapshot);

/// Fails with `invalid_argument`.
result<evacuation_snapshot>
DecodeEvacuations(const nlohmann::json& aJson);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_EVACUATION_TABLE_H_
