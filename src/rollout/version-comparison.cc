#include "rollout/version-comparison.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

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
/// The same for the recent past, of which many parts are tested.
constexpr double kRecentSignificance = 1e-4;
/// A version with fewer failures or slow requests is never judged bad.
constexpr std::uint32_t kMinBadResponses = 3;
/// Requests to the old version that are needed to define what is slow, and how
/// often it fails at a time.
constexpr std::uint32_t kMinOldRequests = 30;
/// Slices that show how a version is doing now.
constexpr std::size_t kSlicesNow = 2;
/// At a higher failure rate of the old version, a new one that fails half of
/// its requests is within `kToleratedRateRatio`.
constexpr double kFailingVersionRate = 0.2;
/// Stands for all routes together. No route has an empty name.
const std::string kAllRoutes;

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

/// Whether so many bad requests are significantly more than are expected at a
/// rate.
bool
IsSignificantlyAbove(const bad_count& aCount,
                     double aRate,
                     double aSignificance)
{
  if (aCount.bad < kMinBadResponses || aCount.bad <= aRate * aCount.requests) {
    return false;
  }
  return BinomialTail(aCount.requests, aCount.bad, aRate) < aSignificance;
}

/// The rate of bad requests that a new version may have.
double
ToleratedRate(double aOldRate, double aTolerable)
{
  constexpr double kMaxRate = 0.9;
  return std::min(kMaxRate,
                  std::max(aTolerable, kToleratedRateRatio * aOldRate));
}

double
ToleratedFailureRate(std::size_t aFailingHosts)
{
  return aFailingHosts >= kMultiHostMinimum ? kToleratedMultiHostFailureRate
                                            : kToleratedFailureRate;
}

std::string
DescribeCounts(const char* aKind,
               const std::string& aRoute,
               const bad_count& aNew,
               const bad_count& aOld)
{
  return std::to_string(aNew.bad) + " of " + std::to_string(aNew.requests) +
         " " + aKind + " on " + aRoute +
         ", old version: " + std::to_string(aOld.bad) + " of " +
         std::to_string(aOld.requests);
}

version_assessment
Bad(std::string aReason)
{
  return { version_verdict::bad, std::move(aReason) };
}

version_assessment
CompareRoute(const std::string& aRoute,
             const version_sample& aOld,
             const version_sample& aNew,
             double aTolerableFailures)
{
  auto isBad = [](const bad_count& aNewCount,
                  const bad_count& aOldCount,
                  double aTolerable) {
    return IsSignificantlyAbove(
      aNewCount, ToleratedRate(aOldCount.Rate(), aTolerable), kSignificance);
  };
  bad_count oldFailed = CountFailed(aOld);
  bad_count newFailed = CountFailed(aNew);
  if (isBad(newFailed, oldFailed, aTolerableFailures)) {
    return Bad(DescribeCounts("failed", aRoute, newFailed, oldFailed));
  }
  if (aOld.requests < kMinOldRequests) {
    return {};
  }
  for (const slowness_test& test : kSlownessTests) {
    std::size_t slow = FirstSlowBucket(aOld, test);
    bad_count oldSlow = CountSlow(aOld, slow);
    bad_count newSlow = CountSlow(aNew, slow);
    if (isBad(newSlow, oldSlow, kToleratedSlowRate)) {
      return Bad(DescribeCounts("slow", aRoute, newSlow, oldSlow));
    }
  }
  return {};
}

/// What both versions answered in one slice of a history.
struct version_pair
{
  version_sample older;
  version_sample newer;
};

/// The pairs of consecutive slices by route, and over all routes.
std::map<std::string, std::vector<version_pair>>
PairsByRoute(const sample_history& aHistory, const std::string& aNewVersion)
{
  std::size_t slices = aHistory.Slices().size();
  std::map<std::string, std::vector<version_pair>> pairs;
  for (std::size_t i = 0; i < slices; ++i) {
    for (const auto& [host, versions] : aHistory.Slices()[i]) {
      for (const auto& [version, routes] : versions) {
        for (const auto& [route, sample] : routes) {
          for (const std::string& name : { route, kAllRoutes }) {
            std::vector<version_pair>& ofRoute = pairs[name];
            ofRoute.resize(slices);
            (version == aNewVersion ? ofRoute[i].newer : ofRoute[i].older)
              .Add(sample);
          }
        }
      }
    }
  }
  return pairs;
}

/// Consecutive slices of one route, from `first` to `last`.
struct recent_range
{
  const std::vector<version_pair>& pairs;
  std::size_t first;
  std::size_t last;
};

/// The old version's answers around a slice: those of the slices beside it as
/// well, since hosts report at different times, and of as many earlier ones as
/// are needed.
version_sample
OldSampleAround(const std::vector<version_pair>& aPairs, std::size_t aSlice)
{
  version_sample old = aPairs[aSlice].older;
  if (aSlice + 1 < aPairs.size()) {
    old.Add(aPairs[aSlice + 1].older);
  }
  for (std::size_t i = aSlice; i > 0; --i) {
    old.Add(aPairs[i - 1].older);
    if (old.requests >= kMinOldRequests) {
      break;
    }
  }
  return old;
}

