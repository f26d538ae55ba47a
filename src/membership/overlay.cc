#include "membership/overlay.h"

#include <algorithm>

#include "base/hash.h"

namespace eelgrasstrack {

namespace {

/// A ring of members, ordered by their hash with `seed`.
struct ring
{
  std::uint64_t seed;
  bool own_domain_only;
};

constexpr ring kRings[] = { { 1, true }, { 2, false }, { 3, false } };

/// Alive member that follows `aSelf` in a ring, or null if there is none.
const node_id*
SuccessorIn(const ring& aRing,
            const member_table& aMembers,
            const node_id& aSelf,
            const std::string& aDomain)
{
  std::uint64_t own = HashOf(aSelf, aRing.seed);
  std::uint64_t nearest = UINT64_MAX;
  const node_id* successor = nullptr;
  for (const auto& [node, entry] : aMembers.Entries()) {
    bool eligible = entry.record.state == member_state::alive &&
                    node != aSelf &&
                    (!aRing.own_domain_only || entry.record.domain == aDomain);
    if (!eligible) {
      continue;
    }
    std::uint64_t distance = HashOf(node, aRing.seed) - own;
    if (distance < nearest) {
      nearest = distance;
      successor = &node;
    }
  }
  return successor;
}

struct weighted_member
{
  std::uint64_t weight;
  const node_id* node;
};

} // namespace

std::vector<node_id>
NeighboursOf(const member_table& aMembers,
             const node_id& aSelf,
             const std::string& aDomain)
{
  std::vector<node_id> neighbours;
  for (const ring& each : kRings) {
    const node_id* successor = SuccessorIn(each, aMembers, aSelf, aDomain);
    if (successor != nullptr &&
        std::find(neighbours.begin(), neighbours.end(), *successor) ==
          neighbours.end()) {
      neighbours.push_back(*successor);
    }
  }
  return neighbours;
}

std::vector<node_id>
RendezvousMembers(const member_table& aMembers,
                  const std::string& aKey,
                  std::size_t aCount,
                  const std::string* aDomain)
{
  std::vector<weighted_member> weighted;
  for (const auto& [node, entry] : aMembers.Entries()) {
    bool eligible = entry.record.state == member_state::alive &&
                    (aDomain == nullptr || entry.record.domain == *aDomain);
    if (eligible) {
      weighted.push_back({ RendezvousWeight(aKey, node), &node });
    }
  }
  std::size_t count = std::min(aCount, weighted.size());
  std::partial_sort(
    weighted.begin(),
    weighted.begin() + static_cast<std::ptrdiff_t>(count),
    weighted.end(),
    [](const weighted_member& aLeft, const weighted_member& aRight) {
      return aLeft.weight > aRight.weight;
    });
  std::vector<node_id> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(*weighted[i].node);
  }
  return chosen;
}

} // namespace eelgrasstrack
