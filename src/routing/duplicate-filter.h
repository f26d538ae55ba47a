#ifndef EELGRASSTRACK_ROUTING_DUPLICATE_FILTER_H_
#define EELGRASSTRACK_ROUTING_DUPLICATE_FILTER_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace eelgrasstrack {

struct duplicate_filter_options
{
  /// How long a request key is remembered after its call was dispatched.
  duration window = std::chrono::minutes(5);
  std::size_t max_keys = 100000;
};

/// Keys of the calls that were dispatched to the upstream beside this node and
/// must not run twice.
class duplicate_filter
{
public:
  explicit duplicate_filter(duplicate_filter_options aOptions);

  enum class verdict
  {
    first,
    duplicate,
    /// The memory is full; dispatching could forget a key too early.
    full,
  };

  /// Remembers a key; a key that is remembered already is a duplicate.
  verdict Admit(const std::string& aKey, time_point aNow);

  /// The call was proven not to have run, so its key may come again.
  void Release(const std::string& aKey);

  std::size_t Size() const { return mKeys.size(); }

private:
  void Expire(time_point aNow);

  struct remembered
  {
    time_point until;
    std::string key;
  };

  duplicate_filter_options mOptions;
  std::unordered_map<std::string, time_point> mKeys;
  std::deque<remembered> mOrder;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROUTING_DUPLICATE_FILTER_H_
