#include "proxy/answer-size-estimator.h"

namespace eelgrasstrack {

namespace {

constexpr double kNewestWeight = 0.1;

} // namespace

void
answer_size_estimator::Record(const std::string& aRoute, std::size_t aBytes)
{
  auto size = static_cast<double>(aBytes);
  auto [average, isFirst] = mAverages.try_emplace(aRoute, size);
  if (!isFirst) {
    average->second += kNewestWeight * (size - average->second);
  }
}

std::size_t
answer_size_estimator::Expected(const std::string& aRoute) const
{
  auto average = mAverages.find(aRoute);
  return average == mAverages.end() ? 0
                                    : static_cast<std::size_t>(average->second);
}

} // namespace eelgrasstrack
