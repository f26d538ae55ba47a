#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_DESCRIPTION_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_DESCRIPTION_H_

#include "rollout/rollout-driver.h"

namespace eelgrasstrack {

/// The state of a rollout as one word: `running`, `paused`, `done` or
/// `taken_back`. While the outcome is decided but not yet recorded in the
/// store, it is `done_not_recorded` or `taken_back_not_recorded`.
std::string
StatusNameOf(const rollout_status& aStatus);

/// Describes a rollout for operators: its state and the reason for it, the
/// share of callers on the new version, the evidence, the time of the next step
/// and whether the rollout is on schedule. `aNowMs` is in Unix milliseconds.
std::string
DescribeRollout(const rollout_status& aStatus, std::int64_t aNowMs);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_DESCRIPTION_H_
