#ifndef EELGRASSTRACK_MESH_ROLE_ASSIGNMENT_H_
#define EELGRASSTRACK_MESH_ROLE_ASSIGNMENT_H_

#include "mesh/host-directory.h"

namespace eelgrasstrack {

/// Who does what only a few nodes need to do, computed by each node from its
/// own directory without a message (rendezvous hashing). Views may differ for
/// a moment: a duty done twice does no harm.

constexpr std::size_t kWatchersPerDomain = 2;

/// Hosts of a failure domain that watch the store for the others, at most
/// `aCount` of them.
std::vector<std::string>
WatchersOf(const host_directory& aDirectory,
           const std::string& aDomain,
           std::size_t aCount = kWatchersPerDomain);

/// Watchers that decide on the move of a service, the first one first.
std::vector<std::string>
DecidersOf(const host_directory& aDirectory, const std::string& aService);

/// Place of a name in a list, or -1.
int
IndexOf(const std::vector<std::string>& aList, const std::string& aName);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_ROLE_ASSIGNMENT_H_
