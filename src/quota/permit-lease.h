#ifndef EELGRASSTRACK_QUOTA_PERMIT_LEASE_H_
#define EELGRASSTRACK_QUOTA_PERMIT_LEASE_H_

#include <deque>

#include "quota/event-rate.h"
#include "quota/quota-terms.h"
#include "quota/request-quota.h"

namespace eelgrasstrack {

/// The permits that one node holds for one organisation, and when it asks the
/// quota owner for more.
class permit_lease
{
public:
  explicit permit_lease(const quota_terms& aTerms);

  /// Applies a changed limit. If it is lower, permits are dropped in
  /// proportion.
  void SetTerms(const quota_terms& aTerms);

  /// Counts a request towards the expected demand.
  void RecordDemand(time_point aNow);

  /// Uses one valid permit, if there is one.
  std::optional<quota_permit> TryUse(time_point aNow);

  /// Takes back a permit that is still valid.
  void Return(const quota_permit& aPermit, time_point aNow);

  /// Number of permits to ask for now, 0 if no ask is due. `aWaiting` requests
  /// wait for a permit.
  unsigned CountToAsk(std::size_t aWaiting, time_point aNow);

  /// Records that an ask was sent.
  void BeginAsk(unsigned aCount, time_point aNow);
  bool IsAsking() const { return mAsked > 0; }

  /// Handles the owner's answer to the ask.
  void HandleGrant(unsigned aGranted, duration aWait, time_point aNow);
  /// Handles that the owner has not granted or refused: it did not answer in
  /// time, or at once with an error, so that the next ask may follow sooner.
  void HandleSilentOwner(bool aTimedOut, time_point aNow);
  /// Handles a change of the owner: the former one's refusal and silence no
  /// longer count.
  void HandleNewOwner();

  /// Whether requests without a permit are refused without asking.
  bool IsHeld(time_point aNow) const { return aNow < mHeldUntil; }
  /// Whether the owner has not answered the last ask.
  bool IsOwnerSilent() const { return mOwnerSilent; }

  /// Takes the one request of this window that is admitted without the owner.
  bool TryAllowance(duration aWindow, time_point aNow);

  /// Time after which a request that is refused now is likely to be admitted.
  /// Each refusal gets a later time, by the rate at which permits were granted.
  duration RetryAfter(time_point aNow);

private:
  /// Permits of one grant.
  struct permit_batch
  {
    time_point expires;
    unsigned count = 0;
  };

  void DropExpired(time_point aNow);
  unsigned Held() const;
  /// Number of further requests that are likely to come while a permit is
  /// valid.
  unsigned LikelyDemand(time_point aNow) const;

  quota_terms mTerms;
  /// In order of expiry.
  std::deque<permit_batch> mBatches;
  event_rate mDemand;
  event_rate mGranted;
  unsigned mAsked = 0;
  time_point mAskedAt{};
  time_point mHeldUntil{};
  bool mOwnerSilent = false;
  std::optional<time_point> mAllowanceUsed;
  /// When the next refused request is told to come again.
  time_point mNextRetry{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_PERMIT_LEASE_H_
