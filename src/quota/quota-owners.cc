#include "quota/quota-owners.h"

#include <algorithm>

#include "base/hash.h"

namespace eelgrasstrack {

namespace {

constexpr duration kRememberRemoved = std::chrono::minutes(10);
/// Hosts that must be known before any of them owns an organisation.
constexpr std::size_t kMinHosts = 2;

std::string
ChooseOwner(const std::vector<std::string>& aCandidates,
            const std::string& aOrganisation)
{
  auto owner = std::max_element(
    aCandidates.begin(),
    aCandidates.end(),
    [&aOrganisation](const std::string& aLeft, const std::string& aRight) {
      return RendezvousWeight(aOrganisation, aLeft) <
             RendezvousWeight(aOrganisation, aRight);
    });
  return owner == aCandidates.end() ? std::string() : *owner;
}

} // namespace

void
quota_owners::Refresh()
{
  if (mRevision == mDirectory.Revision()) {
    return;
  }
  mRevision = mDirectory.Revision();
  std::vector<std::string> candidates;
  mKnown = 0;
  for (const auto& [name, host] : mDirectory.All()) {
    if (host.record.leaving) {
      continue;
    }
    ++mKnown;
    if (!host.unreachable) {
      candidates.push_back(name);
    }
  }
  if (mDirectory.All().size() < kMinHosts) {
    candidates.clear();
  }
  if (candidates != mCandidates) {
    mCandidates = std::move(candidates);
    mOwners.clear();
  }
}

const std::string&
quota_owners::OwnerOf(const std::string& aOrganisation)
{
  Refresh();
  auto known = mOwners.find(aOrganisation);
  if (known == mOwners.end()) {
    known =
      mOwners.emplace(aOrganisation, ChooseOwner(mCandidates, aOrganisation))
        .first;
  }
  return known->second;
}

double
quota_owners::ReachableShare(time_point aNow)
{
  std::size_t known = KnownCount(aNow);
  return known == 0 ? 0
                    : static_cast<double>(mCandidates.size()) /
                        static_cast<double>(known);
}

std::size_t
quota_owners::KnownCount(time_point aNow)
{
  Refresh();
  ForgetRemoved(aNow);
  return mKnown + mRemoved.size();
}

void
quota_owners::RecordRemoved(const std::string& aName, time_point aNow)
{
  ForgetRemoved(aNow);
  mRemoved[aName] = aNow;
}

void
quota_owners::ForgetRemoved(time_point aNow)
{
  std::erase_if(mRemoved, [this, aNow](const auto& aEntry) {
    return aNow - aEntry.second > kRememberRemoved ||
           !mDirectory.WasRemoved(aEntry.first);
  });
}

} // namespace eelgrasstrack
