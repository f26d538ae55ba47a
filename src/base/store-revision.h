#ifndef EELGRASSTRACK_BASE_STORE_REVISION_H_
#define EELGRASSTRACK_BASE_STORE_REVISION_H_

#include <cstdint>
#include <tuple>

namespace eelgrasstrack {

/// Revision of the platform's store; later ones are greater. When the store is
/// restored from a backup, a new era begins, in which the numbers of the lost
/// history are reused.
struct store_revision
{
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  bool operator==(const store_revision&) const = default;
  bool operator<(const store_revision& aOther) const
  {
    return std::tie(era, number) < std::tie(aOther.era, aOther.number);
  }
  bool operator>(const store_revision& aOther) const { return aOther < *this; }
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_STORE_REVISION_H_
