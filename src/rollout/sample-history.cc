#include "rollout/sample-history.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Twice the period of the reports of a canary phase.
constexpr duration kSliceLength = std::chrono::milliseconds(500);
/// Older slices are dropped.
constexpr std::size_t kMaxSlices = 64;

std::uint32_t
Growth(std::uint32_t aNow, std::uint32_t aBefore)
{
  return aNow > aBefore ? aNow - aBefore : 0;
}

/// The requests that were answered between two states of a sample.
version_sample
AnsweredBetween(const version_sample& aBefore, const version_sample& aNow)
{
  version_sample growth;
  growth.requests = Growth(aNow.requests, aBefore.requests);
  growth.failed = Growth(aNow.failed, aBefore.failed);
  for (std::size_t i = 0; i < version_sample::kBuckets; ++i) {
    growth.time_buckets[i] =
      Growth(aNow.time_buckets[i], aBefore.time_buckets[i]);
  }
  return growth;
}

version_samples
AnsweredBetween(version_samples aBefore, const version_samples& aNow)
{
  version_samples growth;
  for (const auto& [version, routes] : aNow) {
    for (const auto& [route, sample] : routes) {
      growth[version][route] = AnsweredBetween(aBefore[version][route], sample);
    }
  }
  return growth;
}

} // namespace

void
sample_reports::Add(const std::string& aHost,
                    std::int64_t aIncarnation,
                    version_samples aSamples)
{
  host_report& report = mHosts[aHost];
  if (report.earlier_incarnations.count(aIncarnation) != 0) {
    return;
  }
  if (report.incarnation && *report.incarnation != aIncarnation) {
    report.earlier_incarnations.insert(*report.incarnation);
    AddSamples(report.earlier, report.latest);
  }
  report.incarnation = aIncarnation;
  report.latest = std::move(aSamples);
}

host_samples
sample_reports::ByHost() const
{
  host_samples samples;
  for (const auto& [host, report] : mHosts) {
    samples[host] = report.earlier;
    AddSamples(samples[host], report.latest);
  }
  return samples;
}

version_samples
sample_reports::Total() const
{
  version_samples sum;
  for (const auto& [host, report] : mHosts) {
    AddSamples(sum, report.earlier);
    AddSamples(sum, report.latest);
  }
  return sum;
}

bool
sample_history::Update(const sample_reports& aReports, time_point aNow)
{
  if (aNow - mSliceStart < kSliceLength) {
    return false;
  }
  mSliceStart = aNow;
  host_samples counted = aReports.ByHost();
  host_samples slice;
  for (const auto& [host, samples] : counted) {
    auto before = mCounted.find(host);
    if (before != mCounted.end()) {
      slice[host] = AnsweredBetween(before->second, samples);
    }
  }
  mCounted = std::move(counted);
  mSlices.push_back(std::move(slice));
  if (mSlices.size() > kMaxSlices) {
    mSlices.pop_front();
  }
  return true;
}

std::size_t
CountFailingHosts(const host_samples& aSamples, const std::string& aVersion)
{
  auto hasFailed = [&aVersion](const auto& aHost) {
    auto routes = aHost.second.find(aVersion);
    return routes != aHost.second.end() &&
           std::any_of(
             routes->second.begin(),
             routes->second.end(),
             [](const auto& aRoute) { return aRoute.second.failed > 0; });
  };
  return static_cast<std::size_t>(
    std::count_if(aSamples.begin(), aSamples.end(), hasFailed));
}

} // namespace eelgrasstrack
