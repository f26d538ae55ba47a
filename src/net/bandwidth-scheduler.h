#ifndef EELGRASSTRACK_NET_BANDWIDTH_SCHEDULER_H_
#define EELGRASSTRACK_NET_BANDWIDTH_SCHEDULER_H_

#include <functional>
#include <list>
#include <optional>

#include "base/clock.h"

namespace eelgrasstrack {

/// A message up to this size does not wait for the link behind larger ones.
constexpr std::size_t kSmallMessageBytes = 16U << 10U;

/// Identifies one sender of bytes.
using stream_id = std::uint64_t;

/// Decides when bytes may be sent over a link, so that no queue builds up on
/// the link itself: small messages go at once, the rest of large ones in the
/// order in which they began, as far as the bandwidth allows.
class bandwidth_scheduler
{
public:
  /// Sets the bandwidth in bytes per second; 0 means unlimited.
  void SetBandwidth(double aBytesPerSecond);

  /// Returns whether a message of a stream without queued bytes may be sent at
  /// once. If so, it is counted.
  bool TrySendNow(std::size_t aBytes, time_point aNow);

  /// Queues bytes of a stream, behind those it has queued already.
  void Queue(stream_id aStream, std::size_t aBytes);
  /// Removes the queued bytes of a stream.
  void Remove(stream_id aStream);
  /// Removes the queued bytes of a stream because they are sent at once.
  void SendAll(stream_id aStream);

  /// Bytes that a stream may send now.
  struct grant
  {
    stream_id stream = 0;
    std::size_t bytes = 0;
  };
  /// Returns the next grant, if the bandwidth allows one. Streams for which
  /// `aBlocked` returns true are passed over: their receiver does not keep up.
  std::optional<grant> Next(time_point aNow,
                            const std::function<bool(stream_id)>& aBlocked);

  bool HasQueued() const { return !mStreams.empty(); }
  std::size_t QueuedBytes() const { return mQueuedBytes; }
  /// Time until bytes that are queued now could all be sent.
  duration QueueTime() const { return SendTime(mQueuedBytes); }
  /// Time that a number of bytes takes on the link; 0 if unlimited.
  duration SendTime(std::size_t aBytes) const;

private:
  struct queued_stream
  {
    stream_id id = 0;
    std::size_t bytes = 0;
  };

  void Refill(time_point aNow);

  double mBytesPerSecond = 0;
  /// Bytes that may be sent now. Negative after small messages that were sent
  /// beyond the bandwidth.
  double mAllowance = 0;
  time_point mRefilledAt{};
  std::list<queued_stream> mStreams;
  std::size_t mQueuedBytes = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_NET_BANDWIDTH_SCHEDULER_H_
