#ifndef EELGRASSTRACK_TEST_HARNESS_TRAFFIC_MODEL_H_
#define EELGRASSTRACK_TEST_HARNESS_TRAFFIC_MODEL_H_

#include <functional>
#include <memory>

#include "proxy/instance-chooser.h"

namespace eelgrasstrack::test {

/// How a first hop chooses among instances.
class choice_policy
{
public:
  virtual ~choice_policy() = default;
  /// Returns the index of the chosen candidate, or nothing if none may be used.
  virtual std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates,
    const std::set<std::string>& aAttempted,
    const request_urgency& aRequest,
    time_point aNow) = 0;
  /// Records the end of an attempt.
  virtual void RecordEnd(const std::string& aInstance,
                         const request_urgency& aRequest,
                         instance_chooser::outcome aOutcome,
                         const run_load& aLoad,
                         time_point aNow) = 0;
};

/// Creates the policy of one node.
using policy_factory =
  std::function<std::unique_ptr<choice_policy>(std::uint64_t aSeed)>;

/// The product's policy, `instance_chooser`.
std::unique_ptr<choice_policy>
ExpectedTimePolicy(std::uint64_t aSeed);

/// Baselines: round robin, and the instance with the fewest outstanding
/// requests of this node.
std::unique_ptr<choice_policy>
RoundRobinPolicy(std::uint64_t aSeed);
std::unique_ptr<choice_policy>
LeastOutstandingPolicy(std::uint64_t aSeed);

/// One service in one failure domain and the nodes that call it.
struct traffic_pattern
{
  unsigned nodes = 18;
  unsigned instances = 7;
  unsigned slots = 6;
  /// Requests per second of all nodes together.
  double per_second = 130;
  /// Mean time of a request at an idle instance.
  duration service_time = std::chrono::milliseconds(130);
  /// Both limits count from the start of a request.
  duration latency_target = std::chrono::milliseconds(400);
  duration deadline = std::chrono::milliseconds(1500);
  /// Ratio of the times that a request takes at the slowest and at the fastest
  /// instance.
  double speed_spread = 3;
  /// Relative slowdown of an instance with all slots in use. It grows with the
  /// square of the utilization.
  double load_slowdown = 0.4;
  /// How long requests arrive.
  duration length = std::chrono::seconds(20);
  std::uint64_t seed = 1;
};

/// Counts of the requests by outcome.
struct traffic_outcome
{
  unsigned offered = 0;
  /// Answered within the latency target.
  unsigned on_time = 0;
  /// Answered later, but by the deadline.
  unsigned late = 0;
  /// No instance could be chosen, or all attempts were used up.
  unsigned refused = 0;

  /// Fraction of the requests that were answered within the latency target.
  double OnTimeFraction() const;
};

/// Simulates a pattern on a virtual clock: one policy per node chooses the
/// instances, and each instance has the product's run queue.
traffic_outcome
SimulateTraffic(const traffic_pattern& aPattern,
                const policy_factory& aPolicies);

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_TRAFFIC_MODEL_H_
