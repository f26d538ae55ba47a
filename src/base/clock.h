#ifndef EELGRASSTRACK_BASE_CLOCK_H_
#define EELGRASSTRACK_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace eelgrasstrack {

using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of time for everything that decides. Tests use a virtual one.
class clock_source
{
public:
  virtual ~clock_source() = default;

  /// Monotonic time of this process.
  virtual time_point Now() const = 0;

  /// Milliseconds since the Unix epoch; may jump.
  virtual std::int64_t UnixMilliseconds() const = 0;
};

inline std::int64_t
Milliseconds(duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_CLOCK_H_
