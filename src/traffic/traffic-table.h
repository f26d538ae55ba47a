#ifndef EELGRASSTRACK_TRAFFIC_TRAFFIC_TABLE_H_
#define EELGRASSTRACK_TRAFFIC_TRAFFIC_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/error.h"

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

/// The routes and limits of one configuration version. Immutable once built.
class traffic_table
{
public:
  /// Validates all routes and builds the table. Fails with `invalid_argument`
  /// if a route has a malformed prefix, no target, a service that is not in
  /// `aServices`, a negative weight, or a timeout or latency target not above
  /// 0.
  static result<std::shared_ptr<const traffic_table>> Build(
    std::uint64_t aVersion,
    traffic_limits aLimits,
    std::vector<traffic_route> aRoutes,
    const std::set<std::string>& aServices);

  std::uint64_t Version() const { return mVersion; }
  const traffic_limits& Limits() const { return mLimits; }

  /// Returns the route of the host with the longest prefix that matches the
  /// path of `aTarget`, or null. A port in `aHost` is ignored.
  const traffic_route* Match(std::string_view aHost,
                             std::string_view aTarget) const;

  std::size_t RouteCount() const { return mRoutes.size(); }

private:
  std::uint64_t mVersion = 0;
  traffic_limits mLimits;
  std::vector<traffic_route> mRoutes;
  /// Routes by host name in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const traffic_route*>> mByHost;
};

using traffic_table_ptr = std::shared_ptr<const traffic_table>;

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_TRAFFIC_TRAFFIC_TABLE_H_
