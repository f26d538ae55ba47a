#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_STATE_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrasstrack {

/// The share of all callers. Shares are in ten-thousandths.
inline constexpr std::uint32_t kFullShare = 10000;

/// The state of an open rollout that nodes exchange. Merging is commutative,
/// associative and idempotent: the greatest permitted share wins, a halt is
/// final, and the set of ejected upstreams only grows.
struct rollout_state
{
  std::string id;
  /// Callers whose bucket is below this share use the new version.
  std::uint32_t share = 0;
  bool halted = false;
  /// Reason for the halt. If several nodes halted, the reason that comes first
  /// in string order wins.
  std::string halt_reason;
  /// Whether a collector has found the rollout complete.
  bool complete = false;
  /// Nodes whose upstream of the new version receives no calls.
  std::set<std::string> ejected;
  std::uint64_t callers_exposed = 0;
  std::uint64_t callers_hurt = 0;

  bool operator==(const rollout_state&) const = default;
};

/// Merges `aFrom` into `aInto` and returns whether `aInto` changed. Once either
/// state is halted, the share of `aInto` no longer changes.
bool
MergeInto(rollout_state& aInto, const rollout_state& aFrom);

/// The states of all open rollouts known to a node.
class rollout_state_table
{
public:
  /// Merges one state and returns whether the table changed.
  bool Merge(const rollout_state& aState);

  /// The state of a rollout, or null.
  const rollout_state* Find(const std::string& aId) const;
  const std::map<std::string, rollout_state>& States() const { return mStates; }

  /// Removes the states of rollouts that are not in `aOpen`.
  void KeepOnly(const std::set<std::string>& aOpen);

  /// Hash of all states. Equal tables have equal hashes.
  std::uint64_t Hash() const;

private:
  std::map<std::string, rollout_state> mStates;
};

/// The bucket of a caller in a rollout, from 0 to `kFullShare` - 1.
std::uint32_t
BucketOfCaller(const std::string& aRolloutId, const std::string& aCaller);

/// Whether a caller uses the new version.
bool
IsExposed(const rollout_state& aState, const std::string& aCaller);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_STATE_H_
