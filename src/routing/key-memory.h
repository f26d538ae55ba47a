#ifndef EELGRASSTRACK_ROUTING_KEY_MEMORY_H_
#define EELGRASSTRACK_ROUTING_KEY_MEMORY_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace eelgrasstrack {

struct key_memory_options
{
  /// How long a request key is remembered after it was taken.
  duration window = std::chrono::minutes(5);
  std::size_t max_keys = 100000;
};

/// Keys of calls that must not run twice, each with the session that took it.
class key_memory
{
public:
  explicit key_memory(key_memory_options aOptions);

  enum class verdict
  {
    first,
    /// The same session took it before.
    repeated,
    /// Another session took it before.
    taken,
    /// The memory is full; going on could forget a key too early.
    full,
  };

  verdict Take(const std::string& aKey,
               std::uint64_t aSession,
               time_point aNow);

  /// The call was proven not to have run, so its key may come again.
  void Release(const std::string& aKey, std::uint64_t aSession);

  std::size_t Size() const { return mKeys.size(); }

private:
  struct taken_key
  {
    std::uint64_t session;
    time_point until;
  };

  struct expiry
  {
    time_point until;
    std::string key;
  };

  void Expire(time_point aNow);

  key_memory_options mOptions;
  std::unordered_map<std::string, taken_key> mKeys;
  std::deque<expiry> mOrder;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_KEY_MEMORY_H_
