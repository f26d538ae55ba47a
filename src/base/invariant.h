#ifndef EELGRASSTRACK_BASE_INVARIANT_H_
#define EELGRASSTRACK_BASE_INVARIANT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// The promises that the program checks while it runs.
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

std::string_view
NameOf(invariant aInvariant);

/// How often an invariant was checked and how often it was broken.
struct invariant_count
{
  std::uint64_t checked = 0;
  std::uint64_t broken = 0;
};

/// Counts one check. A broken one is logged with `aDetail`; it ends the
/// process when `SetAbortOnBrokenInvariant(true)` was called, as tests do.
/// Returns `aHolds`.
bool
CheckInvariant(invariant aInvariant, bool aHolds, const std::string& aDetail);

/// Like above, without a detail to build on the hot path.
bool
CheckInvariant(invariant aInvariant, bool aHolds);

invariant_count
CountOf(invariant aInvariant);

void
SetAbortOnBrokenInvariant(bool aAbort);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_INVARIANT_H_
