#ifndef EELGRASSTRACK_WIRE_CHANNEL_POOL_H_
#define EELGRASSTRACK_WIRE_CHANNEL_POOL_H_

#include <vector>

#include "wire/client-channel.h"

namespace eelgrasstrack {

/// Pool of idle connections to one address, kept for reuse.
class channel_pool
{
public:
  /// Keeps at most `aMaxIdle` connections.
  explicit channel_pool(std::size_t aMaxIdle)
    : mMaxIdle(aMaxIdle)
  {
  }

  /// Removes and returns the most recently used connection that is still
  /// reusable, or null. Closes those found not to be reusable.
  std::shared_ptr<client_channel> Acquire(time_point aNow);

  /// Adds a connection if it is reusable and the pool is not full; closes it
  /// otherwise.
  void Release(std::shared_ptr<client_channel> aChannel, time_point aNow);

  /// Closes connections that are no longer reusable or have been idle for
  /// longer than `aLimit`.
  void CloseIdle(duration aLimit, time_point aNow);

  /// Closes connections whose last use ended at `aMark` or before.
  void CloseUnusedSince(time_point aMark);

  /// Closes all connections.
  void Clear();

  bool Empty() const { return mIdle.empty(); }

private:
  std::size_t mMaxIdle;
  std::vector<std::shared_ptr<client_channel>> mIdle;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_CHANNEL_POOL_H_
