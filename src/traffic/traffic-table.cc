#include "traffic/traffic-table.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Returns the host name without its port, in lower case.
std::string
HostKey(std::string_view aHost)
{
  std::string key(aHost.substr(0, aHost.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return key;
}

result<void>
CheckRoute(const traffic_route& aRoute,
           const std::map<std::string, traffic_service>& aServices)
{
  auto refuse = [&aRoute](const char* aReason) {
    return Fail(error_kind::invalid_argument,
                "route " + aRoute.name + ": " + aReason);
  };
  if (aRoute.prefix.empty() || aRoute.prefix.front() != '/' ||
      aRoute.prefix.back() != '/') {
    return refuse("path prefix must begin and end with '/'");
  }
  if (aRoute.targets.empty()) {
    return refuse("no target service");
  }
  if (aRoute.timeout <= duration(0) || aRoute.latency_target <= duration(0)) {
    return refuse("timeout and latency target must be above 0");
  }
  for (const weighted_service& target : aRoute.targets) {
    if (aServices.count(target.service) == 0) {
      return refuse("target service is not declared");
    }
    if (target.weight < 0) {
      return refuse("target weight must not be below 0");
    }
  }
  return {};
}

} // namespace

result<std::shared_ptr<const traffic_table>>
traffic_table::Build(traffic_configuration aConfiguration)
{
  for (const traffic_route& route : aConfiguration.routes) {
    result<void> checked = CheckRoute(route, aConfiguration.services);
    if (!checked) {
      return tl::unexpected<error>(checked.error());
    }
  }
  for (const auto& [name, service] : aConfiguration.services) {
    if (service.cold_requests_per_second.value_or(0) < 0) {
      return Fail(error_kind::invalid_argument,
                  "service " + name +
                    ": rate of a cold instance must not be below 0");
    }
  }
  auto table = std::make_shared<traffic_table>();
  table->mVersion = aConfiguration.version;
  table->mLimits = aConfiguration.limits;
  table->mRoutes = std::move(aConfiguration.routes);
  table->mServices = std::move(aConfiguration.services);
  if (aConfiguration.organisations) {
    result<organisation_table> organisations =
      organisation_table::Build(std::move(*aConfiguration.organisations));
    if (!organisations) {
      return tl::unexpected<error>(organisations.error());
    }
    table->mOrganisations = std::move(*organisations);
  }
  for (const traffic_route& route : table->mRoutes) {
    table->mByHost[HostKey(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : table->mByHost) {
    std::stable_sort(
      routes.begin(), routes.end(), [](auto* aLeft, auto* aRight) {
        return aLeft->prefix.size() > aRight->prefix.size();
      });
  }
  return std::shared_ptr<const traffic_table>(table);
}

const traffic_service&
traffic_table::Service(const std::string& aName) const
{
  static const traffic_service kUndeclared;
  auto found = mServices.find(aName);
  return found == mServices.end() ? kUndeclared : found->second;
}

const traffic_route*
traffic_table::Match(std::string_view aHost, std::string_view aTarget) const
{
  auto found = mByHost.find(HostKey(aHost));
  if (found == mByHost.end()) {
    return nullptr;
  }
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const traffic_route* route : found->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix) {
      return route;
    }
  }
  return nullptr;
}

} // namespace eelgrasstrack
