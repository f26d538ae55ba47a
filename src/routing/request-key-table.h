#ifndef EELGRASSTRACK_ROUTING_REQUEST_KEY_TABLE_H_
#define EELGRASSTRACK_ROUTING_REQUEST_KEY_TABLE_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace eelgrasstrack {

/// Bounds of a `request_key_table` in time and size.
struct request_key_table_options
{
  /// Time after which a claimed key expires.
  duration window = std::chrono::minutes(5);
  std::size_t max_keys = 100000;
};

/// Records the request keys of calls that must not run twice, each with the
/// session that claimed it.
class request_key_table
{
public:
  explicit request_key_table(request_key_table_options aOptions);

  enum class claim_status
  {
    /// The key was not in the table and now belongs to the session.
    claimed,
    /// The same session already holds the key.
    already_claimed,
    /// Another session holds the key.
    claimed_by_other,
    /// The table is full. Keys are never evicted before they expire, because
    /// a call whose key was evicted could run twice.
    full,
  };

  /// Claims `aKey` for `aSession` until the window has passed.
  claim_status Claim(const std::string& aKey,
                     std::uint64_t aSession,
                     time_point aNow);

  /// Removes a key that the session holds, so that it can be claimed again.
  /// Call this only if the call is known not to have run.
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
