#ifndef EELGRASSTRACK_BASE_STORE_REVISION_H_
#define EELGRASSTRACK_BASE_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace eelgrasstrack {

/// Revision of the platform's store; later ones are greater. When the store goes
/// back to an older copy of its contents, a new era begins, in which numbers of
/// the lost history are given out again.
struct store_revision
{
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  auto operator<=>(const store_revision&) const = default;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_STORE_REVISION_H_
