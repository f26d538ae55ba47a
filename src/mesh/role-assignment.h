#ifndef EELGRASSTRACK_MESH_ROLE_ASSIGNMENT_H_
#define EELGRASSTRACK_MESH_ROLE_ASSIGNMENT_H_

#include "mesh/host-directory.h"

namespace eelgrasstrack {

// Assignment of roles that only a few nodes have. Each node computes it from
// its own directory by rendezvous hashing, without messages. Directories may
// differ briefly. Two nodes may then do the same work, which does no harm.

/// Number of nodes that watch the store in each failure domain.
constexpr std::size_t kWatchersPerDomain = 2;

/// Returns at most `aCount` hosts of a failure domain that watch the store for
/// the others.
std::vector<std::string>
WatchersOf(const host_directory& aDirectory,
           const std::string& aDomain,
           std::size_t aCount = kWatchersPerDomain);

/// Returns the watchers that decide on the rollout of a service, in the order
/// in which they act.
std::vector<std::string>
DecidersOf(const host_directory& aDirectory, const std::string& aService);

/// Returns the index of a name in a list, or -1.
int
IndexOf(const std::vector<std::string>& aList, const std::string& aName);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_ROLE_ASSIGNMENT_H_
