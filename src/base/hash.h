#ifndef EELGRASSTRACK_BASE_HASH_H_
#define EELGRASSTRACK_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// 64-bit hash of bytes (XXH3). Stable between processes and releases.
std::uint64_t
HashOf(std::string_view aBytes, std::uint64_t aSeed = 0);

/// Weight of a member for a key in rendezvous hashing (Thaler and
/// Ravishankar, 1998): the members with the highest weights are chosen.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aMember);

/// Lower-case hexadecimal form, 16 digits.
std::string
HexOf(std::uint64_t aValue);

/// Compares without a time that depends on the first difference.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_HASH_H_
