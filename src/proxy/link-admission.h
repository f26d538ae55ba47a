#ifndef EELGRASSTRACK_PROXY_LINK_ADMISSION_H_
#define EELGRASSTRACK_PROXY_LINK_ADMISSION_H_

#include "base/clock.h"

namespace eelgrasstrack {

/// What a request with a large answer needs of the link of its instance's host.
struct link_demand
{
  /// Expected time until the instance has answered.
  duration run_time{ 0 };
  /// Time until the link has sent the answers that wait or are expected.
  duration backlog{ 0 };
  /// Time that the answer takes on the link.
  duration send_time{ 0 };
  /// An answer after this time counts as late.
  time_point soft_deadline{};
  /// The caller does not wait for an answer after this time.
  time_point deadline{};
};

/// Whether the request should run. An answer that will be late is accepted only
/// while the link has little to send: under overload, late answers would keep
/// the link busy and make all behind them late as well.
bool
FitsLink(const link_demand& aDemand, time_point aNow);

/// Time after which a refused request is likely to find room on the link: until
/// the backlog leaves it time to be sent.
duration
TimeUntilLinkFits(const link_demand& aDemand, time_point aNow);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_LINK_ADMISSION_H_
