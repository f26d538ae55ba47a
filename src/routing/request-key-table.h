#ifndef EELGRASSTRACK_ROUTING_REQUEST_KEY_TABLE_H_
#define EELGRASSTRACK_ROUTING_REQUEST_KEY_TABLE_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace eelgrasstrack {

struct request_key_table_options
{
  /// How long a request key is remembered after it was taken.
  duration window = std::chrono::minutes(5);
  std::size_t max_keys = 100000;
};

/// Keys of calls that must not run twice, each with the session that took it.
class request_key_table
{
public:
  explicit request_key_table(request_key_table_options aOptions);

  enum class claim_status
  {
    claimed,
    /// The same session took it before.
    already_claimed,
    /// Another session took it before.
    claimed_by_other,
    /// The memory is full; going on could forget a key too early.
    full,
  };

  claim_status Claim(const std::string& aKey,
                     std::uint64_t aSession,
                     time_point aNow);

  /// The call was proven not to have run, so its key may come again.
  void Release(const std::string& aKey, std::uint64_t aSession);

  std::size_t Size() const { return mKeys.size(); }

private:
  struct claimed_key
  {
    std::uint64_t session;
    time_point expires_at;
  };

  struct expiry
  {
    time_point expires_at;
    std::string key;
  };

  void RemoveExpired(time_point aNow);

  request_key_table_options mOptions;
  std::unordered_map<std::string, claimed_key> mKeys;
  std::deque<expiry> mExpiries;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_REQUEST_KEY_TABLE_H_
