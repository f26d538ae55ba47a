#include "mesh/role-assignment.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace eelgrasstrack {

namespace {

/// Number of deciders per service.
constexpr std::size_t kDeciderCount = 3;
/// Hashed together with host names. All nodes must use the same key.
constexpr const char* kWatcherRoleKey = "watch the store";

std::vector<std::string>
TopByWeight(std::vector<std::string> aNames,
            const std::string& aRoleKey,
            std::size_t aCount)
{
  std::sort(aNames.begin(),
            aNames.end(),
            [&aRoleKey](const std::string& aLeft, const std::string& aRight) {
              return RendezvousWeight(aRoleKey, aLeft) >
                     RendezvousWeight(aRoleKey, aRight);
            });
  if (aNames.size() > aCount) {
    aNames.resize(aCount);
  }
  return aNames;
}

} // namespace

std::vector<std::string>
WatchersOf(const host_directory& aDirectory,
           const std::string& aDomain,
           std::size_t aCount)
{
  std::vector<std::string> names;
  for (const auto& [name, host] : aDirectory.All()) {
    if (host.record.domain == aDomain && !host.unreachable &&
        !host.record.leaving) {
      names.push_back(name);
    }
  }
  return TopByWeight(std::move(names), kWatcherRoleKey, aCount);
}

std::vector<std::string>
DecidersOf(const host_directory& aDirectory, const std::string& aService)
{
  std::set<std::string> domains;
  for (const auto& [name, host] : aDirectory.All()) {
    domains.insert(host.record.domain);
  }
  std::vector<std::string> watchers;
  for (const std::string& domain : domains) {
    for (std::string& name : WatchersOf(aDirectory, domain)) {
      watchers.push_back(std::move(name));
    }
  }
  return TopByWeight(std::move(watchers), aService, kDeciderCount);
}

int
IndexOf(const std::vector<std::string>& aList, const std::string& aName)
{
  auto found = std::find(aList.begin(), aList.end(), aName);
  return found == aList.end() ? -1 : static_cast<int>(found - aList.begin());
}

} // namespace eelgrasstrack
