#ifndef EELGRASSTRACK_MEMBERSHIP_MEMBER_TABLE_H_
#define EELGRASSTRACK_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <map>
#include <vector>

#include "base/clock.h"
#include "membership/member.h"

namespace eelgrasstrack {

/// The table is compared between nodes in this many parts.
inline constexpr std::size_t kMemberBuckets = 64;

using bucket_hashes = std::array<std::uint64_t, kMemberBuckets>;

struct member_entry
{
  member_record record;
  /// When this node learned the record.
  time_point learned_at{};
};

/// All members that a node knows of, with hashes for anti-entropy.
/// Records of dead and left members stay for a while, so that late facts about
/// them are refused, and do not count in the hashes.
class member_table
{
public:
  /// Takes a record if it supersedes the known one. Returns whether it did.
  bool Merge(const member_record& aRecord, time_point aNow);

  const member_entry* Find(const node_id& aNode) const;
  const std::map<node_id, member_entry>& Entries() const { return mEntries; }

  /// Nodes that are alive, in order.
  std::vector<node_id> AliveNodes() const;
  std::size_t AliveCount() const { return mAliveCount; }
  std::size_t SuspectCount() const { return mSuspectCount; }

  /// Rises with every change.
  std::uint64_t Generation() const { return mGeneration; }

  std::uint64_t Hash() const { return mHash; }
  const bucket_hashes& BucketHashes() const { return mBuckets; }
  std::vector<member_record> RecordsInBucket(std::size_t aBucket) const;

  /// Drops dead and left members that have not changed since `aBefore`.
  void PurgeTombstones(time_point aBefore);

  /// Whether most of a failure domain with at least three members is silent.
  /// Its members are then unreachable rather than dead.
  bool DomainUnreachable(const std::string& aDomain) const;

private:
  struct domain_count
  {
    std::size_t alive = 0;
    std::size_t suspect = 0;
  };

  void UpdateTotals(const member_record& aRecord, bool aAdd);

  std::map<node_id, member_entry> mEntries;
  std::map<std::string, domain_count> mDomains;
  bucket_hashes mBuckets{};
  std::uint64_t mHash = 0;
  std::uint64_t mGeneration = 0;
  std::size_t mAliveCount = 0;
  std::size_t mSuspectCount = 0;
};

/// The bucket that a node belongs to.
std::size_t
BucketOf(const node_id& aNode);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_MEMBER_TABLE_H_
