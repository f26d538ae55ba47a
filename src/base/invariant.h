#ifndef EELGRASSTRACK_BASE_INVARIANT_H_
#define EELGRASSTRACK_BASE_INVARIANT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// Conditions that the program checks while it runs.
enum class invariant
{
  /// The configuration version of a node only increases.
  version_only_rises,
  /// All routes of an installed snapshot refer to services in it.
  no_dangling_reference,
  /// The documents of a snapshot match its hash.
  snapshot_complete,
  /// A request that is not repeatable is dispatched to an upstream only once.
  single_dispatch,
  /// A request reported as `not_run` can't have been executed.
  not_run_is_true,
  /// An answer has the id of its request and the announced body size.
  answer_matches_request,
  /// The canary share does not change after a rollout has halted.
  share_frozen_after_halt,
  /// No caller is sent to the new version after a rollout has halted.
  no_call_after_halt,
  /// The canary share of a rollout never decreases.
  exposure_only_grows,
  /// A rollout ends only once.
  single_outcome,
};

constexpr std::size_t kInvariantCount = 10;

/// Name of an invariant in logs and metrics.
std::string_view
NameOf(invariant aInvariant);

/// How often an invariant was checked and how often it did not hold.
struct invariant_count
{
  std::uint64_t checked = 0;
  std::uint64_t broken = 0;
};

/// Counts one check and returns `aHolds`. A broken invariant is logged with
/// `aDetail`, and aborts the process after `SetAbortOnBrokenInvariant(true)`,
/// which tests call.
bool
CheckInvariant(invariant aInvariant, bool aHolds, const std::string& aDetail);

/// Same without a detail, so that a hot path need not build the string.
bool
CheckInvariant(invariant aInvariant, bool aHolds);

/// Returns the counts of one invariant since the process started.
invariant_count
CountOf(invariant aInvariant);

/// Sets whether a broken invariant aborts the process.
void
SetAbortOnBrokenInvariant(bool aAbort);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_INVARIANT_H_
