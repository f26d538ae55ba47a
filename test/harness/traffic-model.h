#ifndef EELGRASSTRACK_TEST_HARNESS_TRAFFIC_MODEL_H_
#define EELGRASSTRACK_TEST_HARNESS_TRAFFIC_MODEL_H_

#include <functional>
#include <memory>

#include "proxy/instance-chooser.h"

namespace eelgrasstrack::test {

/// How one first hop chooses among instances.
class choice_policy
{
public:
  virtual ~choice_policy() = default;
  virtual std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates,
    const std::set<std::string>& aAttempted,
    const choice_request& aRequest,
    time_point aNow) = 0;
  virtual void Ended(const std::string& aInstance,
                     const choice_request& aRequest,
                     instance_chooser::outcome aOutcome,
                     const run_load& aLoad,
                     time_point aNow) = 0;
};

/// Makes the policy of one node.
using policy_factory =
  std::function<std::unique_ptr<choice_policy>(std::uint64_t aSeed)>;

/// The project's own choice.
std::unique_ptr<choice_policy>
ExpectedTimePolicy(std::uint64_t aSeed);

/// Baselines: in turn, and the one with the fewest requests of this node.
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
  /// Requests of all nodes together.
  double per_second = 130;
  /// Mean time of a request at an idle instance.
  duration service_time = std::chrono::milliseconds(130);
  duration latency_target = std::chrono::milliseconds(400);
  duration deadline = std::chrono::milliseconds(1500);
  /// The slowest instance takes so many times as long as the fastest.
  double speed_spread = 3;
  /// A full instance takes so many times as long, and more again.
  double load_slowdown = 0.4;
  duration length = std::chrono::seconds(20);
  std::uint64_t seed = 1;
};

struct traffic_outcome
{
  unsigned offered = 0;
  unsigned on_time = 0;
  unsigned late = 0;
  unsigned refused = 0;

  /// Part of the requests that were answered within their goal.
  double OnTimeFraction() const;
};

/// Plays a pattern on a virtual clock: first hops that choose by a policy,
/// and the project's queue at each instance.
traffic_outcome
SimulateTraffic(const traffic_pattern& aPattern,
                const policy_factory& aPolicies);

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_TRAFFIC_MODEL_H_
