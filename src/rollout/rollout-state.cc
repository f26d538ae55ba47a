#include "rollout/rollout-state.h"

#include <algorithm>

#include "base/hash.h"
#include "base/invariant.h"

namespace eelgrasstrack {

bool
MergeInto(rollout_state& aInto, const rollout_state& aFrom)
{
  rollout_state before = aInto;
  if (!aInto.halted && !aFrom.halted) {
    aInto.share = std::max(aInto.share, aFrom.share);
  }
  if (aFrom.halted) {
    bool firstReason = !aInto.halted || aFrom.halt_reason < aInto.halt_reason;
    aInto.halt_reason = firstReason ? aFrom.halt_reason : aInto.halt_reason;
    aInto.halted = true;
  }
  aInto.complete = aInto.complete || aFrom.complete;
  aInto.ejected.insert(aFrom.ejected.begin(), aFrom.ejected.end());
  aInto.callers_exposed =
    std::max(aInto.callers_exposed, aFrom.callers_exposed);
  aInto.callers_hurt = std::max(aInto.callers_hurt, aFrom.callers_hurt);
  CheckInvariant(invariant::share_frozen_after_halt,
                 !before.halted || aInto.share == before.share);
  CheckInvariant(invariant::exposure_only_grows, aInto.share >= before.share);
  return !(aInto == before);
}

bool
rollout_state_table::Merge(const rollout_state& aState)
{
  auto [found, added] = mStates.try_emplace(aState.id);
  if (added) {
    found->second.id = aState.id;
  }
  bool changed = MergeInto(found->second, aState);
  return changed || added;
}

const rollout_state*
rollout_state_table::Find(const std::string& aId) const
{
  auto found = mStates.find(aId);
  return found == mStates.end() ? nullptr : &found->second;
}

void
rollout_state_table::KeepOnly(const std::set<std::string>& aOpen)
{
  for (auto state = mStates.begin(); state != mStates.end();) {
    state =
      aOpen.count(state->first) == 0 ? mStates.erase(state) : std::next(state);
  }
}

std::uint64_t
rollout_state_table::Hash() const
{
  std::uint64_t hash = 0;
  for (const auto& [id, state] : mStates) {
    // Ignore the share after a halt. It has no effect and may differ between
    // nodes.
    std::uint64_t own = HashOf(id, state.halted ? 0 : state.share);
    own = HashOf(state.halt_reason, own + (state.halted ? 1 : 0));
    own += state.complete ? 2 : 0;
    own += state.callers_exposed * 31 + state.callers_hurt;
    for (const std::string& node : state.ejected) {
      own = HashOf(node, own);
    }
    hash ^= own;
  }
  return hash;
}

std::uint32_t
BucketOfCaller(const std::string& aRolloutId, const std::string& aCaller)
{
  return static_cast<std::uint32_t>(HashOf(aCaller, HashOf(aRolloutId)) %
                                    kFullShare);
}

bool
IsExposed(const rollout_state& aState, const std::string& aCaller)
{
  return !aState.halted && BucketOfCaller(aState.id, aCaller) < aState.share;
}

} // namespace eelgrasstrack
