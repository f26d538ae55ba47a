#ifndef EELGRASSTRACK_FLEET_BOOTSTRAP_RECORD_H_
#define EELGRASSTRACK_FLEET_BOOTSTRAP_RECORD_H_

#include <map>
#include <vector>

#include "base/error.h"
#include "membership/member.h"

namespace eelgrasstrack {

/// Key of the store object that holds the bootstrap record.
inline constexpr const char* kBootstrapKey = "bootstrap";

/// Number of nodes that the record lists for each failure domain.
inline constexpr std::size_t kBootstrapNodesPerDomain = 4;

/// Contact points for starting nodes: a few nodes of each failure domain. A
/// starting node also uses the fleet size, to choose the time over which it
/// spreads its first read of the configuration.
struct bootstrap_record
{
  std::size_t fleet_size = 0;
  std::map<std::string, std::vector<node_id>> domains;
};

std::string
EncodeBootstrap(const bootstrap_record& aRecord);

/// Fails with `internal` if the text is not an encoded record.
result<bootstrap_record>
DecodeBootstrap(const std::string& aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_BOOTSTRAP_RECORD_H_
