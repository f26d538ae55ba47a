#ifndef EELGRASSTRACK_PROXY_REQUEST_LIMIT_TABLE_H_
#define EELGRASSTRACK_PROXY_REQUEST_LIMIT_TABLE_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// The limits that instances announced in answers which this node forwarded.
/// Each request carries the limit of its instance to the last hop, which may
/// have restarted since and not know it.
class request_limit_table
{
public:
  /// Records the limit in an answer of an instance, or that it announced none.
  void Record(const std::string& aInstance,
              std::optional<double> aLimit,
              time_point aNow);

  /// Limit of an instance in requests per second; nothing if none is known.
  std::optional<double> Find(const std::string& aInstance) const;

  /// Forgets the limits that no answer has confirmed for 60 s.
  void RemoveUnconfirmed(time_point aNow);

private:
  struct announced_limit
  {
    double limit = 0;
    time_point confirmed_at{};
  };

  std::map<std::string, announced_limit> mLimits;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_REQUEST_LIMIT_TABLE_H_
