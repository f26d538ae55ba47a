#ifndef EELGRASSTRACK_QUOTA_PERMIT_BUCKET_H_
#define EELGRASSTRACK_QUOTA_PERMIT_BUCKET_H_

#include <map>
#include <string>

#include "quota/quota-terms.h"

namespace eelgrasstrack {

/// What an owner answers to one ask.
struct permit_grant
{
  unsigned count = 0;
  /// Time until the owner expects to grant one more permit; 0 if all were
  /// granted.
  duration wait{ 0 };
};

/// The token bucket of one organisation at its quota owner. It starts empty, so
/// that a restart or a new owner grants no second burst.
class permit_bucket
{
public:
  permit_bucket(const quota_terms& aTerms, time_point aNow);

  /// Applies a changed limit. Permits beyond the new depth are dropped.
  void SetTerms(const quota_terms& aTerms, time_point aNow);

  /// Sets the part of the refill that this owner hands out, 0 to 1: the part of
  /// the hosts that it reaches, since another owner may serve the rest.
  void SetShare(double aShare, time_point aNow);

  /// Grants up to `aCount` permits to a node.
  permit_grant Take(const std::string& aNode, unsigned aCount, time_point aNow);

private:
  double Rate() const { return mTerms.permits_per_second * mShare; }
  void Refill(time_point aNow);
  /// Time until one more permit is expected for the node that is refused now.
  duration WaitFor(const std::string& aNode, time_point aNow);
  void ForgetRefused(time_point aNow);

  quota_terms mTerms;
  double mShare = 1;
  double mPermits = 0;
  /// Permits that were refused lately and that the refill has not made up for.
  double mBacklog = 0;
  time_point mRefilledAt;
  /// Nodes that were refused lately, with the time of the last refusal.
  std::map<std::string, time_point> mRefused;
  time_point mForgottenAt{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_PERMIT_BUCKET_H_
