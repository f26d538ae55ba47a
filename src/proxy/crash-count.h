#ifndef EELGRASSTRACK_PROXY_CRASH_COUNT_H_
#define EELGRASSTRACK_PROXY_CRASH_COUNT_H_

#include <cstdint>
#include <tuple>

namespace eelgrasstrack {

/// Evidence that a request crashes instances.
struct crash_count
{
  /// Rises with each answer of an instance to the request; such an answer voids
  /// the crashes that were counted before.
  std::uint32_t epoch = 0;
  /// Crashes in a row: each of them ended a run of the request that had started
  /// when the one before was already known. Instances that stop at the same
  /// moment therefore count once.
  std::uint32_t crashes = 0;

  bool operator==(const crash_count&) const = default;
  /// Of the evidence of two nodes, the greater one is the later.
  bool operator<(const crash_count& aOther) const
  {
    return std::tie(epoch, crashes) < std::tie(aOther.epoch, aOther.crashes);
  }
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_CRASH_COUNT_H_
