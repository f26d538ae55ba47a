#ifndef EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_
#define EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// Counts of the requests that one version served on one route.
struct version_sample
{
  /// Two buckets for each doubling of the time, from 1 ms.
  static constexpr std::size_t kBuckets = 34;

  std::uint32_t requests = 0;
  std::uint32_t failed = 0;
  std::array<std::uint32_t, kBuckets> time_buckets{};

  void Add(bool aFailed, duration aDuration);
  void Add(const version_sample& aOther);
};

/// Samples by version and route.
using version_samples =
  std::map<std::string, std::map<std::string, version_sample>>;

enum class version_verdict
{
  undecided,
  bad,
};

struct version_assessment
{
  version_verdict verdict = version_verdict::undecided;
  /// In plain words, with the counts.
  std::string reason;
};

/// Requests and failures of the new version and of all others, for people.
std::string
SummaryOf(const version_samples& aSamples, const std::string& aNewVersion);

/// Compares a new version with the old one by what instances answered. It says
/// bad if a version that is no worse would show such counts once in a thousand
/// looks or less (one-sided binomial test), on any route or on all together.
/// `aFailingHosts` is the number of hosts beside which the new version failed:
/// a fault of one host says little about the version.
version_assessment
CompareVersions(const version_samples& aSamples,
                const std::string& aNewVersion,
                std::size_t aFailingHosts);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_
