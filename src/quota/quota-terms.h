#ifndef EELGRASSTRACK_QUOTA_QUOTA_TERMS_H_
#define EELGRASSTRACK_QUOTA_QUOTA_TERMS_H_

#include "base/clock.h"
#include "traffic/organisation-table.h"

namespace eelgrasstrack {

/// How far the requests of an organisation may exceed its limit: in each
/// `window` at most (rate x window + burst) x (1 + `over`) + `slack` run,
/// summed over all nodes.
struct quota_bounds
{
  duration window = std::chrono::seconds(5);
  double over = 0.1;
  double slack = 20;
};

/// What a quota owner grants to one organisation. Owner and lease holders
/// derive it from the same configuration and settings.
struct quota_terms
{
  /// Refill of the owner's bucket in permits per second.
  double permits_per_second = 0;
  /// Most permits that the bucket holds.
  double depth = 1;
  /// Time for which a granted permit may be used.
  duration validity{ 0 };

  bool operator==(const quota_terms&) const = default;
};

/// Returns the terms for an organisation with a limit. Permits granted before a
/// window and used in it are taken off the depth, so that the bound holds with
/// half of its tolerance left for changes of the owner.
quota_terms
TermsOf(const organisation& aOrganisation, const quota_bounds& aBounds);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_QUOTA_TERMS_H_
