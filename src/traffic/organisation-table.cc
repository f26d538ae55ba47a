#include "traffic/organisation-table.h"

#include <algorithm>
#include <random>

#include "base/hash.h"

namespace eelgrasstrack {

namespace {

/// Whether a name can be the value of a header field and one word of a message
/// between nodes.
bool
IsWord(std::string_view aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter < 0x7F;
         });
}

bool
IsLimit(double aValue)
{
  constexpr double kMaxLimit = 1e9;
  return aValue >= 0 && aValue <= kMaxLimit;
}

result<void>
CheckOrganisation(const organisation& aOrganisation)
{
  auto refuse = [&aOrganisation](const char* aReason) {
    return Fail(error_kind::invalid_argument,
                "organisation " + aOrganisation.name + ": " + aReason);
  };
  if (!IsWord(aOrganisation.name)) {
    return refuse("name is empty or has a space or a control character");
  }
  if (!IsLimit(aOrganisation.requests_per_second) ||
      !IsLimit(aOrganisation.burst)) {
    return refuse("rate or burst is not between 0 and 1e9");
  }
  return {};
}

/// A seed that differs between processes, so that nobody can choose keys with
/// equal hashes.
std::uint64_t
RandomSeed()
{
  std::random_device source;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(source()) << kHalf) | source();
}

} // namespace

result<organisation_table>
organisation_table::Build(std::vector<organisation> aOrganisations)
{
  organisation_table table;
  table.mSeeds = { RandomSeed(), RandomSeed() };
  for (organisation& entry : aOrganisations) {
    if (result<void> checked = CheckOrganisation(entry); !checked) {
      return tl::unexpected<error>(checked.error());
    }
    std::size_t index = table.mOrganisations.size();
    if (!table.mByName.emplace(entry.name, index).second) {
      return Fail(error_kind::invalid_argument,
                  "organisation " + entry.name + " is declared twice");
    }
    for (const std::string& key : entry.keys) {
      auto [known, added] = table.mByKey.emplace(table.HashOfKey(key), index);
      if (key.empty() || (!added && known->second != index)) {
        return Fail(error_kind::invalid_argument,
                    "organisation " + entry.name +
                      ": a key is empty or belongs to another one");
      }
    }
    entry.keys.clear();
    table.mOrganisations.push_back(std::move(entry));
  }
  return table;
}

organisation_table::key_hash
organisation_table::HashOfKey(std::string_view aKey) const
{
  return { HashOf(aKey, mSeeds.first), HashOf(aKey, mSeeds.second) };
}

const organisation*
organisation_table::FindByKey(std::string_view aKey) const
{
  auto found = mByKey.find(HashOfKey(aKey));
  return found == mByKey.end() ? nullptr : &mOrganisations[found->second];
}

const organisation*
organisation_table::FindByName(const std::string& aName) const
{
  auto found = mByName.find(aName);
  return found == mByName.end() ? nullptr : &mOrganisations[found->second];
}

} // namespace eelgrasstrack
