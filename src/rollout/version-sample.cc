#include "rollout/version-sample.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

using bucket_counts = version_sample::bucket_counts;

std::size_t
BucketOf(duration aDuration)
{
  double milliseconds =
    std::max(1.0, std::chrono::duration<double, std::milli>(aDuration).count());
  auto bucket = static_cast<std::size_t>(2 * std::log2(milliseconds));
  return std::min(bucket, version_sample::kBuckets - 1);
}

std::uint32_t
CountFromBucket(const bucket_counts& aCounts, std::size_t aBucket)
{
  std::uint32_t count = 0;
  for (std::size_t i = aBucket; i < aCounts.size(); ++i) {
    count += aCounts[i];
  }
  return count;
}

void
AddCounts(bucket_counts& aSum, const bucket_counts& aCounts)
{
  for (std::size_t i = 0; i < aSum.size(); ++i) {
    aSum[i] += aCounts[i];
  }
}

} // namespace

void
version_sample::Add(bool aFailed, duration aDuration)
{
  ++requests;
  failed += aFailed ? 1 : 0;
  ++time_buckets[BucketOf(aDuration)];
}

void
version_sample::AddUnanswered(duration aElapsed)
{
  ++unanswered_buckets[BucketOf(aElapsed)];
}

void
version_sample::Add(const version_sample& aOther)
{
  requests += aOther.requests;
  failed += aOther.failed;
  AddCounts(time_buckets, aOther.time_buckets);
  AddCounts(unanswered_buckets, aOther.unanswered_buckets);
}

void
AddSamples(version_samples& aSum, const version_samples& aOther)
{
  for (const auto& [version, routes] : aOther) {
    for (const auto& [route, sample] : routes) {
      aSum[version][route].Add(sample);
    }
  }
}

std::size_t
FirstSlowBucket(const version_sample& aOld, const slowness_test& aTest)
{
  double targetCount = aTest.quantile * aOld.requests;
  double count = 0;
  for (std::size_t i = 0; i < aOld.time_buckets.size(); ++i) {
    count += aOld.time_buckets[i];
    if (count >= targetCount) {
      return i + 1 + aTest.buckets_above;
    }
  }
  return aOld.time_buckets.size();
}

double
bad_count::Rate() const
{
  return requests == 0 ? 0 : static_cast<double>(bad) / requests;
}

bad_count
CountFailed(const version_sample& aSample)
{
  return { aSample.requests, aSample.failed };
}

bad_count
CountSlow(const version_sample& aSample, std::size_t aFirstSlowBucket)
{
  std::uint32_t unanswered =
    CountFromBucket(aSample.unanswered_buckets, aFirstSlowBucket);
  bad_count count;
  count.requests = aSample.requests + unanswered;
  count.bad =
    CountFromBucket(aSample.time_buckets, aFirstSlowBucket) + unanswered;
  return count;
}

} // namespace eelgrasstrack
