#ifndef EELGRASSTRACK_MEMBERSHIP_OVERLAY_H_
#define EELGRASSTRACK_MEMBERSHIP_OVERLAY_H_

#include <vector>

#include "membership/member-table.h"

namespace eelgrasstrack {

/// The neighbours that a node keeps links to and probes: its successor in
/// three rings, each ordered by another hash of the node names. One ring holds
/// the node's own failure domain, two hold the whole fleet. The union of random
/// rings has a diameter that grows with the logarithm of the fleet (Law and
/// Siu, 2003); each node is probed by the predecessors in its rings.
std::vector<node_id>
NeighboursOf(const member_table& aMembers,
             const node_id& aSelf,
             const std::string& aDomain);

/// The `aCount` alive members with the highest rendezvous weight for a key,
/// highest first. With `aDomain`, only members of that domain.
std::vector<node_id>
RendezvousMembers(const member_table& aMembers,
                  const std::string& aKey,
                  std::size_t aCount,
                  const std::string* aDomain = nullptr);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_OVERLAY_H_
