#ifndef EELGRASSTRACK_BASE_INVARIANT_H_
#define EELGRASSTRACK_BASE_INVARIANT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// Conditions that the program checks while it runs.
enum class invariant
{
  version_only_rises,
  no_dangling_reference,
  snapshot_complete,
  single_dispatch,
  not_run_is_true,
  answer_matches_request,
  share_frozen_after_halt,
  no_call_after_halt,
  exposure_only_grows,
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
