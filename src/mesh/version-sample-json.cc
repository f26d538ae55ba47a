#include "mesh/version-sample-json.h"

#include "base/json-decode.h"

namespace eelgrasstrack {

nlohmann::json
EncodeSamples(const version_samples& aSamples)
{
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [version, routes] : aSamples) {
    for (const auto& [route, sample] : routes) {
      all[version][route] = { sample.requests,
                              sample.failed,
                              sample.time_buckets,
                              sample.unanswered_buckets };
    }
  }
  return all;
}

version_samples
DecodeSamples(const nlohmann::json& aJson)
{
  version_samples samples;
  for (const auto& [version, routes] : aJson.items()) {
    for (const auto& [route, counts] : routes.items()) {
      version_sample& sample = samples[version][route];
      sample.requests = UnsignedIn<std::uint32_t>(counts.at(0));
      sample.failed = UnsignedIn<std::uint32_t>(counts.at(1));
      counts.at(2).get_to(sample.time_buckets);
      constexpr std::size_t kUnansweredField = 3;
      if (counts.size() > kUnansweredField) {
        counts.at(kUnansweredField).get_to(sample.unanswered_buckets);
      }
    }
  }
  return samples;
}

} // namespace eelgrasstrack
