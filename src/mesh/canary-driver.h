#ifndef EELGRASSTRACK_MESH_CANARY_DRIVER_H_
#define EELGRASSTRACK_MESH_CANARY_DRIVER_H_

#include "mesh/control-store.h"
#include "mesh/host-directory.h"
#include "mesh/mesh-settings.h"
#include "proxy/instance-dispatcher.h"
#include "proxy/proxy-counters.h"
#include "rollout/version-judge.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// Learns of every step of a move, to spread it.
class canary_observer
{
public:
  virtual ~canary_observer() = default;
  virtual void OnCanaryUpdate(const canary_rollout& aMove) = 0;
};

/// When a move takes its steps.
struct canary_schedule
{
  /// From then on all requests go to the new version, if it is not bad.
  duration promote_at{ 0 };
  /// From then on the move is recorded as done.
  duration complete_at{ 0 };
};

/// The new version is kept to its trial share for as long as possible, since
/// a fault may show late; what remains is enough for requests that run on the
/// old version to end.
canary_schedule
ScheduleFor(duration aOver);

/// Carries out orders to move a service to a new version. Every node counts
/// what its instance answers and sends the counts to a few nodes. Each of them
/// takes a bad version back as soon as it sees the fault; the first one widens
/// and completes, and the next ones follow a little later if it does not.
class canary_driver
{
public:
  canary_driver(loop& aLoop,
                control_client& aCaller,
                control_store& aStore,
                host_directory& aDirectory,
                version_selector& aVersions,
                proxy_counters& aCounters,
                canary_observer& aOwner);

  void Start();
  void SetBounds(const mesh_bounds& aBounds) { mBounds = aBounds; }

  void OnOrder(const canary_order& aOrder);
  void OnOrderRemoved(const std::string& aService);
  /// A step that another node took.
  void OnCanaryUpdate(const canary_rollout& aMove);
  /// A request ended at the instance on this host.
  void OnResult(const std::string& aService, const run_result& aResult);

  /// Handles the counts of another node.
  result<void> HandleReport(const std::string& aBody);

private:
  struct open_order
  {
    canary_order order;
    time_point started_at{};
    /// Counts of each node, whole each time.
    std::map<std::string, version_samples> reports;
    bool recording = false;
    time_point retry_after{};
    /// Read from the store, so that progress can be recorded.
    bool from_store = false;
  };

  void Tick();
  void ReportSamples(const std::string& aService, open_order& aOpen);
  void DecideNextPhase(open_order& aOpen);
  void EnterPhase(open_order& aOpen,
                  canary_phase aPhase,
                  const std::string& aReason);
  void RecordPhase(open_order& aOpen, canary_phase aPhase);
  void OpenOrder(const canary_order& aOrder, time_point aBegan);
  void SendReport(const std::string& aHost, const std::string& aBody);
  version_samples TotalSamples(const open_order& aOpen) const;
  /// Number of hosts beside which the new version failed.
  static std::size_t CountFailingHosts(const open_order& aOpen);
  bool IsVersionServing(const std::string& aService,
                        const std::string& aVersion) const;
  time_point StartTimeOf(const canary_order& aOrder) const;

  loop& mLoop;
  control_client& mClient;
  control_store& mStore;
  host_directory& mDirectory;
  version_selector& mVersions;
  proxy_counters& mCounters;
  canary_observer& mObserver;
  mesh_bounds mBounds;
  std::map<std::string, open_order> mOpenOrders;
  /// Counts of the instance on this host, by service.
  std::map<std::string, version_samples> mOwnSamples;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_CANARY_DRIVER_H_
