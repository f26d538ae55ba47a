#ifndef EELGRASSTRACK_ROUTING_UPSTREAM_PICKER_H_
#define EELGRASSTRACK_ROUTING_UPSTREAM_PICKER_H_

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"
#include "membership/member-table.h"

namespace eelgrasstrack {

/// An upstream that can receive a call.
struct upstream_candidate
{
  node_id node;
  std::string domain;
  std::uint64_t incarnation = 0;
  /// Calls that the upstream runs at the same time.
  std::uint32_t slots = 1;
};

/// Outcome of a call as used by load balancing and outlier ejection.
enum class call_outcome
{
  answered,
  /// Refused or cancelled. Not counted as a failure, since a busy upstream is
  /// not a faulty one.
  refused,
  failed,
};

/// Settings of load balancing and outlier ejection.
struct picker_options
{
  /// Consecutive failures after which an upstream is ejected.
  unsigned consecutive_failures_to_eject = 5;
  /// An upstream is also ejected if its failure rate, a moving average over
  /// about ten calls, exceeds both this value and three times the mean rate of
  /// the other upstreams.
  double failure_rate_to_eject = 0.25;
  /// Duration of the first ejection; doubles with each further one.
  duration base_ejection_time = std::chrono::seconds(5);
  duration max_ejection_time = std::chrono::seconds(60);
  /// Largest share of the candidates that may be ejected at a time, in percent.
  /// Above it, ejections are ignored: if most upstreams fail, the fault is more
  /// likely in this node or in the whole service than in single upstreams.
  unsigned max_ejection_percent = 50;
  /// Time over which the share of calls of a new upstream grows.
  duration slow_start = std::chrono::seconds(5);
  /// Calls stay in the node's own failure domain while the load of its least
  /// loaded upstream is at most this many percent of that upstream's slots.
  unsigned max_local_load_percent = 70;
};

/// Load balancer for the upstreams of all services. Compares two random
/// candidates (power of two choices; Mitzenmacher, 2001) by outstanding calls
/// per slot. Prefers the node's own failure domain while it has capacity, and
/// ejects outliers.
class upstream_picker
{
public:
  upstream_picker(std::string aDomain,
                  picker_options aOptions,
                  std::uint64_t aSeed);

  /// Returns the index of the chosen candidate, or nothing if there is none.
  /// Nodes in `aExcluded` are not chosen.
  std::optional<std::size_t> Pick(
    const std::vector<upstream_candidate>& aCandidates,
    const std::vector<node_id>& aExcluded,
    time_point aNow);

  /// Counts a call as outstanding at a node.
  void RecordStart(const node_id& aNode);
  /// Ends an outstanding call and updates the ejection of the node.
  void RecordFinish(const node_id& aNode,
                    call_outcome aOutcome,
                    time_point aNow);

  /// Stores the running and queued calls that the last hop reported with an
  /// answer.
  void UpdateLoadHint(const node_id& aNode,
                      std::uint32_t aBusy,
                      std::uint32_t aQueued,
                      time_point aNow);

  /// Removes all statistics of a node.
  void Remove(const node_id& aNode);

  std::uint32_t Outstanding(const node_id& aNode) const;
  bool IsEjected(const node_id& aNode, time_point aNow) const;

private:
  struct node_stats
  {
    std::uint32_t outstanding = 0;
    /// Running and queued calls that the last hop last reported.
    std::uint32_t hinted_load = 0;
    time_point hinted_at{};
    unsigned consecutive_failures = 0;
    /// Moving average of failures, from 0 to 1.
    double failure_rate = 0;
    /// Calls counted in `failure_rate` since the last ejection.
    unsigned failure_rate_samples = 0;
    /// Ejections since the node last recovered.
    unsigned ejections = 0;
    time_point ejected_until{};
    time_point first_seen{};
  };

  /// Updates the failure statistics of a node and ejects it if they are bad.
  void UpdateEjection(const node_id& aNode, bool aFailed, time_point aNow);
  /// Whether the failure rate of a node is far above that of the others.
  bool IsOutlier(const node_id& aNode) const;
  /// Load per slot if one more call were sent, with fewer slots counted during
  /// slow start.
  double ComputeLoad(const upstream_candidate& aCandidate, time_point aNow);
  /// Indexes of the candidates that are neither excluded nor ejected. If too
  /// many are ejected, also of those.
  std::vector<std::size_t> FindUsable(
    const std::vector<upstream_candidate>& aCandidates,
    const std::vector<node_id>& aExcluded,
    time_point aNow) const;
  /// Keeps only the candidates of the own failure domain while it has capacity.
  std::vector<std::size_t> PreferLocal(
    const std::vector<upstream_candidate>& aCandidates,
    std::vector<std::size_t> aUsable,
    time_point aNow);
  std::size_t PickLessLoaded(const std::vector<upstream_candidate>& aCandidates,
                             const std::vector<std::size_t>& aUsable,
                             time_point aNow);

  std::string mDomain;
  picker_options mOptions;
  std::mt19937_64 mRandom;
  std::map<node_id, node_stats> mStats;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_UPSTREAM_PICKER_H_
