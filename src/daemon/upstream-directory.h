#ifndef EELGRASSTRACK_DAEMON_UPSTREAM_DIRECTORY_H_
#define EELGRASSTRACK_DAEMON_UPSTREAM_DIRECTORY_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "membership/member-table.h"
#include "routing/upstream-picker.h"

namespace eelgrasstrack {

/// Index of the upstreams that accept calls, by service and version. Rebuilt
/// when the member table has changed.
class upstream_directory
{
public:
  /// Returns the upstreams of a service version. The reference is valid until
  /// the next call.
  const std::vector<upstream_candidate>& Find(const member_table& aMembers,
                                              const std::string& aService,
                                              const std::string& aVersion);

private:
  struct service_version
  {
    std::string service;
    std::string version;
    bool operator<(const service_version& aOther) const
    {
      return std::tie(service, version) <
             std::tie(aOther.service, aOther.version);
    }
  };

  void Rebuild(const member_table& aMembers);

  /// Generation of the member table at the last rebuild.
  std::uint64_t mGeneration = UINT64_MAX;
  std::map<service_version, std::vector<upstream_candidate>> mCandidates;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DAEMON_UPSTREAM_DIRECTORY_H_
