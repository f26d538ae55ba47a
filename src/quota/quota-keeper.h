#ifndef EELGRASSTRACK_QUOTA_QUOTA_KEEPER_H_
#define EELGRASSTRACK_QUOTA_QUOTA_KEEPER_H_

#include <functional>
#include <random>

#include "quota/permit-codec.h"
#include "quota/quota-owners.h"
#include "traffic/traffic-table.h"

namespace eelgrasstrack {

/// Called with the name of a host that may be unreachable.
using host_probe = std::function<void(const std::string&)>;

/// Grants the permits of the organisations that this node owns.
class quota_keeper
{
public:
  quota_keeper(const clock_source& aClock,
               const host_directory& aDirectory,
               quota_owners& aOwners);

  void SetBounds(const quota_bounds& aBounds);
  void SetTable(traffic_table_ptr aTable);
  /// Sets the function that checks whether a host is reachable.
  void SetProbe(host_probe aProbe) { mProbe = std::move(aProbe); }

  /// Takes over changes of the directory: begins and ends ownerships and sets
  /// the share of the refill. Called periodically and before grants.
  void Update();

  /// Probes one other host, so that an owner soon learns of a partition.
  void ProbeNext();
  /// Probes a part of the hosts after one was lost: in a partition more are
  /// lost, and the refill must not count them.
  void HandleUnreachableHost();

  /// Takes permits from a bucket of this node; nothing if it does not own the
  /// organisation.
  std::optional<permit_grant> Take(const std::string& aOrganisation,
                                   const std::string& aNode,
                                   unsigned aCount);

  /// Answers the message of another node. Organisations that this node does not
  /// own are left out; their owner, as seen here, is probed.
  std::vector<permit_answer> Answer(const permit_request& aRequest);

  /// Number of organisations with a limit that this node owns.
  std::size_t OwnedCount() const { return mOwned.size(); }

private:
  struct owned_organisation
  {
    permit_bucket bucket;
    /// Refused permits since the last log line.
    std::uint64_t refused = 0;
    std::optional<time_point> logged_at;
  };

  /// Creates or updates the bucket of an organisation, or ends the ownership.
  void UpdateOwnership(const organisation& aOrganisation, double aShare);
  void ProbeRandomHosts(std::size_t aCount);
  void RecordRefused(const std::string& aOrganisation,
                     owned_organisation& aOwned,
                     unsigned aRefused);

  const clock_source& mClock;
  const host_directory& mDirectory;
  quota_owners& mOwners;
  quota_bounds mBounds;
  traffic_table_ptr mTable;
  host_probe mProbe;
  std::map<std::string, owned_organisation> mOwned;
  /// Revision of the directory that `mOwned` reflects.
  std::optional<std::uint64_t> mRevision;
  /// Share of the limits that this node hands out, when last applied.
  double mShare = 0;
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_QUOTA_KEEPER_H_
