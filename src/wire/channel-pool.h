#ifndef EELGRASSTRACK_WIRE_CHANNEL_POOL_H_
#define EELGRASSTRACK_WIRE_CHANNEL_POOL_H_

#include <vector>

#include "wire/client-channel.h"

namespace eelgrasstrack {

/// Idle connections to one address, kept for the next exchange.
class channel_pool
{
public:
  explicit channel_pool(std::size_t aMaxIdle)
    : mMaxIdle(aMaxIdle)
  {
  }

  /// Takes the connection used last that is still fit for use, or null.
  std::shared_ptr<client_channel> Acquire(time_point aNow);

  /// Keeps a connection if it may be used again and there is room; ends it
  /// otherwise.
  void Release(std::shared_ptr<client_channel> aChannel, time_point aNow);

  /// Ends connections that were not used for longer than `aLimit`.
  void CloseIdle(duration aLimit, time_point aNow);

  /// Ends all.
  void Clear();

  bool Empty() const { return mIdle.empty(); }

private:
  std::size_t mMaxIdle;
  std::vector<std::shared_ptr<client_channel>> mIdle;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_CHANNEL_POOL_H_
