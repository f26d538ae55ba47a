#ifndef EELGRASSTRACK_PROXY_INSTANCE_CHOOSER_H_
#define EELGRASSTRACK_PROXY_INSTANCE_CHOOSER_H_

#include <array>
#include <random>
#include <set>
#include <unordered_map>

#include "proxy/run-queue.h"

namespace eelgrasstrack {

/// An instance that a request may go to.
struct instance_candidate
{
  std::string host;
  std::string instance;
  std::string domain;
  unsigned slots = 1;
  bool unreachable = false;
  /// It started a short while ago and is slow.
  bool cold = false;
};

/// What the choice depends on, of the request.
struct request_urgency
{
  /// 0 is the most urgent.
  unsigned priority = 0;
  /// Time left until its goal; below 0 if that has passed.
  duration time_to_soft_deadline{ 0 };
};

/// Chooses instances by the time at which an answer is expected: how fast each
/// is, what waits there, how often it failed lately, and what crossing failure
/// domains costs.
class instance_chooser
{
public:
  instance_chooser(std::string aDomain, std::uint64_t aSeed);

  /// Returns the index of the best candidate that is not in `aTried` (names
  /// of instances) and did not refuse such a request a moment ago.
  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates,
    const std::set<std::string>& aAttempted,
    const request_urgency& aRequest,
    time_point aNow);

  void RecordStart(const std::string& aInstance);

  enum class outcome
  {
    answered,
    failed,
    refused,
    /// Nothing is learned, such as when the caller left.
    cancelled,
  };

  void RecordEnd(const std::string& aInstance,
                 const request_urgency& aRequest,
                 outcome aOutcome,
                 const std::optional<run_load>& aLoad,
                 time_point aNow);

  /// Drops instances that were not chosen for a while.
  void RemoveUnused(time_point aNow);

private:
  static constexpr std::size_t kPriorityLevels = 4;

  struct instance_load
  {
    unsigned outstanding = 0;
    /// Requests of other nodes at the instance, as last reported.
    double other_requests = 0;
    /// Moving average of those reports.
    double average_other_requests = 0;
    time_point reported_at{};
    /// Moving average of the time a request takes, in microseconds.
    double average_microseconds = 0;
    /// Moving average of failures, 0 to 1.
    double failure_rate = 0;
    time_point failed_at{};
    /// Until when requests of a rank, in time for their goal or late for it,
    /// would be refused.
    std::array<std::array<time_point, 2>, kPriorityLevels> full_until{};
    time_point last_used{};
  };

  double ExpectedMicroseconds(const instance_candidate& aCandidate,
                              double aMeanMicroseconds,
                              duration aTimeToSoftDeadline,
                              time_point aNow);
  static time_point FullUntil(const instance_load& aLoad,
                              const request_urgency& aRequest);
  static void MarkFull(instance_load& aLoad,
                       const request_urgency& aRequest,
                       time_point aUntil);
  double MeanMicroseconds(
    const std::vector<instance_candidate>& aCandidates) const;

  std::string mDomain;
  std::mt19937_64 mRandom;
  std::unordered_map<std::string, instance_load> mLoads;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INSTANCE_CHOOSER_H_
