#ifndef EELGRASSTRACK_ROUTING_UPSTREAM_PICKER_H_
#define EELGRASSTRACK_ROUTING_UPSTREAM_PICKER_H_

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"
#include "membership/member-table.h"

namespace eelgrasstrack {

/// An upstream that a call may go to.
struct upstream_candidate
{
  node_id node;
  std::string domain;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;
};

/// How a call to an upstream ended, as far as choosing the next one goes.
enum class call_outcome
{
  answered,
  /// Refused for lack of room: the upstream is busy, not broken.
  refused,
  failed,
};

struct picker_options
{
  /// Failures in a row after which an upstream is left out for a while.
  unsigned consecutive_failures_to_eject = 5;
  /// An upstream is also left out if its part of failures, over about the last
  /// ten calls, is above this and three times that of the others.
  double failure_rate_to_eject = 0.25;
  duration base_ejection_time = std::chrono::seconds(5);
  duration max_ejection_time = std::chrono::seconds(60);
  /// Share of a service's upstreams that may be left out at a time, in percent.
  /// Above it, outliers count as usual: most of them being bad says more about
  /// the observer or the service than about them.
  unsigned max_ejection_percent = 50;
  /// A new upstream's share of work grows over this time.
  duration slow_start = std::chrono::seconds(5);
  /// Load of the own failure domain, in percent of its slots, up to which
  /// calls stay inside it.
  unsigned max_local_load_percent = 70;
};

/// Chooses upstreams by the power of two choices (Mitzenmacher, 2001) on
/// outstanding work over slots, the own failure domain first while it has room.
class upstream_picker
{
public:
  upstream_picker(std::string aDomain,
                  picker_options aOptions,
                  std::uint64_t aSeed);

  /// Returns the index of the chosen candidate; `aTried` is left out.
  /// Empty if there is none.
  std::optional<std::size_t> Pick(
    const std::vector<upstream_candidate>& aCandidates,
    const std::vector<node_id>& aTried,
    time_point aNow);

  void RecordStart(const node_id& aNode);
  void RecordFinish(const node_id& aNode,
                    call_outcome aOutcome,
                    time_point aNow);

  /// Work at the last hop as it said with an answer.
  void UpdateLoadHint(const node_id& aNode,
                      std::uint32_t aBusy,
                      std::uint32_t aQueued,
                      time_point aNow);

  /// Drops what is known about a node.
  void Remove(const node_id& aNode);

  std::uint32_t Outstanding(const node_id& aNode) const;
  bool IsEjected(const node_id& aNode, time_point aNow) const;

private:
  struct node_stats
  {
    std::uint32_t outstanding = 0;
    std::uint32_t hinted_load = 0;
    time_point hinted_at{};
    unsigned consecutive_failures = 0;
    /// Moving average of failures, and the calls that it rests on.
    double failure_rate = 0;
    unsigned failure_rate_samples = 0;
    unsigned ejections = 0;
    time_point ejected_until{};
    time_point first_seen{};
  };

  void UpdateEjection(const node_id& aNode, bool aFailed, time_point aNow);
  bool IsOutlier(const node_id& aNode) const;
  double ComputeLoad(const upstream_candidate& aCandidate, time_point aNow);
  std::vector<std::size_t> FindUsable(
    const std::vector<upstream_candidate>& aCandidates,
    const std::vector<node_id>& aTried,
    time_point aNow) const;
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
