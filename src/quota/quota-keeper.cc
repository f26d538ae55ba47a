#include "quota/quota-keeper.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

/// Hosts that are probed after one was lost, at least and as a part of all. In
/// a partition, several of them are lost too and lead to the others; a single
/// lost host, or a probe that a busy host answers late, does not spread.
constexpr std::size_t kMinProbesAfterLoss = 8;
constexpr std::size_t kHostsPerProbe = 16;
/// Minimum time between two log lines on one organisation at its limit.
constexpr duration kLogInterval = std::chrono::seconds(10);

void
LogOwnership(const std::string& aOrganisation, bool aOwned, double aShare)
{
  LogEvent(log_level::info,
           "quota_owner",
           { { "organisation", aOrganisation },
             { "owned", aOwned ? "yes" : "no" },
             { "share", std::to_string(aShare) } });
}

} // namespace

quota_keeper::quota_keeper(const clock_source& aClock,
                           const host_directory& aDirectory,
                           quota_owners& aOwners)
  : mClock(aClock)
  , mDirectory(aDirectory)
  , mOwners(aOwners)
{
}

void
quota_keeper::SetBounds(const quota_bounds& aBounds)
{
  mBounds = aBounds;
  mRevision.reset();
  Update();
}

void
quota_keeper::SetTable(traffic_table_ptr aTable)
{
  mTable = std::move(aTable);
  const organisation_table* organisations =
    mTable ? mTable->Organisations() : nullptr;
  std::erase_if(mOwned, [organisations](const auto& aEntry) {
    const organisation* found =
      organisations ? organisations->FindByName(aEntry.first) : nullptr;
    return found == nullptr || !found->HasLimit();
  });
  mRevision.reset();
  Update();
}

void
quota_keeper::Update()
{
  // The share also changes when a removed host no longer counts.
  double share = mOwners.ReachableShare(mClock.Now());
  if (mRevision == mDirectory.Revision() && share == mShare) {
    return;
  }
  mRevision = mDirectory.Revision();
  mShare = share;
  if (!mTable || mTable->Organisations() == nullptr) {
    return;
  }
  for (const organisation& entry : mTable->Organisations()->All()) {
    if (entry.HasLimit()) {
      UpdateOwnership(entry, share);
    }
  }
}

void
quota_keeper::UpdateOwnership(const organisation& aOrganisation, double aShare)
{
  const std::string& name = aOrganisation.name;
  auto owned = mOwned.find(name);
  if (!mOwners.IsOwnedHere(name)) {
    if (owned != mOwned.end()) {
      mOwned.erase(owned);
      LogOwnership(name, false, aShare);
    }
    return;
  }
  time_point now = mClock.Now();
  quota_terms terms = TermsOf(aOrganisation, mBounds);
  if (owned == mOwned.end()) {
    owned =
      mOwned.emplace(name, owned_organisation{ permit_bucket(terms, now) })
        .first;
    LogOwnership(name, true, aShare);
  }
  owned->second.bucket.SetTerms(terms, now);
  owned->second.bucket.SetShare(aShare, now);
}

void
quota_keeper::ProbeNext()
{
  ProbeRandomHosts(1);
}

void
quota_keeper::HandleUnreachableHost()
{
  ProbeRandomHosts(
    std::max(kMinProbesAfterLoss, mDirectory.All().size() / kHostsPerProbe));
}

void
quota_keeper::ProbeRandomHosts(std::size_t aCount)
{
  Update();
  if (mOwned.empty() || !mProbe) {
    return;
  }
  std::vector<std::string> reachable;
  for (const auto& [name, host] : mDirectory.All()) {
    if (!host.unreachable && name != mDirectory.Self()) {
      reachable.push_back(name);
    }
  }
  std::vector<std::string> chosen;
  std::sample(reachable.begin(),
              reachable.end(),
              std::back_inserter(chosen),
              aCount,
              mRandom);
  for (const std::string& name : chosen) {
    mProbe(name);
  }
}

std::optional<permit_grant>
quota_keeper::Take(const std::string& aOrganisation,
                   const std::string& aNode,
                   unsigned aCount)
{
  Update();
  const organisation_table* organisations =
    mTable ? mTable->Organisations() : nullptr;
  const organisation* known =
    organisations ? organisations->FindByName(aOrganisation) : nullptr;
  if (known == nullptr || !mOwners.IsOwnedHere(aOrganisation)) {
    return std::nullopt;
  }
  if (!known->HasLimit()) {
    // The asking node has a configuration with a limit, this one not.
    return permit_grant{ aCount, duration(0) };
  }
  owned_organisation& owned = mOwned.at(aOrganisation);
  permit_grant grant = owned.bucket.Take(aNode, aCount, mClock.Now());
  if (grant.count < aCount) {
    RecordRefused(aOrganisation, owned, aCount - grant.count);
  }
  return grant;
}

void
quota_keeper::RecordRefused(const std::string& aOrganisation,
                            owned_organisation& aOwned,
                            unsigned aRefused)
{
  aOwned.refused += aRefused;
  time_point now = mClock.Now();
  if (aOwned.logged_at && now - *aOwned.logged_at < kLogInterval) {
    return;
  }
  aOwned.logged_at = now;
  LogEvent(log_level::info,
           "quota_reached",
           { { "organisation", aOrganisation },
             { "refused_permits", std::to_string(aOwned.refused) } });
  aOwned.refused = 0;
}

std::vector<permit_answer>
quota_keeper::Answer(const permit_request& aRequest)
{
  std::vector<permit_answer> answers;
  for (const permit_ask& ask : aRequest.asks) {
    std::optional<permit_grant> grant =
      Take(ask.organisation, aRequest.from, ask.count);
    if (grant) {
      answers.push_back({ ask.organisation, *grant });
      continue;
    }
    // The asking node may know before this one that the owner is lost.
    const std::string& owner = mOwners.OwnerOf(ask.organisation);
    if (mProbe && !owner.empty() && owner != mDirectory.Self()) {
      mProbe(owner);
    }
  }
  return answers;
}

} // namespace eelgrasstrack