/// Describes the bad requests of the new version in a range, if they are
/// significantly more than are tolerated at the old version's rate at the time
/// of each slice. `aCount` counts the bad requests of a sample.
template<typename CountBad>
std::optional<std::string>
DescribeIfBad(const char* aKind,
              const std::string& aRoute,
              const recent_range& aRange,
              double aTolerable,
              const CountBad& aCount)
{
  bad_count newSum;
  bad_count oldSum;
  double tolerated = 0;
  for (std::size_t i = aRange.first; i <= aRange.last; ++i) {
    bad_count newCount = aCount(aRange.pairs[i].newer);
    bad_count oldCount = aCount(OldSampleAround(aRange.pairs, i));
    if (newCount.requests == 0 || oldCount.requests < kMinOldRequests) {
      continue;
    }
    newSum.requests += newCount.requests;
    newSum.bad += newCount.bad;
    oldSum.requests += oldCount.requests;
    oldSum.bad += oldCount.bad;
    tolerated += newCount.requests * ToleratedRate(oldCount.Rate(), aTolerable);
  }
  // The tail for equal probabilities with this mean bounds that for the
  // different ones of the slices (Hoeffding, 1956).
  if (newSum.requests == 0 || !IsSignificantlyAbove(newSum,
                                                    tolerated / newSum.requests,
                                                    kRecentSignificance)) {
    return std::nullopt;
  }
  return DescribeCounts(aKind, aRoute, newSum, oldSum) + ", lately";
}

version_assessment
CompareRange(const std::string& aRoute,
             const recent_range& aRange,
             double aTolerableFailures)
{
  std::optional<std::string> reason =
    DescribeIfBad("failed", aRoute, aRange, aTolerableFailures, CountFailed);
  version_sample old = OldSampleAround(aRange.pairs, aRange.first);
  for (std::size_t i = aRange.first + 1; i <= aRange.last; ++i) {
    old.Add(aRange.pairs[i].older);
  }
  for (const slowness_test& test : kSlownessTests) {
    if (reason || old.requests < kMinOldRequests) {
      break;
    }
    std::size_t slow = FirstSlowBucket(old, test);
    auto countSlow = [slow](const version_sample& aSample) {
      return CountSlow(aSample, slow);
    };
    reason =
      DescribeIfBad("slow", aRoute, aRange, kToleratedSlowRate, countSlow);
  }
  return reason ? Bad(std::move(*reason)) : version_assessment{};
}

/// Number of hosts on which the new version failed in the slices of a range.
std::size_t
FailingHostsIn(const sample_history& aHistory,
               const std::string& aNewVersion,
               std::size_t aFirst,
               std::size_t aLast)
{
  host_samples sum;
  for (std::size_t i = aFirst; i <= aLast; ++i) {
    for (const auto& [host, samples] : aHistory.Slices()[i]) {
      AddSamples(sum[host], samples);
    }
  }
  return CountFailingHosts(sum, aNewVersion);
}

} // namespace

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
  std::string summary = DescribeCounts(
    "failed", "all routes", CountFailed(newSum), CountFailed(oldSum));
  for (const slowness_test& test : kSlownessTests) {
    std::size_t slow = FirstSlowBucket(oldSum, test);
    summary += "; " + DescribeCounts("slow",
                                     "all routes",
                                     CountSlow(newSum, slow),
                                     CountSlow(oldSum, slow));
  }
  return summary;
}

version_assessment
CompareVersions(const version_samples& aSamples,
                const std::string& aNewVersion,
                std::size_t aFailingHosts)
{
  double tolerable = ToleratedFailureRate(aFailingHosts);
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

version_assessment
CompareRecent(const sample_history& aHistory, const std::string& aNewVersion)
{
  // The last slice is not judged before the next one shows what all hosts
  // reported of its time.
  if (aHistory.Slices().size() < 2) {
    return {};
  }
  std::size_t judged = aHistory.Slices().size() - 1;
  std::map<std::string, std::vector<version_pair>> pairs =
    PairsByRoute(aHistory, aNewVersion);
  bool reachesStart = false;
  for (std::size_t length = 1; !reachesStart; length *= 2) {
    reachesStart = length >= judged;
    std::size_t first = reachesStart ? 0 : judged - length;
    double tolerable = ToleratedFailureRate(
      FailingHostsIn(aHistory, aNewVersion, first, judged - 1));
    for (const auto& [route, ofRoute] : pairs) {
      version_assessment assessment =
        CompareRange(route.empty() ? "all routes" : route,
                     { ofRoute, first, judged - 1 },
                     tolerable);
      if (assessment.verdict == version_verdict::bad) {
        return assessment;
      }
    }
  }
  return {};
}

bool
IsOldVersionFailing(const sample_history& aHistory,
                    const std::string& aNewVersion)
{
  const std::deque<host_samples>& slices = aHistory.Slices();
  bad_count failed;
  for (std::size_t i = slices.size() - std::min(kSlicesNow, slices.size());
       i < slices.size();
       ++i) {
    for (const auto& [host, versions] : slices[i]) {
      for (const auto& [version, routes] : versions) {
        for (const auto& [route, sample] : routes) {
          if (version != aNewVersion) {
            failed.requests += sample.requests;
            failed.bad += sample.failed;
          }
        }
      }
    }
  }
  return failed.requests >= kMinOldRequests &&
         failed.Rate() > kFailingVersionRate;
}

} // namespace eelgrasstrack
