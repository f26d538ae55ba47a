#ifndef EELGRASSTRACK_ROLLOUT_SAMPLE_HISTORY_H_
#define EELGRASSTRACK_ROLLOUT_SAMPLE_HISTORY_H_

#include <deque>
#include <optional>
#include <set>

#include "rollout/version-sample.h"

namespace eelgrasstrack {

/// What the hosts have counted since the order, by their latest reports. Counts
/// of a node that has restarted since are kept.
class sample_reports
{
public:
  /// Replaces what a node has reported before. Late reports of its earlier
  /// incarnations are ignored. Incarnations are in no order, as clocks may be
  /// set back.
  void Add(const std::string& aHost,
           std::int64_t aIncarnation,
           version_samples aSamples);

  /// Counts of each host, those of its node's earlier incarnations included.
  host_samples ByHost() const;
  /// Sum over all hosts.
  version_samples Total() const;
  std::size_t Size() const { return mHosts.size(); }

private:
  struct host_report
  {
    std::optional<std::int64_t> incarnation;
    std::set<std::int64_t> earlier_incarnations;
    version_samples latest;
    /// Sum of the last reports of the earlier incarnations.
    version_samples earlier;
  };

  std::map<std::string, host_report> mHosts;
};

/// The recent past of a rollout: what the hosts counted in consecutive slices
/// of time.
class sample_history
{
public:
  /// Adds what the hosts have counted so far, and closes the current slice if
  /// it is long enough. The first counts of a host belong to no slice, since
  /// they are from an unknown time. Returns whether a slice was closed.
  bool Update(const sample_reports& aReports, time_point aNow);

  /// Closed slices, the oldest first.
  const std::deque<host_samples>& Slices() const { return mSlices; }

private:
  std::deque<host_samples> mSlices;
  /// Counts at the end of the last closed slice.
  host_samples mCounted;
  time_point mSliceStart{};
};

/// Number of hosts on which a version failed at least one request.
std::size_t
CountFailingHosts(const host_samples& aSamples, const std::string& aVersion);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_SAMPLE_HISTORY_H_
