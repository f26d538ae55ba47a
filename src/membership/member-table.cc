#include "membership/member-table.h"

#include <array>

#include "base/hash.h"

namespace eelgrasstrack {

namespace {

constexpr std::array<std::string_view, 4> kStateNames{ "alive",
                                                       "suspect",
                                                       "dead",
                                                       "left" };

bool
IsAliveOrSuspect(member_state aState)
{
  return aState == member_state::alive || aState == member_state::suspect;
}

/// Hash of the node name and the fields that decide which record supersedes
/// another.
std::uint64_t
RecordHash(const member_record& aRecord)
{
  std::uint64_t seed = aRecord.incarnation * 0x9e3779b97f4a7c15ULL;
  seed ^= aRecord.sequence * 0xc2b2ae3d27d4eb4fULL;
  seed += static_cast<std::uint64_t>(aRecord.state);
  return HashOf(aRecord.node, seed);
}

} // namespace

std::string_view
NameOf(member_state aState)
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

bool
Supersedes(const member_record& aLeft, const member_record& aRight)
{
  if (aLeft.incarnation != aRight.incarnation) {
    return aLeft.incarnation > aRight.incarnation;
  }
  if (aLeft.sequence != aRight.sequence) {
    return aLeft.sequence > aRight.sequence;
  }
  return aLeft.state > aRight.state;
}

std::size_t
BucketOf(const node_id& aNode)
{
  return HashOf(aNode) % kMemberBuckets;
}

void
member_table::UpdateTotals(const member_record& aRecord, bool aAdd)
{
  if (!IsAliveOrSuspect(aRecord.state)) {
    return;
  }
  std::uint64_t hash = RecordHash(aRecord);
  mHash ^= hash;
  mBuckets[BucketOf(aRecord.node)] ^= hash;
  domain_count& domain = mDomains[aRecord.domain];
  std::size_t step = aAdd ? 1 : std::size_t(-1);
  if (aRecord.state == member_state::alive) {
    domain.alive += step;
    mAliveCount += step;
  } else {
    domain.suspect += step;
    mSuspectCount += step;
  }
}

bool
member_table::Merge(const member_record& aRecord, time_point aNow)
{
  auto found = mEntries.find(aRecord.node);
  if (found != mEntries.end()) {
    if (!Supersedes(aRecord, found->second.record)) {
      return false;
    }
    UpdateTotals(found->second.record, false);
    found->second = { aRecord, aNow };
  } else {
    mEntries.emplace(aRecord.node, member_entry{ aRecord, aNow });
  }
  UpdateTotals(aRecord, true);
  ++mGeneration;
  return true;
}

const member_entry*
member_table::Find(const node_id& aNode) const
{
  auto found = mEntries.find(aNode);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::vector<node_id>
member_table::AliveNodes() const
{
  std::vector<node_id> nodes;
  nodes.reserve(mAliveCount);
  for (const auto& [node, entry] : mEntries) {
    if (entry.record.state == member_state::alive) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<member_record>
member_table::RecordsInBucket(std::size_t aBucket) const
{
  std::vector<member_record> records;
  for (const auto& [node, entry] : mEntries) {
    if (BucketOf(node) == aBucket) {
      records.push_back(entry.record);
    }
  }
  return records;
}

void
member_table::PurgeTombstones(time_point aBefore)
{
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    bool expired = !IsAliveOrSuspect(entry->second.record.state) &&
                   entry->second.learned_at < aBefore;
    entry = expired ? mEntries.erase(entry) : std::next(entry);
  }
}

bool
member_table::DomainUnreachable(const std::string& aDomain) const
{
  auto found = mDomains.find(aDomain);
  if (found == mDomains.end()) {
    return false;
  }
  const domain_count& count = found->second;
  constexpr std::size_t kMinMembers = 3;
  return count.alive + count.suspect >= kMinMembers &&
         count.suspect > count.alive;
}

} // namespace eelgrasstrack
