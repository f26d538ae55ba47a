#ifndef EELGRASSTRACK_DISTRIBUTION_CONFIG_REPLICA_H_
#define EELGRASSTRACK_DISTRIBUTION_CONFIG_REPLICA_H_

#include <deque>
#include <optional>
#include <set>

#include "config/snapshot.h"
#include "membership/member.h"

namespace eelgrasstrack {

/// The configuration in force on a node, with the previous snapshots for
/// deltas. Its version never decreases.
class config_replica
{
public:
  config_replica();

  const snapshot_ptr& Current() const { return mCurrent; }
  std::uint64_t Version() const { return mCurrent->version; }

  /// Puts a newer snapshot in force. Ignores one that is not newer, whose
  /// content does not match its hash, or that has a route to a missing service.
  /// Returns whether the snapshot is now in force.
  bool Install(const snapshot_ptr& aSnapshot);

  /// Delta from an earlier version to the current one, or nothing if that
  /// version is no longer in the history.
  std::optional<config_delta> DeltaFrom(std::uint64_t aVersion) const;

private:
  snapshot_ptr mCurrent;
  std::deque<snapshot_ptr> mHistory;
};

/// Lowest configuration version that a process may serve: the previous process
/// on its host may have had this version in force. Hosts store nothing on disk,
/// so the floor comes from the store or, during a store outage, from peers that
/// have reached their own floor, in at least two failure domains.
class version_floor
{
public:
  /// Adds the version that the store holds; 0 if it holds none.
  void AddStoreVersion(std::uint64_t aVersion);
  /// Adds the version of a peer whose digest sets `version_is_floor`.
  void AddPeerVersion(const node_id& aNode,
                      const std::string& aDomain,
                      std::uint64_t aVersion);

  /// The highest version added, once the store or enough peers have answered.
  std::optional<std::uint64_t> Value() const;

  /// Without an answer from the store, this many peers in this many failure
  /// domains are needed.
  static constexpr std::size_t kMinPeers = 3;
  static constexpr std::size_t kMinDomains = 2;

private:
  bool mStoreAnswered = false;
  std::uint64_t mHighest = 0;
  std::set<node_id> mPeers;
  std::set<std::string> mDomains;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DISTRIBUTION_CONFIG_REPLICA_H_
