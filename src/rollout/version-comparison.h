#ifndef EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_
#define EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// Counts and response times of the requests that one version served on one
/// route.
struct version_sample
{
  /// Number of response time buckets: two for each doubling, starting at 1 ms.
  static constexpr std::size_t kBuckets = 34;

  std::uint32_t requests = 0;
  std::uint32_t failed = 0;
  std::array<std::uint32_t, kBuckets> time_buckets{};
  /// Requests without an answer, by the time they have run so far or had run
  /// when they were cancelled. Not counted in `requests`.
  std::array<std::uint32_t, kBuckets> unanswered_buckets{};

  void Add(bool aFailed, duration aDuration);
  void AddUnanswered(duration aElapsed);
  void Add(const version_sample& aOther);
};

/// Samples by version and route.
using version_samples =
  std::map<std::string, std::map<std::string, version_sample>>;

/// Result of a comparison of two versions.
enum class version_verdict
{
  undecided,
  bad,
};

/// The verdict on a version and the reason for it.
struct version_assessment
{
  version_verdict verdict = version_verdict::undecided;
  /// Explanation for people, with the counts. Empty unless the verdict is
  /// `bad`.
  std::string reason;
};

/// Describes the requests, failures and slow requests of the new version and of
/// all others, for people.
std::string
SummaryOf(const version_samples& aSamples, const std::string& aNewVersion);

/// Compares a new version with all others by the responses of their instances.
/// The verdict is `bad` if a version within the tolerated rates would show such
/// counts in less than one of 1000 comparisons (one-sided binomial test), on
/// any route or on all routes together. `aFailingHosts` is the number of hosts
/// on which the new version failed: failures on a single host may be a fault of
/// that host and say little about the version. An unanswered request counts
/// once it has run long enough to be slow, so that slow responses are noticed
/// before they end.
version_assessment
CompareVersions(const version_samples& aSamples,
                const std::string& aNewVersion,
                std::size_t aFailingHosts);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_
