#include "call/claims.h"

namespace eelgrasstrack {

claim_memory::claim_memory(duration aWindow, std::size_t aMaxKeys)
  : mWindow(aWindow)
  , mMaxKeys(aMaxKeys)
{
}

bool
claim_memory::Claim(const std::string& aKey,
                    std::uint64_t aSession,
                    time_point aNow)
{
  Expire(aNow);
  auto found = mKeys.find(aKey);
  if (found != mKeys.end()) {
    return found->second.session == aSession;
  }
  if (mKeys.size() >= mMaxKeys) {
    return false;
  }
  time_point until = aNow + mWindow;
  mKeys.emplace(aKey, claimed{ aSession, until });
  mOrder.push_back({ until, aKey });
  return true;
}

void
claim_memory::Release(const std::string& aKey, std::uint64_t aSession)
{
  auto found = mKeys.find(aKey);
  if (found != mKeys.end() && found->second.session == aSession) {
    mKeys.erase(found);
  }
}

void
claim_memory::Expire(time_point aNow)
{
  while (!mOrder.empty() && mOrder.front().until <= aNow) {
    // A key that was released and claimed again has a later time of its own.
    auto found = mKeys.find(mOrder.front().key);
    if (found != mKeys.end() && found->second.until <= aNow) {
      mKeys.erase(found);
    }
    mOrder.pop_front();
  }
}

} // namespace eelgrasstrack
