#ifndef EELGRASSTRACK_QUOTA_QUOTA_OWNERS_H_
#define EELGRASSTRACK_QUOTA_QUOTA_OWNERS_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "mesh/host-directory.h"

namespace eelgrasstrack {

/// Chooses the quota owner of each organisation by rendezvous hashing over the
/// hosts that the directory shows as reachable and not stopping. Each node
/// computes it from its own directory, without messages.
class quota_owners
{
public:
  explicit quota_owners(const host_directory& aDirectory)
    : mDirectory(aDirectory)
  {
  }

  /// Name of the host that owns an organisation. Empty while no other host is
  /// known: a node that has just started is not alone.
  const std::string& OwnerOf(const std::string& aOrganisation);
  bool IsOwnedHere(const std::string& aOrganisation)
  {
    return OwnerOf(aOrganisation) == mDirectory.Self();
  }

  /// Reachable hosts as a part of the known ones that are not stopping.
  double ReachableShare(time_point aNow);
  /// Number of known hosts that are not stopping, reachable or not.
  std::size_t KnownCount(time_point aNow);

  /// Records that a host was removed from the directory because it was
  /// unreachable for long. It counts as known for ten minutes more, since it
  /// may be in the other part of a partition.
  void RecordRemoved(const std::string& aName, time_point aNow);

private:
  /// Takes over changes of the directory.
  void Refresh();
  void ForgetRemoved(time_point aNow);

  const host_directory& mDirectory;
  std::optional<std::uint64_t> mRevision;
  std::vector<std::string> mCandidates;
  std::size_t mKnown = 0;
  /// Owners computed for the present candidates.
  std::unordered_map<std::string, std::string> mOwners;
  std::map<std::string, time_point> mRemoved;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_QUOTA_OWNERS_H_
