#ifndef EELGRASSTRACK_PROXY_REQUEST_LIMIT_TABLE_H_
#define EELGRASSTRACK_PROXY_REQUEST_LIMIT_TABLE_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// The limits that instances named in answers which this node passed on. They
/// go with each request to the node beside the instance, which may have been
/// started since and not know them.
class request_limit_table
{
public:
  /// Records the limit in an answer of an instance, or that it named none.
  void Record(const std::string& aInstance,
              std::optional<double> aLimit,
              time_point aNow);

  /// Limit of an instance in requests per second; nothing if none is known.
  std::optional<double> Find(const std::string& aInstance) const;

  /// Forgets the limits that no answer has confirmed for 60 s.
  void RemoveUnconfirmed(time_point aNow);

private:
  struct named_limit
  {
    double limit = 0;
    time_point confirmed_at{};
  };

  std::map<std::string, named_limit> mLimits;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_REQUEST_LIMIT_TABLE_H_
