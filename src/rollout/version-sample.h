#ifndef EELGRASSTRACK_ROLLOUT_VERSION_SAMPLE_H_
#define EELGRASSTRACK_ROLLOUT_VERSION_SAMPLE_H_

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
  using bucket_counts = std::array<std::uint32_t, kBuckets>;

  std::uint32_t requests = 0;
  std::uint32_t failed = 0;
  bucket_counts time_buckets{};
  /// Requests without an answer, by the time they have run so far or had run
  /// when they were cancelled. Not counted in `requests`.
  bucket_counts unanswered_buckets{};

  void Add(bool aFailed, duration aDuration);
  void AddUnanswered(duration aElapsed);
  void Add(const version_sample& aOther);
};

/// Samples by version and route.
using version_samples =
  std::map<std::string, std::map<std::string, version_sample>>;

/// Samples by the host that counted them.
using host_samples = std::map<std::string, version_samples>;

/// Adds all samples of `aOther` to `aSum`.
void
AddSamples(version_samples& aSum, const version_samples& aOther);

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
inline constexpr std::array<slowness_test, 2> kSlownessTests{ { { 0.95, 2 },
                                                                { 0.5, 4 } } };

/// Index of the first response time bucket that counts as slow.
std::size_t
FirstSlowBucket(const version_sample& aOld, const slowness_test& aTest);

/// Requests of one version, and how many of them are bad.
struct bad_count
{
  std::uint32_t requests = 0;
  std::uint32_t bad = 0;

  /// Share of the requests that are bad, 0 to 1; 0 if there are none.
  double Rate() const;
};

/// Counts failed requests.
bad_count
CountFailed(const version_sample& aSample);

/// Counts slow requests. An unanswered request that is not slow yet is left
/// out, as it may still become slow.
bad_count
CountSlow(const version_sample& aSample, std::size_t aFirstSlowBucket);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_VERSION_SAMPLE_H_
