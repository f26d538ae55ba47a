#include "net/bandwidth-scheduler.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Bytes of one stream that are sent at a time.
constexpr std::size_t kGrantBytes = 16U << 10U;
/// Allowance that an idle link accumulates.
constexpr double kMaxAllowance = 32U << 10U;

} // namespace

void
bandwidth_scheduler::SetBandwidth(double aBytesPerSecond)
{
  mBytesPerSecond = aBytesPerSecond;
}

void
bandwidth_scheduler::Refill(time_point aNow)
{
  if (aNow <= mRefilledAt) {
    return;
  }
  double seconds = std::chrono::duration<double>(aNow - mRefilledAt).count();
  mAllowance = std::min(kMaxAllowance, mAllowance + seconds * mBytesPerSecond);
  mRefilledAt = aNow;
}

bool
bandwidth_scheduler::TrySendNow(std::size_t aBytes, time_point aNow)
{
  if (mBytesPerSecond <= 0) {
    return true;
  }
  Refill(aNow);
  bool idle = mStreams.empty() && mAllowance >= static_cast<double>(aBytes);
  if (aBytes > kSmallMessageBytes && !idle) {
    return false;
  }
  mAllowance -= static_cast<double>(aBytes);
  return true;
}

void
bandwidth_scheduler::Queue(stream_id aStream, std::size_t aBytes)
{
  mQueuedBytes += aBytes;
  for (queued_stream& stream : mStreams) {
    if (stream.id == aStream) {
      stream.bytes += aBytes;
      return;
    }
  }
  mStreams.push_back({ aStream, aBytes });
}

void
bandwidth_scheduler::Remove(stream_id aStream)
{
  mStreams.remove_if([&](const queued_stream& aQueued) {
    bool found = aQueued.id == aStream;
    mQueuedBytes -= found ? aQueued.bytes : 0;
    return found;
  });
}

void
bandwidth_scheduler::SendAll(stream_id aStream)
{
  std::size_t before = mQueuedBytes;
  Remove(aStream);
  mAllowance -= static_cast<double>(before - mQueuedBytes);
}

std::optional<bandwidth_scheduler::grant>
bandwidth_scheduler::Next(time_point aNow,
                          const std::function<bool(stream_id)>& aBlocked)
{
  Refill(aNow);
  if (mBytesPerSecond > 0 && mAllowance <= 0) {
    return std::nullopt;
  }
  for (auto stream = mStreams.begin(); stream != mStreams.end(); ++stream) {
    if (aBlocked(stream->id)) {
      continue;
    }
    grant granted{ stream->id, std::min(stream->bytes, kGrantBytes) };
    stream->bytes -= granted.bytes;
    mQueuedBytes -= granted.bytes;
    mAllowance -= static_cast<double>(granted.bytes);
    if (stream->bytes == 0) {
      mStreams.erase(stream);
    }
    return granted;
  }
  return std::nullopt;
}

duration
bandwidth_scheduler::SendTime(std::size_t aBytes) const
{
  if (mBytesPerSecond <= 0) {
    return duration(0);
  }
  constexpr double kMicroseconds = 1e6;
  return duration(static_cast<std::int64_t>(static_cast<double>(aBytes) /
                                            mBytesPerSecond * kMicroseconds));
}

} // namespace eelgrasstrack
