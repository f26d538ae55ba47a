#include "routing/key-memory.h"

namespace eelgrasstrack {

key_memory::key_memory(key_memory_options aOptions)
  : mOptions(aOptions)
{
}

key_memory::verdict
key_memory::Take(const std::string& aKey,
                 std::uint64_t aSession,
                 time_point aNow)
{
  Expire(aNow);
  auto found = mKeys.find(aKey);
  if (found != mKeys.end()) {
    return found->second.session == aSession ? verdict::repeated
                                             : verdict::taken;
  }
  if (mKeys.size() >= mOptions.max_keys) {
    return verdict::full;
  }
  time_point until = aNow + mOptions.window;
  mKeys.emplace(aKey, taken_key{ aSession, until });
  mOrder.push_back({ until, aKey });
  return verdict::first;
}

void
key_memory::Release(const std::string& aKey, std::uint64_t aSession)
{
  auto found = mKeys.find(aKey);
  if (found != mKeys.end() && found->second.session == aSession) {
    mKeys.erase(found);
  }
}

void
key_memory::Expire(time_point aNow)
{
  while (!mOrder.empty() && mOrder.front().until <= aNow) {
    // A key that was released and taken again has a later time of its own.
    auto found = mKeys.find(mOrder.front().key);
    if (found != mKeys.end() && found->second.until <= aNow) {
      mKeys.erase(found);
    }
    mOrder.pop_front();
  }
}

} // namespace eelgrasstrack
