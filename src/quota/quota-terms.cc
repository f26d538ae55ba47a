#include "quota/quota-terms.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

constexpr double kMaxValiditySeconds = 1;
/// A shorter validity would cost a message for nearly every request.
constexpr double kMinValiditySeconds = 0.25;
/// Covers an exchange with the owner, whatever the bounds are.
constexpr double kLeastValiditySeconds = 0.05;
/// Parts of the tolerance that the bucket may use.
constexpr double kOverPart = 0.5;
constexpr double kSlackPart = 0.25;
/// Part of `over` that the bucket holds at least: a bucket of one permit would
/// overflow between two asks and refuse below the limit.
constexpr double kMinDepthPart = 0.2;
constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

quota_terms
TermsOf(const organisation& aOrganisation, const quota_bounds& aBounds)
{
  double rate = aOrganisation.requests_per_second;
  double burst = aOrganisation.burst;
  double window =
    static_cast<double>(aBounds.window.count()) / kMicrosecondsPerSecond;
  double room = burst + kOverPart * aBounds.over * (rate * window + burst) +
                kSlackPart * aBounds.slack;
  double least = std::clamp(kOverPart * aBounds.over * window,
                            kLeastValiditySeconds,
                            kMinValiditySeconds);
  // Half of the room is for permits that are outstanding at the beginning of a
  // window, the other half for the bucket.
  double validity = std::clamp(room / 2 / rate, least, kMaxValiditySeconds);
  quota_terms terms;
  terms.permits_per_second = rate;
  terms.depth = std::max({ room - rate * validity,
                           kMinDepthPart * aBounds.over * rate * window,
                           1.0 });
  terms.validity =
    duration(static_cast<std::int64_t>(validity * kMicrosecondsPerSecond));
  return terms;
}

} // namespace eelgrasstrack
