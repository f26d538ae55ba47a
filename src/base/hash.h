#ifndef EELGRASSTRACK_BASE_HASH_H_
#define EELGRASSTRACK_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// Returns the 64-bit XXH3 hash of bytes. All processes and releases compute
/// the same value.
std::uint64_t
HashOf(std::string_view aBytes, std::uint64_t aSeed = 0);

/// Returns the weight of a member for a key in rendezvous hashing (Thaler and
/// Ravishankar, 1998). The members with the highest weights are chosen.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aMember);

/// Formats a value as 16 lower-case hexadecimal digits.
std::string
HexOf(std::uint64_t aValue);

/// Compares in a time that does not depend on the position of the first
/// difference.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_HASH_H_
