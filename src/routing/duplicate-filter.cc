#include "routing/duplicate-filter.h"

namespace eelgrasstrack {

duplicate_filter::duplicate_filter(duplicate_filter_options aOptions)
  : mOptions(aOptions)
{
}

duplicate_filter::verdict
duplicate_filter::Admit(const std::string& aKey, time_point aNow)
{
  Expire(aNow);
  if (mKeys.count(aKey) != 0) {
    return verdict::duplicate;
  }
  if (mKeys.size() >= mOptions.max_keys) {
    return verdict::full;
  }
  time_point until = aNow + mOptions.window;
  mKeys.emplace(aKey, until);
  mOrder.push_back({ until, aKey });
  return verdict::first;
}

void
duplicate_filter::Release(const std::string& aKey)
{
  mKeys.erase(aKey);
}

void
duplicate_filter::Expire(time_point aNow)
{
  while (!mOrder.empty() && mOrder.front().until <= aNow) {
    // A key that was released and came again has a later time of its own.
    auto found = mKeys.find(mOrder.front().key);
    if (found != mKeys.end() && found->second <= aNow) {
      mKeys.erase(found);
    }
    mOrder.pop_front();
  }
}

} // namespace eelgrasstrack
