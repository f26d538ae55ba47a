#ifndef EELGRASSTRACK_HARNESS_VIRTUAL_MESH_H_
#define EELGRASSTRACK_HARNESS_VIRTUAL_MESH_H_

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "harness/virtual-time.h"
#include "rollout/rollout-driver.h"

namespace eelgrasstrack::harness {

/// Fault of the new version.
enum class version_fault
{
  none,
  fails_always,
  /// One call in five fails.
  fails_fifth,
  /// One call in twenty fails.
  fails_twentieth,
  slow_threefold,
  /// One call in five fails after 40 % of the plan time.
  fails_later,
  /// Calls take three times as long while more than half of the slots are busy.
  slow_under_load,
  /// Half of the calls on one route fail.
  single_route,
  /// Half of the calls to the instances in one failure domain fail.
  one_domain,
  /// Half of the calls to one instance fail.
  one_instance,
  /// Half of the answers are truncated.
  truncated,
  /// Both versions fail at the same rate from 35 % to 45 % of the plan time.
  common_failure,
  /// Both versions fail one call in a hundred throughout.
  noisy,
};

/// Fault of the platform during the rollout.
enum class platform_fault
{
  none,
  /// The store is unavailable from a tenth of the plan time until 30 s after
  /// the deadline.
  store_out,
  /// Every second node restarts at the same time.
  herd_restart,
  /// One failure domain is separated from the others for a fifth of the plan
  /// time.
  partition,
};

/// What controls the rollout: the product or a baseline.
enum class rollout_policy
{
  product,
  /// Shares increase at fixed times, without checks.
  timed_steps,
  /// Shares increase at fixed times. After each 100 calls or more to the new
  /// version, it is rolled back if more than 5 % of them failed.
  fixed_threshold,
};

/// Names in the results of random runs and experiments.
std::string_view
NameOf(version_fault aFault);
std::string_view
NameOf(platform_fault aFault);
std::string_view
NameOf(rollout_policy aPolicy);

/// Size, load and faults of a simulated mesh.
struct mesh_options
{
  rollout_policy policy = rollout_policy::product;
  version_fault fault = version_fault::none;
  platform_fault platform = platform_fault::none;
  std::uint64_t seed = 1;
  std::size_t domains = 4;
  std::size_t instances_per_version = 4;
  unsigned slots = 12;
  /// Median service time.
  duration base_time = std::chrono::milliseconds(20);
  /// One-way time between two nodes.
  duration latency = std::chrono::microseconds(1500);
  std::size_t callers = 400;
  double calls_per_second = 20;
  std::size_t routes = 5;
  /// Part of the calls that the route with the least traffic receives, 0 to 1.
  double quiet_route_share = 0.04;
  bool repeatable = true;
  /// Time from the start of the rollout to its deadline.
  duration plan_time = std::chrono::seconds(600);
};

/// Result of one rollout.
struct mesh_outcome
{
  bool done = false;
  bool taken_back = false;
  bool on_time = false;
  /// Time from the start to the end of the rollout, in seconds.
  double ended_s = 0;
  std::size_t callers = 0;
  std::size_t callers_exposed = 0;
  /// Callers with a failed call or a slow call to the new version; 0 if the
  /// fault does not affect callers.
  std::size_t callers_hurt = 0;
  std::uint64_t calls = 0;
  /// Failed calls and slow calls to the new version, like `callers_hurt`.
  std::uint64_t calls_hurt = 0;
  /// Time from the first halt on any node to the start of the last call to the
  /// new version, in seconds.
  double stop_after_halt_s = 0;
  std::uint64_t ejected = 0;
  std::uint64_t report_messages = 0;
  std::string reason;
};

/// Simulates a service with an old and a new version and its callers, with the
/// product's own first hops, last hops and rollout drivers, on a virtual clock.
class virtual_mesh
{
public:
  explicit virtual_mesh(mesh_options aOptions);
  ~virtual_mesh();

  /// Runs one rollout until one second after its end, or until 60 s after its
  /// deadline.
  mesh_outcome Run();

private:
  class virtual_node;
  class fake_upstream;
  friend class virtual_node;
  friend class fake_upstream;

  void BuildConfig();
  void BuildNodes();
  void ScheduleCalls();
  void SendCall();
  void ApplyOutcome(rollout_phase aPhase, const rollout_state& aState);
  void SpreadState(std::size_t aFrom, const rollout_state& aState);
  void ExchangeStates();
  bool IsReachable(std::size_t aFrom, std::size_t aTo) const;
  void ApplyPlatformFault();
  bool FaultAffectsCallers() const;
  void RunBaselineStep();
  double Progress() const;
  bool FaultApplies(std::size_t aInstance, const std::string& aPath) const;

  mesh_options mOptions;
  virtual_time mTime;
  std::mt19937_64 mRandom;
  snapshot_ptr mConfig;
  document_map mDocuments;
  std::vector<std::unique_ptr<virtual_node>> mNodes;
  std::int64_t mStartMs = 0;
  std::int64_t mDeadlineMs = 0;
  time_point mStart{};
  bool mStoreDown = false;
  std::set<std::size_t> mPartitionedDomains;
  std::set<std::size_t> mAffectedCallers;
  std::set<std::size_t> mExposedCallers;
  time_point mFirstHalt{};
  time_point mLastNewVersionCall{};
  std::uint64_t mBaselineNewCalls = 0;
  std::uint64_t mBaselineNewFailures = 0;
  mesh_outcome mOutcome;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_VIRTUAL_MESH_H_
