#ifndef EELGRASSTRACK_ROLLOUT_EVIDENCE_H_
#define EELGRASSTRACK_ROLLOUT_EVIDENCE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasstrack {

/// Outcomes of the calls of one route to one version. Each caller is counted at
/// most once per second.
struct outcome_counts
{
  /// Sampled calls, and those of them that failed.
  std::uint32_t trials = 0;
  std::uint32_t failures = 0;
  /// Sampled calls with a usable response time, and those that were slow.
  std::uint32_t timed = 0;
  std::uint32_t slow = 0;

  bool operator==(const outcome_counts&) const = default;
};

outcome_counts&
operator+=(outcome_counts& aInto, const outcome_counts& aFrom);

/// The counts of the new version on the upstream of one node.
struct instance_counts
{
  std::string node;
  outcome_counts counts;

  bool operator==(const instance_counts&) const = default;
};

/// The outcomes of one route that one node observed in one window. Both
/// versions are counted on the calling side over the same period.
struct evidence_window
{
  std::string route;
  /// Expected share of the new version in the trials and in the timed calls, in
  /// ten-thousandths. If both versions are equally good, this is the
  /// probability that a given failure or slow call belongs to the new version.
  std::uint32_t trial_share = 0;
  std::uint32_t timed_share = 0;
  outcome_counts old_version;
  outcome_counts new_version;
  /// `new_version` broken down by upstream.
  std::vector<instance_counts> instances;

  bool operator==(const evidence_window&) const = default;
};

/// Sums since the reporting node opened the rollout.
struct evidence_totals
{
  std::uint64_t old_trials = 0;
  std::uint64_t new_trials = 0;
  /// Total service time of the upstreams of both versions, in microseconds.
  std::uint64_t busy_us = 0;
  /// Period that these sums cover, in milliseconds.
  std::uint64_t covered_ms = 0;
  /// Distinct callers, and those of them with a call to the new version.
  std::uint64_t callers = 0;
  std::uint64_t callers_exposed = 0;
  /// Exposed callers whose call failed in the end, after any retries.
  std::uint64_t callers_hurt = 0;
  /// Exposed callers with a failed or slow call to the new version.
  std::uint64_t callers_with_events = 0;

  bool operator==(const evidence_totals&) const = default;
};

/// Evidence that a node sends to a collector. Windows are numbered without gaps
/// per reporter and incarnation. A collector counts each number once, so
/// reports may be duplicated or arrive out of order.
struct evidence_report
{
  std::string rollout;
  std::string reporter;
  std::uint64_t incarnation = 0;
  /// Number of the first window in `windows`.
  std::uint64_t first_window = 0;
  std::vector<evidence_window> windows;
  /// Sequence number of this report. The totals of the report with the highest
  /// number replace earlier ones.
  std::uint64_t report_number = 0;
  evidence_totals totals;

  bool operator==(const evidence_report&) const = default;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_EVIDENCE_H_
