#include "proxy/request-limit-table.h"

namespace eelgrasstrack {

namespace {

constexpr duration kMaxUnconfirmedTime = std::chrono::seconds(60);

} // namespace

void
request_limit_table::Record(const std::string& aInstance,
                            std::optional<double> aLimit,
                            time_point aNow)
{
  if (aLimit) {
    mLimits.insert_or_assign(aInstance, announced_limit{ *aLimit, aNow });
  } else {
    mLimits.erase(aInstance);
  }
}

std::optional<double>
request_limit_table::Find(const std::string& aInstance) const
{
  auto found = mLimits.find(aInstance);
  return found == mLimits.end() ? std::nullopt
                                : std::optional<double>(found->second.limit);
}

void
request_limit_table::RemoveUnconfirmed(time_point aNow)
{
  std::erase_if(mLimits, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.confirmed_at > kMaxUnconfirmedTime;
  });
}

} // namespace eelgrasstrack
