#ifndef EELGRASSTRACK_ROUTING_ROUTE_TABLE_H_
#define EELGRASSTRACK_ROUTING_ROUTE_TABLE_H_

#include "config/snapshot.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

/// Returns the route of a request, or null. The path must equal the prefix,
/// or continue it after a `/`.
const route_declaration*
MatchRoute(const config_snapshot& aSnapshot,
           std::string_view aMethod,
           std::string_view aHost,
           std::string_view aPath);

/// The version that a caller gets on a route.
struct version_choice
{
  std::string version;
  /// The open rollout that covers the route, or null.
  const rollout_declaration* rollout = nullptr;
  /// The caller gets the rollout's new version.
  bool exposed = false;
  /// Upstreams of the new version that get no work.
  const rollout_state* state = nullptr;
};

version_choice
ChooseVersion(const config_snapshot& aSnapshot,
              const rollout_state_table& aBoard,
              const route_declaration& aRoute,
              const std::string& aCaller);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_ROUTE_TABLE_H_
