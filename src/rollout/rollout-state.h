#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_STATE_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrasstrack {

/// Shares of callers are counted in ten-thousandths.
inline constexpr std::uint32_t kFullShare = 10000;

/// What spreads between nodes about an open rollout. Merging is commutative,
/// associative and idempotent: the share is the greatest permitted one, a halt
/// stays, and the set of ejected upstreams only grows.
struct rollout_state
{
  std::string id;
  /// Callers whose bucket is below it get the new version.
  std::uint32_t share = 0;
  bool halted = false;
  /// Why, from the halt with the smallest text if several nodes halted.
  std::string halt_reason;
  /// A collector found the move complete.
  bool complete = false;
  /// Nodes whose upstream of the new version gets no work.
  std::set<std::string> ejected;
  std::uint64_t callers_exposed = 0;
  std::uint64_t callers_hurt = 0;

  bool operator==(const rollout_state&) const = default;
};

/// Merges `aFrom` into `aInto`; returns whether that changed anything.
/// A share that comes after a halt is not taken.
bool
MergeInto(rollout_state& aInto, const rollout_state& aFrom);

/// The states of all open rollouts that a node knows of.
class rollout_state_table
{
public:
  /// Returns whether anything changed.
  bool Merge(const rollout_state& aState);

  const rollout_state* Find(const std::string& aId) const;
  const std::map<std::string, rollout_state>& States() const { return mStates; }

  /// Drops the states of rollouts that are not in `aOpen`.
  void KeepOnly(const std::set<std::string>& aOpen);

  /// Equal boards have equal hashes.
  std::uint64_t Hash() const;

private:
  std::map<std::string, rollout_state> mStates;
};

/// The bucket of a caller in a rollout, from 0 to `kFullShare` - 1.
std::uint32_t
BucketOfCaller(const std::string& aRolloutId, const std::string& aCaller);

/// Whether a caller gets the new version.
bool
IsExposed(const rollout_state& aState, const std::string& aCaller);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_STATE_H_
