#include "rollout/version-comparison.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

/// A version with a lower failure rate is never judged bad, because faults of
/// single instances and of links cause similar failures.
constexpr double kToleratedFailureRate = 0.06;
/// The same limit if the version failed on at least `kMultiHostMinimum` hosts.
constexpr double kToleratedMultiHostFailureRate = 0.004;
constexpr std::size_t kMultiHostMinimum = 2;
/// A version with a lower rate of slow requests is never judged bad.
constexpr double kToleratedSlowRate = 0.08;
/// A version may have up to this many times the old version's rate of failures
/// or slow requests.
constexpr double kToleratedRateRatio = 2.5;
/// Significance level of the binomial test.
constexpr double kSignificance = 1e-3;
/// A version with fewer failures or slow requests is never judged bad.
constexpr std::uint32_t kMinBadResponses = 3;
/// Requests to the old version that are needed to define what is slow.
constexpr std::uint32_t kMinOldRequests = 30;

/// Definition of a slow request: its response time is more than `buckets_above`
/// buckets above a quantile of the old version's response times.
struct slowness_test
{
  double quantile = 0;
  std::size_t buckets_above = 0;
};

/// The first test detects that some requests are slow. The second one detects
/// that all requests are slow even if some hosts of the old version are slow
/// too, which raises the 0.95 quantile and hides the fault from the first test.
/// Its margin is wider than the difference in speed between good instances.
constexpr std::array<slowness_test, 2> kSlownessTests{ { { 0.95, 2 },
                                                         { 0.5, 4 } } };

std::size_t
BucketOf(duration aDuration)
{
  double milliseconds =
    std::max(1.0, std::chrono::duration<double, std::milli>(aDuration).count());
  auto bucket = static_cast<std::size_t>(2 * std::log2(milliseconds));
  return std::min(bucket, version_sample::kBuckets - 1);
}

/// Probability of `aHits` or more out of `aTrials` at a rate of `aRate`.
double
BinomialTail(std::uint32_t aTrials, std::uint32_t aHits, double aRate)
{
  double tail = 0;
  for (std::uint32_t hits = aHits; hits <= aTrials; ++hits) {
    double logTerm = std::lgamma(aTrials + 1.0) - std::lgamma(hits + 1.0) -
                     std::lgamma(aTrials - hits + 1.0) +
                     hits * std::log(aRate) +
                     (aTrials - hits) * std::log1p(-aRate);
    tail += std::exp(logTerm);
  }
  return tail;
}

/// Whether the rate of hits is significantly above the tolerated rate. This is
/// the greater of `aTolerable` and `kToleratedRateRatio` times the old rate.
bool
IsSignificantlyAbove(std::uint32_t aRequests,
                     std::uint32_t aHits,
                     double aOldRate,
                     double aTolerable)
{
  if (aHits < kMinBadResponses) {
    return false;
  }
  double rate =
    std::min(0.9, std::max(aTolerable, kToleratedRateRatio * aOldRate));
  if (aHits <= rate * aRequests) {
    return false; // not even above the mean
  }
  return BinomialTail(aRequests, aHits, rate) < kSignificance;
}

double
RateOf(std::uint32_t aHits, std::uint32_t aRequests)
{
  return aRequests == 0 ? 0 : static_cast<double>(aHits) / aRequests;
}

/// Index of the first bucket that counts as slow.
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

using bucket_counts = std::array<std::uint32_t, version_sample::kBuckets>;

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

/// Requests of one version, and how many of them are slow. An unanswered
/// request that is not slow yet is left out, as it may still become slow.
struct slow_count
{
  std::uint32_t requests = 0;
  std::uint32_t slow = 0;
};

slow_count
CountSlow(const version_sample& aSample, std::size_t aFirstSlowBucket)
{
  std::uint32_t unanswered =
    CountFromBucket(aSample.unanswered_buckets, aFirstSlowBucket);
  slow_count count;
  count.requests = aSample.requests + unanswered;
  count.slow =
    CountFromBucket(aSample.time_buckets, aFirstSlowBucket) + unanswered;
  return count;
}

