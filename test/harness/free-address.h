#ifndef EELGRASSTRACK_TEST_HARNESS_FREE_ADDRESS_H_
#define EELGRASSTRACK_TEST_HARNESS_FREE_ADDRESS_H_

#include "http/message.h"

namespace eelgrasstrack::test {

/// Returns a loopback address whose port no socket uses at the time. No address
/// is returned twice before all others.
endpoint
FreeAddress();

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_FREE_ADDRESS_H_
