#ifndef EELGRASSTRACK_ROLLOUT_EVIDENCE_H_
#define EELGRASSTRACK_ROLLOUT_EVIDENCE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasstrack {

/// Outcomes of calls of one route to one version within one window, counted
/// once a caller.
struct outcome_counts
{
  std::uint32_t trials = 0;
  std::uint32_t failures = 0;
  /// Calls whose speed could be judged, and those that were slow.
  std::uint32_t timed = 0;
  std::uint32_t slow = 0;

  bool operator==(const outcome_counts&) const = default;
};

outcome_counts&
operator+=(outcome_counts& aInto, const outcome_counts& aFrom);

/// The new version's counts on one upstream.
struct instance_counts
{
  std::string node;
  outcome_counts counts;

  bool operator==(const instance_counts&) const = default;
};

/// What one node saw of one route in one window: both versions over the same
/// time, from the same callers' side.
struct evidence_window
{
  std::string route;
  /// The new version's share of trials, and of timed calls, in ten-thousandths:
  /// the chance that a failure, or a slow call, is the new version's if both
  /// versions are equally good.
  std::uint32_t trial_share = 0;
  std::uint32_t timed_share = 0;
  outcome_counts old_version;
  outcome_counts new_version;
  /// Parts of `new_version` by upstream.
  std::vector<instance_counts> instances;

  bool operator==(const evidence_window&) const = default;
};

/// Sums since the rollout began at the reporter.
struct evidence_totals
{
  std::uint64_t old_trials = 0;
  std::uint64_t new_trials = 0;
  /// Microseconds that upstreams of either version were busy.
  std::uint64_t busy_us = 0;
  /// Time that these sums cover, in milliseconds.
  std::uint64_t covered_ms = 0;
  std::uint64_t callers = 0;
  std::uint64_t callers_exposed = 0;
  /// Exposed callers whose final answer was a failure.
  std::uint64_t callers_hurt = 0;
  /// Exposed callers that saw a failure or slow answers of the new version.
  std::uint64_t callers_with_events = 0;

  bool operator==(const evidence_totals&) const = default;
};

/// A report. Windows are numbered without gaps per reporter and incarnation;
/// a collector takes each number once, so a report may arrive twice or late.
struct evidence_report
{
  std::string rollout;
  std::string reporter;
  std::uint64_t incarnation = 0;
  /// Number of the first window in `windows`.
  std::uint64_t first_window = 0;
  std::vector<evidence_window> windows;
  /// Number of this report; of two, the totals of the higher one hold.
  std::uint64_t report_number = 0;
  evidence_totals totals;

  bool operator==(const evidence_report&) const = default;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_EVIDENCE_H_
