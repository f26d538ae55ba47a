#include "base/hash.h"

#include <xxhash.h>

namespace eelgrasstrack {

std::uint64_t
HashOf(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aMember)
{
  return HashOf(aMember, HashOf(aKey));
}

std::string
HexOf(std::uint64_t aValue)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = kDigits[aValue & 15U];
    aValue >>= 4U;
  }
  return text;
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  // The loop has no early return and always runs over all of `aRight`, so its
  // duration does not reveal how many bytes of `aLeft` match. The hashes and
  // the lengths are compared as well.
  std::uint64_t difference = HashOf(aLeft) ^ HashOf(aRight);
  difference |= aLeft.size() ^ aRight.size();
  std::size_t length = aRight.size();
  for (std::size_t i = 0; i < length; ++i) {
    unsigned char left =
      i < aLeft.size() ? static_cast<unsigned char>(aLeft[i]) : 0;
    difference |= left ^ static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

} // namespace eelgrasstrack
