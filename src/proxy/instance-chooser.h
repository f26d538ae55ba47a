#ifndef EELGRASSTRACK_PROXY_INSTANCE_CHOOSER_H_
#define EELGRASSTRACK_PROXY_INSTANCE_CHOOSER_H_

#include <array>
#include <random>
#include <set>
#include <unordered_map>

#include "proxy/run-queue.h"

namespace eelgrasstrack {

/// An instance that may run a request.
struct instance_candidate
{
  std::string host;
  std::string instance;
  /// Failure domain of the host.
  std::string domain;
  unsigned slots = 1;
  /// The host does not answer probes.
  bool unreachable = false;
  /// The instance started recently and is still slow.
  bool warming_up = false;
  /// Start of the instance, in Unix milliseconds.
  std::int64_t started_unix_ms = 0;
};

/// The properties of a request that the choice depends on.
struct request_urgency
{
  /// 0 is the highest priority.
  unsigned priority = 0;
  /// Negative once the soft deadline has passed.
  duration time_to_soft_deadline{ 0 };
  /// Expected size of the answer; 0 if unknown.
  std::size_t answer_bytes = 0;
};

/// Chooses the instance with the lowest expected response time. The estimate
/// depends on the average duration of requests at the instance, its load, its
/// recent failure rate and the cost of traffic to another failure domain.
class instance_chooser
{
public:
  instance_chooser(std::string aDomain, std::uint64_t aSeed);

  /// Returns the index of the best candidate, or nothing. Skips the instances
  /// in `aAttempted` and those that recently refused a request of this kind.
  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates,
    const std::set<std::string>& aAttempted,
    const request_urgency& aRequest,
    time_point aNow);

  /// Records that a request was sent to an instance.
  void RecordStart(const std::string& aInstance);

  enum class outcome
  {
    answered,
    failed,
    /// Not run: full, leaving or another instance.
    refused,
    /// Does not affect the failure rate, e.g. because the caller disconnected.
    cancelled,
  };

  /// Records the end of a request and the load that the instance reported.
  void RecordEnd(const std::string& aInstance,
                 const request_urgency& aRequest,
                 outcome aOutcome,
                 const std::optional<run_load>& aLoad,
                 time_point aNow);

  /// Removes the statistics of instances that were not chosen for 60 s.
  void RemoveUnused(time_point aNow);

private:
  static constexpr std::size_t kPriorityLevels = 16;

  /// Statistics of one instance, as this node sees it.
  struct instance_load
  {
    /// Requests of this node that have not ended.
    unsigned outstanding = 0;
    /// Requests of other nodes at the instance, from the last report.
    double other_requests = 0;
    /// Moving average of `other_requests`.
    double average_other_requests = 0;
    time_point reported_at{};
    /// Time that a large answer waits for the link of the host, as last
    /// reported.
    duration link_wait{ 0 };
    /// Time until the limit of the instance allows one more request, as last
    /// reported.
    duration limit_wait{ 0 };
    /// Average duration of a request, as last reported; 0 if unknown.
    double average_microseconds = 0;
    /// Moving average, 0 to 1.
    double failure_rate = 0;
    time_point failed_at{};
    /// Time until which requests are expected to be refused, by priority and
    /// by whether the soft deadline is still ahead (0) or has passed (1).
    std::array<std::array<time_point, 2>, kPriorityLevels> full_until{};
    time_point last_used{};
  };

  /// Expected response time. `aMeanMicroseconds` replaces the average duration
  /// if that of the instance is unknown.
  double ExpectedMicroseconds(const instance_candidate& aCandidate,
                              double aMeanMicroseconds,
                              const request_urgency& aRequest,
                              time_point aNow);
  /// Time until which the instance is expected to refuse such a request.
  static time_point FullUntil(const instance_load& aLoad,
                              const request_urgency& aRequest);
  /// Expects the instance to refuse such requests until `aUntil`.
  static void MarkFull(instance_load& aLoad,
                       const request_urgency& aRequest,
                       time_point aUntil);
  /// Mean of the average durations of the candidates where they are known.
  double MeanMicroseconds(
    const std::vector<instance_candidate>& aCandidates) const;

  std::string mDomain;
  std::mt19937_64 mRandom;
  std::unordered_map<std::string, instance_load> mLoads;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INSTANCE_CHOOSER_H_
