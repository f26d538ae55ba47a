#ifndef EELGRASSTRACK_TRAFFIC_TRAFFIC_TABLE_H_
#define EELGRASSTRACK_TRAFFIC_TRAFFIC_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "traffic/organisation-table.h"

namespace eelgrasstrack {

/// Limits on the size and the timing of what a caller sends.
struct traffic_limits
{
  /// Maximum size of a request's head.
  std::uint32_t head_bytes = 16384;
  /// Maximum size of a request's body.
  std::uint64_t body_bytes = 64U << 20U;
  /// A request whose head is not complete within this time is rejected.
  duration head_timeout = std::chrono::seconds(3);
  /// A connection without a request for this time is closed.
  duration idle_timeout = std::chrono::seconds(15);
};

/// A target service of a route.
struct weighted_service
{
  std::string service;
  /// Share of the requests, relative to the sum of the route's weights.
  double weight = 1;
};

/// One route of the operator's configuration.
struct traffic_route
{
  std::string name;
  /// Host name; its letter case and a port are ignored.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  /// Requests need no key.
  bool is_public = false;
  /// Soft limit: a later answer is still delivered but counts as late.
  duration latency_target = std::chrono::seconds(1);
  /// Hard limit: the longest time that a caller waits for an answer.
  duration timeout = std::chrono::seconds(10);
  /// Maximum number of instances that one request may reach.
  unsigned max_attempts = 1;
  /// 0 is the highest priority.
  unsigned priority = 0;
  std::vector<weighted_service> targets;
};

/// What the operator declares about a service.
struct traffic_service
{
  /// Requests per second that a cold instance can handle; nothing if
  /// there is no such limit.
  std::optional<double> cold_requests_per_second;
};

/// The operator's configuration, as decoded.
struct traffic_configuration
{
  std::uint64_t version = 0;
  traffic_limits limits;
  std::vector<traffic_route> routes;
  /// Services by name.
  std::map<std::string, traffic_service> services;
  /// Nothing if callers need no key.
  std::optional<std::vector<organisation>> organisations;
};

/// The routes and limits of one configuration version. Immutable once built.
class traffic_table
{
public:
  /// Validates the configuration and builds the table. Fails with
  /// `invalid_argument` if a route has a malformed prefix, no target, a service
  /// that is not declared, a negative weight, or a timeout or latency target
  /// not above 0, if a service has a negative rate, or if
  /// `organisation_table::Build` fails.
  static result<std::shared_ptr<const traffic_table>> Build(
    traffic_configuration aConfiguration);

  std::uint64_t Version() const { return mVersion; }
  const traffic_limits& Limits() const { return mLimits; }
  /// The organisations whose keys callers need; null if they need none.
  const organisation_table* Organisations() const
  {
    return mOrganisations ? &*mOrganisations : nullptr;
  }
  /// What is declared about a service; the defaults if it is not declared.
  const traffic_service& Service(const std::string& aName) const;

  /// Returns the route of the host with the longest prefix that matches the
  /// path of `aTarget`, or null. A port in `aHost` is ignored.
  const traffic_route* Match(std::string_view aHost,
                             std::string_view aTarget) const;

  std::size_t RouteCount() const { return mRoutes.size(); }

private:
  std::uint64_t mVersion = 0;
  traffic_limits mLimits;
  std::vector<traffic_route> mRoutes;
  std::map<std::string, traffic_service> mServices;
  std::optional<organisation_table> mOrganisations;
  /// Routes by host name in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const traffic_route*>> mByHost;
};

using traffic_table_ptr = std::shared_ptr<const traffic_table>;

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_TRAFFIC_TRAFFIC_TABLE_H_
