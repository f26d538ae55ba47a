#ifndef EELGRASSTRACK_BASE_CLOCK_H_
#define EELGRASSTRACK_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace eelgrasstrack {

/// Time spans have a resolution of one microsecond.
using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// The clock of all timed decisions. Tests substitute a virtual clock.
class clock_source
{
public:
  virtual ~clock_source() = default;

  /// Monotonic time of this process.
  virtual time_point Now() const = 0;

  /// Milliseconds since the Unix epoch. Jumps when the system clock is set.
  virtual std::int64_t UnixMilliseconds() const = 0;
};

/// Converts to whole milliseconds, rounded towards zero.
inline std::int64_t
Milliseconds(duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_CLOCK_H_
