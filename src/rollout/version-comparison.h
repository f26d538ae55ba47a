#ifndef EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_
#define EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_

#include <string>

#include "rollout/sample-history.h"
#include "rollout/version-sample.h"

namespace eelgrasstrack {

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

/// Compares a new version with all others like `CompareVersions`, over the end
/// of the history from any of its slices on. Each slice is compared with the
/// old version's rate at that time, so that a trouble of both versions does not
/// hide a fault of the new one before or after it. Unanswered requests are left
/// out.
version_assessment
CompareRecent(const sample_history& aHistory, const std::string& aNewVersion);

/// Whether the old version fails so often now that failures of the new one show
/// nothing.
bool
IsOldVersionFailing(const sample_history& aHistory,
                    const std::string& aNewVersion);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_VERSION_COMPARISON_H_
