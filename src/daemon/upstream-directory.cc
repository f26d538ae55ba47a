#include "daemon/upstream-directory.h"

namespace eelgrasstrack {

const std::vector<upstream_candidate>&
upstream_directory::Find(const member_table& aMembers,
                         const std::string& aService,
                         const std::string& aVersion)
{
  static const std::vector<upstream_candidate> sNone;
  if (mGeneration != aMembers.Generation()) {
    Rebuild(aMembers);
  }
  auto found = mCandidates.find(service_version{ aService, aVersion });
  return found == mCandidates.end() ? sNone : found->second;
}

void
upstream_directory::Rebuild(const member_table& aMembers)
{
  mGeneration = aMembers.Generation();
  mCandidates.clear();
  for (const auto& [node, entry] : aMembers.Entries()) {
    const member_record& record = entry.record;
    bool acceptsCalls = record.state == member_state::alive &&
                        record.upstream && !record.upstream->leaving;
    if (acceptsCalls) {
      service_version key{ record.upstream->service, record.upstream->version };
      mCandidates[key].push_back(
        { node, record.domain, record.incarnation, record.upstream->slots });
    }
  }
}

} // namespace eelgrasstrack
