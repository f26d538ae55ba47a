#ifndef EELGRASSTRACK_MESH_MOVE_DRIVER_H_
#define EELGRASSTRACK_MESH_MOVE_DRIVER_H_

#include "mesh/control-store.h"
#include "mesh/host-directory.h"
#include "mesh/mesh-settings.h"
#include "proxy/instance-port.h"
#include "proxy/proxy-counters.h"
#include "rollout/version-comparison.h"
#include "wire/caller.h"

namespace eelgrasstrack {

/// Learns of every step of a move, to spread it.
class move_driver_owner
{
public:
  virtual ~move_driver_owner() = default;
  virtual void OnMove(const version_move& aMove) = 0;
};

/// When a move takes its steps.
struct move_times
{
  /// From then on all requests go to the new version, if it is not bad.
  duration widen_at{ 0 };
  /// From then on the move is recorded as done.
  duration complete_at{ 0 };
};

/// The new version is kept to its trial share for as long as possible, since
/// a fault may show late; what remains is enough for requests that run on the
/// old version to end.
move_times
TimesOf(duration aOver);

/// Carries out orders to move a service to a new version. Every node counts
/// what its instance answers and sends the counts to a few nodes. Each of them
/// takes a bad version back as soon as it sees the fault; the first one widens
/// and completes, and the next ones follow a little later if it does not.
class move_driver
{
public:
  move_driver(loop& aLoop,
              caller& aCaller,
              control_store& aStore,
              host_directory& aDirectory,
              version_gate& aVersions,
              proxy_counters& aCounters,
              move_driver_owner& aOwner);

  void Start();
  void SetBounds(const mesh_bounds& aBounds) { mBounds = aBounds; }

  void OnOrder(const move_order& aOrder);
  void OnOrderRemoved(const std::string& aService);
  /// A step that another node took.
  void OnMove(const version_move& aMove);
  /// A request ended at the instance on this host.
  void OnResult(const std::string& aService, const run_result& aResult);

  /// Handles the counts of another node.
  result<void> TakeReport(const std::string& aBody);

private:
  struct open_order
  {
    move_order order;
    time_point began{};
    /// Counts of each node, whole each time.
    std::map<std::string, version_samples> reports;
    bool writing = false;
    time_point try_after{};
    /// Read from the store, so that progress can be recorded.
    bool from_store = false;
  };

  void Tick();
  void Report(const std::string& aService, open_order& aOpen);
  void Decide(open_order& aOpen);
  void Step(open_order& aOpen, move_phase aPhase, const std::string& aReason);
  void Record(open_order& aOpen, move_phase aPhase);
  void Open(const move_order& aOrder, time_point aBegan);
  void SendReport(const std::string& aHost, const std::string& aBody);
  version_samples Sum(const open_order& aOpen) const;
  /// Number of hosts beside which the new version failed.
  static std::size_t FailingHosts(const open_order& aOpen);
  bool Runs(const std::string& aService, const std::string& aVersion) const;
  time_point BeganAt(const move_order& aOrder) const;

  loop& mLoop;
  caller& mCaller;
  control_store& mStore;
  host_directory& mDirectory;
  version_gate& mVersions;
  proxy_counters& mCounters;
  move_driver_owner& mOwner;
  mesh_bounds mBounds;
  std::map<std::string, open_order> mOpen;
  /// Counts of the instance on this host, by service.
  std::map<std::string, version_samples> mOwn;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_MOVE_DRIVER_H_