std::string
DescribeCounts(const char* aKind,
               const std::string& aRoute,
               std::uint32_t aNewHits,
               std::uint32_t aNew,
               std::uint32_t aOldHits,
               std::uint32_t aOld)
{
  return std::to_string(aNewHits) + " of " + std::to_string(aNew) + " " +
         aKind + " on " + aRoute +
         ", old version: " + std::to_string(aOldHits) + " of " +
         std::to_string(aOld);
}

version_assessment
CompareRoute(const std::string& aRoute,
             const version_sample& aOld,
             const version_sample& aNew,
             double aTolerableFailures)
{
  version_assessment assessment;
  if (IsSignificantlyAbove(aNew.requests,
                           aNew.failed,
                           RateOf(aOld.failed, aOld.requests),
                           aTolerableFailures)) {
    assessment.verdict = version_verdict::bad;
    assessment.reason = DescribeCounts(
      "failed", aRoute, aNew.failed, aNew.requests, aOld.failed, aOld.requests);
    return assessment;
  }
  if (aOld.requests < kMinOldRequests) {
    return assessment;
  }
  for (const slowness_test& test : kSlownessTests) {
    std::size_t slow = FirstSlowBucket(aOld, test);
    slow_count oldCount = CountSlow(aOld, slow);
    slow_count newCount = CountSlow(aNew, slow);
    if (IsSignificantlyAbove(newCount.requests,
                             newCount.slow,
                             RateOf(oldCount.slow, oldCount.requests),
                             kToleratedSlowRate)) {
      assessment.verdict = version_verdict::bad;
      assessment.reason = DescribeCounts("slow",
                                         aRoute,
                                         newCount.slow,
                                         newCount.requests,
                                         oldCount.slow,
                                         oldCount.requests);
      return assessment;
    }
  }
  return assessment;
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

std::string
SummaryOf(const version_samples& aSamples, const std::string& aNewVersion)
{
  version_sample oldSum;
  version_sample newSum;
  for (const auto& [version, routes] : aSamples) {
    for (const auto& [route, sample] : routes) {
      (version == aNewVersion ? newSum : oldSum).Add(sample);
    }
  }
  std::string summary = DescribeCounts("failed",
                                       "all routes",
                                       newSum.failed,
                                       newSum.requests,
                                       oldSum.failed,
                                       oldSum.requests);
  for (const slowness_test& test : kSlownessTests) {
    std::size_t slow = FirstSlowBucket(oldSum, test);
    slow_count oldCount = CountSlow(oldSum, slow);
    slow_count newCount = CountSlow(newSum, slow);
    summary += "; " + DescribeCounts("slow",
                                     "all routes",
                                     newCount.slow,
                                     newCount.requests,
                                     oldCount.slow,
                                     oldCount.requests);
  }
  return summary;
}

version_assessment
CompareVersions(const version_samples& aSamples,
                const std::string& aNewVersion,
                std::size_t aFailingHosts)
{
  double tolerable = aFailingHosts >= kMultiHostMinimum
                       ? kToleratedMultiHostFailureRate
                       : kToleratedFailureRate;
  auto newRoutes = aSamples.find(aNewVersion);
  if (newRoutes == aSamples.end()) {
    return {};
  }
  std::map<std::string, version_sample> oldRoutes;
  for (const auto& [version, routes] : aSamples) {
    if (version == aNewVersion) {
      continue;
    }
    for (const auto& [route, sample] : routes) {
      oldRoutes[route].Add(sample);
    }
  }
  version_sample allOld;
  version_sample allNew;
  for (const auto& [route, sample] : newRoutes->second) {
    version_assessment assessment =
      CompareRoute(route, oldRoutes[route], sample, tolerable);
    if (assessment.verdict == version_verdict::bad) {
      return assessment;
    }
    allNew.Add(sample);
    allOld.Add(oldRoutes[route]);
  }
  return CompareRoute("all routes", allOld, allNew, tolerable);
}

} // namespace eelgrasstrack
