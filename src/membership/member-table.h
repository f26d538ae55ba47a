#ifndef EELGRASSTRACK_MEMBERSHIP_MEMBER_TABLE_H_
#define EELGRASSTRACK_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <map>
#include <vector>

#include "base/clock.h"
#include "membership/member.h"

namespace eelgrasstrack {

/// Number of buckets that the table is divided into for anti-entropy.
inline constexpr std::size_t kMemberBuckets = 64;

/// One hash per bucket of the member table.
using bucket_hashes = std::array<std::uint64_t, kMemberBuckets>;

/// A member record and the time at which this node stored it.
struct member_entry
{
  member_record record;
  time_point learned_at{};
};

/// All members that a node knows of, with hashes for anti-entropy.
/// Dead and left members stay as tombstones for a while, so that outdated
/// records of them are rejected. Tombstones are not part of the hashes.
class member_table
{
public:
  /// Stores a record if it supersedes the known one or the node is new.
  /// Returns whether the record was stored.
  bool Merge(const member_record& aRecord, time_point aNow);

  /// Returns null if the node is unknown.
  const member_entry* Find(const node_id& aNode) const;
  const std::map<node_id, member_entry>& Entries() const { return mEntries; }

  /// Nodes that are alive, sorted by name.
  std::vector<node_id> AliveNodes() const;
  std::size_t AliveCount() const { return mAliveCount; }
  std::size_t SuspectCount() const { return mSuspectCount; }

  /// Number of records stored so far by `Merge`.
  std::uint64_t Generation() const { return mGeneration; }

  /// Hash of all alive and suspect members, independent of their order.
  std::uint64_t Hash() const { return mHash; }
  const bucket_hashes& BucketHashes() const { return mBuckets; }
  /// Records of one bucket, tombstones included.
  std::vector<member_record> RecordsInBucket(std::size_t aBucket) const;

  /// Removes dead and left members whose record was stored before `aBefore`.
  void PurgeTombstones(time_point aBefore);

  /// Whether most members of a failure domain are suspect, out of at least
  /// three alive or suspect ones. The cause is then more likely a network
  /// partition than the failure of each node, so its suspects are not declared
  /// dead.
  bool DomainUnreachable(const std::string& aDomain) const;

private:
  struct domain_count
  {
    std::size_t alive = 0;
    std::size_t suspect = 0;
  };

  /// Adds a record to the counts and hashes, or removes it from them.
  void UpdateTotals(const member_record& aRecord, bool aAdd);

  std::map<node_id, member_entry> mEntries;
  std::map<std::string, domain_count> mDomains;
  bucket_hashes mBuckets{};
  std::uint64_t mHash = 0;
  std::uint64_t mGeneration = 0;
  std::size_t mAliveCount = 0;
  std::size_t mSuspectCount = 0;
};

/// Bucket of the member table that a node belongs to.
std::size_t
BucketOf(const node_id& aNode);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_MEMBER_TABLE_H_
