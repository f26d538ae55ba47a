#include "rollout/evidence.h"

namespace eelgrasstrack {

outcome_counts&
operator+=(outcome_counts& aInto, const outcome_counts& aFrom)
{
  aInto.trials += aFrom.trials;
  aInto.failures += aFrom.failures;
  aInto.timed += aFrom.timed;
  aInto.slow += aFrom.slow;
  return aInto;
}

} // namespace eelgrasstrack
