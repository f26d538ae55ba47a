#include "routing/route-table.h"

#include <algorithm>

#include "base/invariant.h"

namespace eelgrasstrack {

namespace {

bool
PathMatches(std::string_view aPrefix, std::string_view aPath)
{
  if (aPath.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  return aPrefix.back() == '/' || aPath.size() == aPrefix.size() ||
         aPath[aPrefix.size()] == '/';
}

bool
HostMatches(const std::string& aDeclared, std::string_view aHost)
{
  return aDeclared.empty() || aHost.substr(0, aHost.rfind(':')) == aDeclared;
}

bool
MethodMatches(const std::vector<std::string>& aDeclared,
              std::string_view aMethod)
{
  return aDeclared.empty() ||
         std::find(aDeclared.begin(), aDeclared.end(), aMethod) !=
           aDeclared.end();
}

} // namespace

const route_declaration*
MatchRoute(const config_snapshot& aSnapshot,
           std::string_view aMethod,
           std::string_view aHost,
           std::string_view aPath)
{
  for (const route_declaration& route : aSnapshot.routes) {
    if (PathMatches(route.path_prefix, aPath) &&
        HostMatches(route.host, aHost) &&
        MethodMatches(route.methods, aMethod)) {
      return &route;
    }
  }
  return nullptr;
}

version_choice
ChooseVersion(const config_snapshot& aSnapshot,
              const rollout_state_table& aRollouts,
              const route_declaration& aRoute,
              const std::string& aCaller)
{
  version_choice choice;
  const service_declaration* service = aSnapshot.FindService(aRoute.service);
  choice.version = service->version;
  const rollout_declaration* rollout =
    aSnapshot.FindOpenRollout(aRoute.service);
  if (rollout == nullptr || !rollout->Covers(aRoute.name)) {
    return choice;
  }
  choice.rollout = rollout;
  choice.version = rollout->from_version;
  choice.state = aRollouts.Find(rollout->id);
  if (choice.state != nullptr && IsExposed(*choice.state, aCaller)) {
    choice.exposed = true;
    choice.version = rollout->to_version;
  }
  CheckInvariant(invariant::no_call_after_halt,
                 !choice.exposed || !choice.state->halted);
  return choice;
}

} // namespace eelgrasstrack
