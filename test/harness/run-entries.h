#ifndef EELGRASSTRACK_TEST_HARNESS_RUN_ENTRIES_H_
#define EELGRASSTRACK_TEST_HARNESS_RUN_ENTRIES_H_

#include "proxy/run-queue.h"

namespace eelgrasstrack::test {

/// A request on the route `route` that arrives at `aNow`; its deadline is twice
/// as far away as its soft deadline.
inline run_entry
MakeRunEntry(time_point aNow,
             run_id aId,
             unsigned aPriority,
             duration aSoftDeadline)
{
  return {
    aId, "route", aPriority, aNow + aSoftDeadline, aNow + aSoftDeadline * 2
  };
}

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_RUN_ENTRIES_H_
