#include "distribution/config-replica.h"

#include <algorithm>

#include "base/invariant.h"

namespace eelgrasstrack {

namespace {

/// Snapshots before the current one that deltas can start from.
constexpr std::size_t kMaxHistorySnapshots = 16;

/// Whether the service of every route is declared.
bool
AllRoutesResolve(const config_snapshot& aSnapshot)
{
  return std::all_of(aSnapshot.routes.begin(),
                     aSnapshot.routes.end(),
                     [&](const route_declaration& aRoute) {
                       return aSnapshot.FindService(aRoute.service) != nullptr;
                     });
}

} // namespace

config_replica::config_replica()
  : mCurrent(std::make_shared<config_snapshot>())
{
}

bool
config_replica::Install(const snapshot_ptr& aSnapshot)
{
  if (aSnapshot->version <= mCurrent->version) {
    return false;
  }
  bool hashMatches =
    CheckInvariant(invariant::snapshot_complete,
                   HashOf(aSnapshot->documents) == aSnapshot->hash);
  bool routesResolve = CheckInvariant(invariant::no_dangling_reference,
                                      AllRoutesResolve(*aSnapshot));
  if (!hashMatches || !routesResolve) {
    return false;
  }
  std::uint64_t before = mCurrent->version;
  mHistory.push_back(mCurrent);
  if (mHistory.size() > kMaxHistorySnapshots) {
    mHistory.pop_front();
  }
  mCurrent = aSnapshot;
  CheckInvariant(invariant::version_only_rises, mCurrent->version > before);
  return true;
}

std::optional<config_delta>
config_replica::DeltaFrom(std::uint64_t aVersion) const
{
  for (const snapshot_ptr& old : mHistory) {
    if (old->version == aVersion) {
      return DeltaBetween(*old, *mCurrent);
    }
  }
  return std::nullopt;
}

void
version_floor::AddStoreVersion(std::uint64_t aVersion)
{
  mStoreAnswered = true;
  mHighest = std::max(mHighest, aVersion);
}

void
version_floor::AddPeerVersion(const node_id& aNode,
                              const std::string& aDomain,
                              std::uint64_t aVersion)
{
  mPeers.insert(aNode);
  mDomains.insert(aDomain);
  mHighest = std::max(mHighest, aVersion);
}

std::optional<std::uint64_t>
version_floor::Value() const
{
  bool peersSuffice =
    mPeers.size() >= kMinPeers && mDomains.size() >= kMinDomains;
  if (!mStoreAnswered && !peersSuffice) {
    return std::nullopt;
  }
  return mHighest;
}

} // namespace eelgrasstrack
