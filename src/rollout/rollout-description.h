#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_DESCRIPTION_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_DESCRIPTION_H_

#include "rollout/rollout-driver.h"

namespace eelgrasstrack {

/// One word for where a rollout stands: `running`, `paused`, `done`,
/// `taken_back`, or `done_not_recorded` and `taken_back_not_recorded` while the
/// outcome is decided and the store has not taken it yet.
std::string
StatusNameOf(const rollout_status& aStatus);

/// Says in plain words where a rollout stands and why, who shares in it, on
/// what evidence, when the next step is due and whether it makes its time.
std::string
DescribeRollout(const rollout_status& aStatus, std::int64_t aNowMs);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_DESCRIPTION_H_
