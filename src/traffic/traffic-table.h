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

/// What a caller may send and how long it may take.
struct traffic_limits
{
  std::uint32_t head_bytes = 16384;
  std::uint64_t body_bytes = 64U << 20U;
  duration head_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

/// A service that takes a part of a route's requests.
struct weighted_service
{
  std::string service;
  double weight = 1;
};

/// One route as the operator declared it.
struct traffic_route
{
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  /// Time within which an answer is worth most.
  duration latency_target = std::chrono::seconds(1);
  /// Longest time that a caller is kept waiting.
  duration timeout = std::chrono::seconds(10);
  /// Greatest number of instances that one request may reach.
  unsigned max_attempts = 1;
  /// 0 is the most urgent.
  unsigned priority = 0;
  std::vector<weighted_service> targets;
};

/// One accepted configuration, whole and never changed once built.
class traffic_table
{
public:
  /// Fails with `invalid_argument` if a route names an unknown service, has no
  /// target or no proper prefix.
  static result<std::shared_ptr<const traffic_table>> Build(
    std::uint64_t aVersion,
    traffic_limits aLimits,
    std::vector<traffic_route> aRoutes,
    const std::set<std::string>& aServices);

  std::uint64_t Version() const { return mVersion; }
  const traffic_limits& Limits() const { return mLimits; }

  /// The route with the longest prefix of `aTarget` at the host, or null.
  const traffic_route* Match(std::string_view aHost,
                             std::string_view aTarget) const;

  std::size_t RouteCount() const { return mRoutes.size(); }

private:
  std::uint64_t mVersion = 0;
  traffic_limits mLimits;
  std::vector<traffic_route> mRoutes;
  /// Routes of a host in lower case, those with the longest prefix first.
  std::unordered_map<std::string, std::vector<const traffic_route*>> mByHost;
};

using traffic_table_ptr = std::shared_ptr<const traffic_table>;

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_TRAFFIC_TRAFFIC_TABLE_H_
