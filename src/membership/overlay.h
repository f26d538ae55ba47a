#ifndef EELGRASSTRACK_MEMBERSHIP_OVERLAY_H_
#define EELGRASSTRACK_MEMBERSHIP_OVERLAY_H_

#include <vector>

#include "membership/member-table.h"

namespace eelgrasstrack {

/// The neighbours that a node keeps links to and probes: its successor in each
/// of three rings. A ring orders the nodes by a hash with its own seed. One
/// ring contains the node's own failure domain, two contain the whole fleet.
/// The diameter of a union of random rings grows with the logarithm of the
/// fleet size (Law and Siu, 2003). Each node is probed by its predecessors.
std::vector<node_id>
NeighboursOf(const member_table& aMembers,
             const node_id& aSelf,
             const std::string& aDomain);

/// Up to `aCount` alive members with the highest rendezvous weight for a key,
/// highest first. `aDomain` restricts the choice to one failure domain.
std::vector<node_id>
RendezvousMembers(const member_table& aMembers,
                  const std::string& aKey,
                  std::size_t aCount,
                  const std::string* aDomain = nullptr);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_OVERLAY_H_
