#include "rollout/version-judge.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

/// Rates below which a version is never called bad: faults of single
/// instances and of links look alike.
constexpr double kTolerableFailures = 0.06;
/// The same where several hosts see failures of the version.
constexpr double kTolerableSpreadFailures = 0.004;
constexpr std::size_t kSeveralHosts = 2;
constexpr double kTolerableSlowness = 0.08;
/// A version may fail or be slow this many times as often as the old one.
constexpr double kTolerableRatio = 2.5;
constexpr double kSignificance = 1e-3;
constexpr std::uint32_t kFewestBadAnswers = 3;
/// Requests of the old version that are needed to tell what is slow.
constexpr std::uint32_t kFewestOldRequests = 30;
/// What counts as slow: longer than a quantile of the old version's times by
/// some buckets.
struct slowness_test
{
  double quantile = 0;
  std::size_t buckets_above = 0;
};

/// The first finds a part of the requests slow. The second finds all of them
/// slow while some hosts of the old version are slow as well, which hides the
/// first; its margin is wider than good instances differ in speed.
constexpr std::array<slowness_test, 2> kSlownessTests{ { { 0.95, 2 },
                                                         { 0.5, 4 } } };

std::size_t
BucketOf(duration aTook)
{
  double milliseconds =
    std::max(1.0, std::chrono::duration<double, std::milli>(aTook).count());
  auto bucket = static_cast<std::size_t>(2 * std::log2(milliseconds));
  return std::min(bucket, version_sample::kBuckets - 1);
}

/// Probability of `aHits` or more out of `aTries` at a rate of `aRate`.
double
BinomialTail(std::uint32_t aTries, std::uint32_t aHits, double aRate)
{
  double tail = 0;
  for (std::uint32_t hits = aHits; hits <= aTries; ++hits) {
    double logTerm = std::lgamma(aTries + 1.0) - std::lgamma(hits + 1.0) -
                     std::lgamma(aTries - hits + 1.0) + hits * std::log(aRate) +
                     (aTries - hits) * std::log1p(-aRate);
    tail += std::exp(logTerm);
  }
  return tail;
}

bool
TooMany(std::uint32_t aRequests,
        std::uint32_t aHits,
        double aOldRate,
        double aTolerable)
{
  if (aHits < kFewestBadAnswers) {
    return false;
  }
  double rate = std::min(0.9, std::max(aTolerable, kTolerableRatio * aOldRate));
  return BinomialTail(aRequests, aHits, rate) < kSignificance;
}

double
RateOf(std::uint32_t aHits, std::uint32_t aRequests)
{
  return aRequests == 0 ? 0 : static_cast<double>(aHits) / aRequests;
}

std::size_t
SlowFrom(const version_sample& aOld, const slowness_test& aTest)
{
  double wanted = aTest.quantile * aOld.requests;
  double seen = 0;
  for (std::size_t i = 0; i < aOld.took.size(); ++i) {
    seen += aOld.took[i];
    if (seen >= wanted) {
      return i + 1 + aTest.buckets_above;
    }
  }
  return aOld.took.size();
}

std::uint32_t
CountFrom(const version_sample& aSample, std::size_t aBucket)
{
  std::uint32_t count = 0;
  for (std::size_t i = aBucket; i < aSample.took.size(); ++i) {
    count += aSample.took[i];
  }
  return count;
}

std::string
Counts(const char* aWhat,
       const std::string& aRoute,
       std::uint32_t aNewHits,
       std::uint32_t aNew,
       std::uint32_t aOldHits,
       std::uint32_t aOld)
{
  return std::to_string(aNewHits) + " of " + std::to_string(aNew) + " " +
         aWhat + " on " + aRoute + ", before " + std::to_string(aOldHits) +
         " of " + std::to_string(aOld);
}

version_opinion
JudgeRoute(const std::string& aRoute,
           const version_sample& aOld,
           const version_sample& aNew,
           double aTolerableFailures)
{
  version_opinion opinion;
  if (TooMany(aNew.requests,
              aNew.failed,
              RateOf(aOld.failed, aOld.requests),
              aTolerableFailures)) {
    opinion.verdict = version_verdict::bad;
    opinion.reason = Counts(
      "failed", aRoute, aNew.failed, aNew.requests, aOld.failed, aOld.requests);
    return opinion;
  }
  if (aOld.requests < kFewestOldRequests) {
    return opinion;
  }
  for (const slowness_test& test : kSlownessTests) {
    std::size_t slow = SlowFrom(aOld, test);
    std::uint32_t oldSlow = CountFrom(aOld, slow);
    std::uint32_t newSlow = CountFrom(aNew, slow);
    if (TooMany(aNew.requests,
                newSlow,
                RateOf(oldSlow, aOld.requests),
                kTolerableSlowness)) {
      opinion.verdict = version_verdict::bad;
      opinion.reason =
        Counts("slow", aRoute, newSlow, aNew.requests, oldSlow, aOld.requests);
      return opinion;
    }
  }
  return opinion;
}

} // namespace

void
version_sample::Add(bool aFailed, duration aTook)
{
  ++requests;
  failed += aFailed ? 1 : 0;
  ++took[BucketOf(aTook)];
}

void
version_sample::Add(const version_sample& aOther)
{
  requests += aOther.requests;
  failed += aOther.failed;
  for (std::size_t i = 0; i < took.size(); ++i) {
    took[i] += aOther.took[i];
  }
}

std::string
SummaryOf(const version_samples& aSamples, const std::string& aNewVersion)
{
  version_sample before;
  version_sample after;
  for (const auto& [version, routes] : aSamples) {
    for (const auto& [route, sample] : routes) {
      (version == aNewVersion ? after : before).Add(sample);
    }
  }
  return Counts("failed",
                "all routes",
                after.failed,
                after.requests,
                before.failed,
                before.requests);
}

version_opinion
JudgeVersion(const version_samples& aSamples,
             const std::string& aNewVersion,
             std::size_t aFailingHosts)
{
  double tolerable = aFailingHosts >= kSeveralHosts ? kTolerableSpreadFailures
                                                    : kTolerableFailures;
  auto fresh = aSamples.find(aNewVersion);
  if (fresh == aSamples.end()) {
    return {};
  }
  std::map<std::string, version_sample> before;
  for (const auto& [version, routes] : aSamples) {
    if (version == aNewVersion) {
      continue;
    }
    for (const auto& [route, sample] : routes) {
      before[route].Add(sample);
    }
  }
  version_sample allOld;
  version_sample allNew;
  for (const auto& [route, sample] : fresh->second) {
    version_opinion opinion =
      JudgeRoute(route, before[route], sample, tolerable);
    if (opinion.verdict == version_verdict::bad) {
      return opinion;
    }
    allNew.Add(sample);
    allOld.Add(before[route]);
  }
  return JudgeRoute("all routes", allOld, allNew, tolerable);
}

} // namespace eelgrasstrack
