#ifndef EELGRASSTRACK_DISTRIBUTION_CONFIG_REPLICA_H_
#define EELGRASSTRACK_DISTRIBUTION_CONFIG_REPLICA_H_

#include <deque>
#include <optional>
#include <set>

#include "config/snapshot.h"
#include "membership/member.h"

namespace eelgrasstrack {

/// The configuration that a node has in force. Its version only rises.
class config_replica
{
public:
  config_replica();

  const snapshot_ptr& Current() const { return mCurrent; }
  std::uint64_t Version() const { return mCurrent->version; }

  /// Puts a newer snapshot in force; an older or equal one is ignored.
  /// Returns whether it is now in force.
  bool Install(const snapshot_ptr& aSnapshot);

  /// The delta from an earlier version, if that version is still known.
  std::optional<config_delta> DeltaFrom(std::uint64_t aVersion) const;

private:
  snapshot_ptr mCurrent;
  std::deque<snapshot_ptr> mHistory;
};

/// What a process must know before it serves: the version that the process
/// before it on this host may have had in force. Hosts keep nothing, so the
/// floor comes from the store or, while that is out, from peers that have
/// a floor themselves, in at least two failure domains.
class version_floor
{
public:
  void AddStoreVersion(std::uint64_t aVersion);
  void AddPeerVersion(const node_id& aNode,
                      const std::string& aDomain,
                      std::uint64_t aVersion);

  /// Set once enough is known.
  std::optional<std::uint64_t> Value() const;

  /// Peers count until the store has answered.
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
