#ifndef EELGRASSTRACK_ROUTING_ROUTE_TABLE_H_
#define EELGRASSTRACK_ROUTING_ROUTE_TABLE_H_

#include "config/snapshot.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

/// Returns the first route in the snapshot's order that matches the request, or
/// null. The path must equal the route's prefix or continue it after a `/`.
const route_declaration*
MatchRoute(const config_snapshot& aSnapshot,
           std::string_view aMethod,
           std::string_view aHost,
           std::string_view aPath);

/// The service version that handles a caller's requests on a route.
struct version_choice
{
  std::string version;
  /// The open rollout that covers the route, or null.
  const rollout_declaration* rollout = nullptr;
  /// Whether the caller gets the new version of the rollout.
  bool exposed = false;
  /// Shared state of `rollout`, or null if it is unknown to this node.
  const rollout_state* state = nullptr;
};

/// Chooses the new version if an open rollout covers the route and exposes the
/// caller to it. Otherwise chooses the old version of that rollout or, without
/// one, the version of the service.
version_choice
ChooseVersion(const config_snapshot& aSnapshot,
              const rollout_state_table& aRollouts,
              const route_declaration& aRoute,
              const std::string& aCaller);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_ROUTE_TABLE_H_
