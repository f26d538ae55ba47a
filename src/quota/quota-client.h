#ifndef EELGRASSTRACK_QUOTA_QUOTA_CLIENT_H_
#define EELGRASSTRACK_QUOTA_QUOTA_CLIENT_H_

#include "http/loop.h"
#include "quota/permit-lease.h"
#include "quota/quota-keeper.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// Counts of messages to quota owners and of permits.
struct quota_counts
{
  std::uint64_t messages = 0;
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  /// Asks that the owner has not answered in time or was not the owner for.
  std::uint64_t owner_timeouts = 0;
  /// Requests admitted while the owner did not answer.
  std::uint64_t admitted_without_owner = 0;
};

/// Admits the requests of callers on this host: holds the leases and asks the
/// quota owners for permits.
class quota_client final : public request_quota
{
public:
  quota_client(loop& aLoop,
               control_client& aClient,
               const host_directory& aDirectory,
               quota_owners& aOwners,
               quota_keeper& aKeeper);

  void SetBounds(const quota_bounds& aBounds) { mBounds = aBounds; }
  /// Applies changed limits to the leases and drops those without a limit.
  void SetOrganisations(const organisation_table* aOrganisations);
  /// Sets the function that checks whether a host is reachable.
  void SetProbe(host_probe aProbe) { mProbe = std::move(aProbe); }
  const quota_counts& Counts() const { return mCounts; }

  // request_quota
  quota_decision Admit(const organisation& aOrganisation,
                       std::shared_ptr<quota_waiter> aWaiter) override;
  void Cancel(const organisation& aOrganisation,
              const quota_waiter& aWaiter) override;
  void Return(const organisation& aOrganisation,
              const quota_permit& aPermit) override;
  std::optional<unsigned> RecordRefusal(
    const organisation& aOrganisation) override;

private:
  /// One organisation whose callers send requests here.
  struct leased_organisation
  {
    explicit leased_organisation(const quota_terms& aTerms)
      : terms(aTerms)
      , lease(aTerms)
    {
    }

    quota_terms terms;
    permit_lease lease;
    /// The owner that was asked last.
    std::string owner;
    std::deque<std::shared_ptr<quota_waiter>> waiters;
    unsigned unlogged_refusals = 0;
    std::optional<time_point> logged_at;
  };

  leased_organisation& LeaseOf(const organisation& aOrganisation);
  /// Notices that another host has become the owner.
  void UpdateOwner(const std::string& aName, leased_organisation& aLeased);
  /// Asks for permits if an ask is due. A lease whose owner is this node has
  /// its answer when the function returns.
  void Ask(const std::string& aName,
           leased_organisation& aLeased,
           std::size_t aWaiting);
  void ScheduleSending();
  /// Sends the asks that have become due, one message for each owner.
  void SendAsks();
  void SendTo(const std::string& aOwner, std::vector<permit_ask> aAsks);
  void HandleResponse(const std::string& aOwner,
                      const std::vector<permit_ask>& aAsks,
                      const result<buffered_response>& aResponse);
  void HandleAnswer(leased_organisation& aLeased,
                    unsigned aAsked,
                    const std::optional<permit_grant>& aGrant,
                    bool aTimedOut);
  /// Decides on the waiting requests as far as possible.
  void SettleWaiters(const std::string& aName);
  /// Decides on a request that gets no permit now.
  quota_decision DecideWithoutPermit(const std::string& aName,
                                     leased_organisation& aLeased);
  /// Whether this node is one of those that admit requests while the owner does
  /// not answer.
  bool MayAdmitWithoutOwner(const std::string& aName,
                            const quota_terms& aTerms);

  loop& mLoop;
  control_client& mClient;
  const host_directory& mDirectory;
  quota_owners& mOwners;
  quota_keeper& mKeeper;
  quota_bounds mBounds;
  host_probe mProbe;
  std::map<std::string, leased_organisation> mLeased;
  /// Asks that are sent at the end of this turn of the loop, by owner.
  std::map<std::string, std::vector<permit_ask>> mDue;
  quota_counts mCounts;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_QUOTA_CLIENT_H_
