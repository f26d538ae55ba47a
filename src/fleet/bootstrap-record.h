#ifndef EELGRASSTRACK_FLEET_BOOTSTRAP_RECORD_H_
#define EELGRASSTRACK_FLEET_BOOTSTRAP_RECORD_H_

#include <map>
#include <vector>

#include "base/error.h"
#include "membership/member.h"

namespace eelgrasstrack {

/// Key of the one object that holds the bootstrap record.
inline constexpr const char* kBootstrapKey = "bootstrap";

/// How many nodes of each failure domain are listed.
inline constexpr std::size_t kBootstrapNodesPerDomain = 4;

/// Where a starting node finds others: a handful of nodes per failure domain,
/// and the size of the fleet, from which starting nodes spread their reads.
struct bootstrap_record
{
  std::size_t fleet_size = 0;
  std::map<std::string, std::vector<node_id>> domains;
};

std::string
EncodeBootstrap(const bootstrap_record& aRecord);

/// Fails with `internal` if the store holds something else.
result<bootstrap_record>
DecodeBootstrap(const std::string& aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_BOOTSTRAP_RECORD_H_
