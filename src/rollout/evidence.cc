#include "rollout/evidence.h"

namespace eelgrasstrack {

arm_counts&
operator+=(arm_counts& aInto, const arm_counts& aFrom)
{
  aInto.trials += aFrom.trials;
  aInto.failures += aFrom.failures;
  aInto.timed += aFrom.timed;
  aInto.slow += aFrom.slow;
  return aInto;
}

} // namespace eelgrasstrack
