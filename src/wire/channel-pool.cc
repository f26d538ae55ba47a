#include "wire/channel-pool.h"

namespace eelgrasstrack {

std::shared_ptr<client_channel>
channel_pool::Acquire(time_point aNow)
{
  while (!mIdle.empty()) {
    std::shared_ptr<client_channel> channel = std::move(mIdle.back());
    mIdle.pop_back();
    if (channel->Reusable(aNow)) {
      return channel;
    }
    channel->Abort();
  }
  return nullptr;
}

void
channel_pool::Release(std::shared_ptr<client_channel> aChannel, time_point aNow)
{
  if (!aChannel) {
    return;
  }
  if (mIdle.size() < mMaxIdle && aChannel->Reusable(aNow)) {
    mIdle.push_back(std::move(aChannel));
    return;
  }
  aChannel->Abort();
}

void
channel_pool::CloseIdle(duration aLimit, time_point aNow)
{
  std::erase_if(mIdle, [&](const std::shared_ptr<client_channel>& aChannel) {
    bool old =
      !aChannel->Reusable(aNow) || aNow - aChannel->IdleSince() > aLimit;
    if (old) {
      aChannel->Abort();
    }
    return old;
  });
}

void
channel_pool::CloseUnusedSince(time_point aMark)
{
  std::erase_if(mIdle, [&](const std::shared_ptr<client_channel>& aChannel) {
    bool unused = aChannel->IdleSince() <= aMark;
    if (unused) {
      aChannel->Abort();
    }
    return unused;
  });
}

void
channel_pool::Clear()
{
  for (const std::shared_ptr<client_channel>& channel : mIdle) {
    channel->Abort();
  }
  mIdle.clear();
}

} // namespace eelgrasstrack
