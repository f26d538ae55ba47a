#include "routing/request-key-table.h"

namespace eelgrasstrack {

request_key_table::request_key_table(request_key_table_options aOptions)
  : mOptions(aOptions)
{
}

request_key_table::claim_status
request_key_table::Claim(const std::string& aKey,
                         std::uint64_t aSession,
                         time_point aNow)
{
  RemoveExpired(aNow);
  auto found = mKeys.find(aKey);
  if (found != mKeys.end()) {
    return found->second.session == aSession ? claim_status::already_claimed
                                             : claim_status::claimed_by_other;
  }
  if (mKeys.size() >= mOptions.max_keys) {
    return claim_status::full;
  }
  time_point expiresAt = aNow + mOptions.window;
  mKeys.emplace(aKey, claimed_key{ aSession, expiresAt });
  mExpiries.push_back({ expiresAt, aKey });
  return claim_status::claimed;
}

void
request_key_table::Release(const std::string& aKey, std::uint64_t aSession)
{
  auto found = mKeys.find(aKey);
  if (found != mKeys.end() && found->second.session == aSession) {
    mKeys.erase(found);
  }
}

void
request_key_table::RemoveExpired(time_point aNow)
{
  while (!mExpiries.empty() && mExpiries.front().expires_at <= aNow) {
    // A key that was released and claimed again has a later expiry entry.
    auto found = mKeys.find(mExpiries.front().key);
    if (found != mKeys.end() && found->second.expires_at <= aNow) {
      mKeys.erase(found);
    }
    mExpiries.pop_front();
  }
}

} // namespace eelgrasstrack
