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

/// What is wrong with the new version.
enum class version_fault
{
  none,
  fails_always,
  fails_fifth,
  fails_twentieth,
  slow_threefold,
  fails_later,
  slow_under_load,
  single_route,
  one_domain,
  one_instance,
  truncated,
  /// Both versions fail alike for a while.
  common_failure,
  /// Both versions fail one call in a hundred, all the time.
  noisy,
};

enum class platform_fault
{
  none,
  store_out,
  herd_restart,
  partition,
};

/// How a rollout is run: by the product, or by a baseline.
enum class rollout_policy
{
  product,
  /// Shares rise at set times, nothing is checked.
  timed_steps,
  /// Shares rise at set times; the new version is taken back when more than
  /// 5 % of its last calls failed, at a set number of calls.
  fixed_threshold,
};

std::string_view
NameOf(version_fault aFault);
std::string_view
NameOf(platform_fault aFault);
std::string_view
NameOf(rollout_policy aPolicy);

struct mesh_options
{
  rollout_policy policy = rollout_policy::product;
  version_fault fault = version_fault::none;
  platform_fault platform = platform_fault::none;
  std::uint64_t seed = 1;
  std::size_t domains = 4;
  std::size_t instances_per_version = 4;
  unsigned slots = 12;
  duration base_time = std::chrono::milliseconds(20);
  duration latency = std::chrono::microseconds(1500);
  std::size_t callers = 400;
  double calls_per_second = 20;
  std::size_t routes = 5;
  /// Part of the calls that the quietest route gets.
  double quiet_route_share = 0.04;
  bool repeatable = true;
  duration plan_time = std::chrono::seconds(600);
};

/// What came of one rollout.
struct mesh_outcome
{
  bool done = false;
  bool taken_back = false;
  bool on_time = false;
  double ended_s = 0;
  std::size_t callers = 0;
  std::size_t callers_exposed = 0;
  std::size_t callers_hurt = 0;
  std::uint64_t calls = 0;
  std::uint64_t calls_hurt = 0;
  /// From the first halt anywhere to the last new call to the new version.
  double stop_after_halt_s = 0;
  std::uint64_t ejected = 0;
  std::uint64_t report_messages = 0;
  std::string reason;
};

/// A service with an old and a new version, callers, and the product's own
/// first hops, last hops and rollout drivers on a virtual clock.
class virtual_mesh
{
public:
  explicit virtual_mesh(mesh_options aOptions);
  ~virtual_mesh();

  /// Runs one rollout to its end, or to some time after its set time.
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
