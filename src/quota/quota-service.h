#ifndef EELGRASSTRACK_QUOTA_QUOTA_SERVICE_H_
#define EELGRASSTRACK_QUOTA_QUOTA_SERVICE_H_

#include "quota/quota-client.h"

namespace eelgrasstrack {

/// The request quotas of one node: as an owner of organisations and as a holder
/// of leases.
class quota_service
{
public:
  quota_service(loop& aLoop,
                control_client& aClient,
                const host_directory& aDirectory);

  /// Starts the periodic checks. `aProbe` checks whether a host is reachable.
  void Start(const host_probe& aProbe);

  void SetBounds(const quota_bounds& aBounds);
  void SetTable(const traffic_table_ptr& aTable);
  void HandleUnreachableHost() { mKeeper.HandleUnreachableHost(); }
  void HandleRemovedHost(const std::string& aName);

  /// Handles `POST /v1/permits`: 200 with the grants, 409 if this node owns
  /// none of the organisations, 400 if the message can't be read.
  buffered_response HandleMessage(const std::string& aBody);

  /// What the first hop asks.
  request_quota& Requests() { return mRequests; }

  void AppendMetrics(std::string& aText) const;

private:
  loop& mLoop;
  quota_owners mOwners;
  quota_keeper mKeeper;
  quota_client mRequests;
  /// The periodic updates have started, as there are organisations.
  bool mUpdating = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_QUOTA_SERVICE_H_
