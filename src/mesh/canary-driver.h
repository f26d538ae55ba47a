#ifndef EELGRASSTRACK_MESH_CANARY_DRIVER_H_
#define EELGRASSTRACK_MESH_CANARY_DRIVER_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>

#include "mesh/canary-schedule.h"
#include "mesh/control-store.h"
#include "mesh/host-directory.h"
#include "mesh/mesh-settings.h"
#include "proxy/instance-dispatcher.h"
#include "proxy/proxy-counters.h"
#include "rollout/sample-history.h"
#include "rollout/version-comparison.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// The node's interface to its rollouts.
class canary_observer
{
public:
  virtual ~canary_observer() = default;
  /// A canary rollout has changed here; other nodes are to be told.
  virtual void OnCanaryUpdate(const canary_rollout& aCanary) = 0;
  /// Another node has told of a change of a canary rollout.
  virtual void OnCanaryLearned() = 0;
  /// A decider has not answered a report.
  virtual void OnDeciderSilent(const std::string& aHost) = 0;
};

/// Carries out canary orders. Every node counts the results of its instance and
/// sends the counts to a few nodes, the deciders. Each decider rolls a bad
/// version back as soon as it detects the fault. The first decider promotes and
/// completes the rollout; each further decider does so a little later if the
/// ones before it have not.
class canary_driver
{
public:
  canary_driver(loop& aLoop,
                control_client& aClient,
                control_store& aStore,
                host_directory& aDirectory,
                version_selector& aVersions,
                proxy_counters& aCounters,
                canary_observer& aObserver);

  /// Starts the periodic reports and decisions.
  void Start();
  /// Sets the share of canary requests for orders received from now on.
  void SetBounds(const mesh_bounds& aBounds) { mBounds = aBounds; }

  /// Starts or updates a rollout from an order in the store.
  void OnOrder(const canary_order& aOrder);
  /// Stops handling the order of a service.
  void OnOrderRemoved(const std::string& aService);
  /// Merges a rollout state received from another node.
  void OnCanaryUpdate(const canary_rollout& aCanary);
  /// Counts a request that the instance on this host ran.
  void OnResult(const std::string& aService, const run_result& aResult);
  /// Returns the requests of a service that the instance on this host runs now.
  using running_requests =
    std::function<std::vector<run_result>(const std::string& aService)>;
  void SetRunningRequests(running_requests aSource)
  {
    mRunningRequests = std::move(aSource);
  }

  /// Whether the instance on this host is of a new version that gets no canary
  /// requests for now, since the deciders can't tell whether it is bad.
  bool IsHeld(const instance_record& aInstance) const;

  /// Handles the counts sent by another node. Returns the body of the answer:
  /// the rollout, if it is in a later phase here than there, so that the node
  /// beside the instance learns of it even if the news was lost; or how long to
  /// hold canary requests. Fails with `invalid_argument`.
  result<std::string> HandleReport(const std::string& aBody);

private:
  struct open_order
  {
    canary_order order;
    time_point started_at{};
    /// When this node learned of the order.
    time_point opened_at{};
    sample_reports reports;
    sample_history history;
    /// The old version fails too often to compare the new one with it.
    bool is_old_failing = false;
    /// Until then the instance on this host gets no canary requests.
    time_point held_until{};
    /// When another node last sent its counts.
    std::optional<time_point> last_report;
    /// When this node learned of the promotion.
    std::optional<time_point> promoted_at;
    /// A write of the progress to the store has not finished yet.
    bool recording = false;
    /// No progress is recorded and no promotion is decided before this time.
    time_point retry_after{};
    /// Whether the order was read from the store, so that progress can be
    /// recorded.
    bool from_store = false;
  };

  void Tick();
  void ReportSamples(const std::string& aService, open_order& aOpenOrder);
  /// Logs what this node has counted, if it is a decider of the order.
  void LogCounts(const open_order& aOpenOrder) const;
  /// Counts for the instance on this host, with the requests it runs now.
  version_samples OwnSamples(const std::string& aService) const;
  /// Whether this node judges the new version: as a decider, or since others
  /// have chosen it in the place of one that it does not know to be lost.
  bool Judges(const open_order& aOpenOrder, int aDeciderIndex) const;
  std::string AnswerToReport(const nlohmann::json& aReport) const;
  /// Holds the canary requests to the instance on this host for some time.
  void HoldCanary(const std::string& aService, duration aTime);
  /// Handles the answer of a decider to a report.
  void HandleReportAnswer(const std::string& aHost, const std::string& aBody);
  /// Rolls the new version back if the counts show that it is bad.
  void RollBackIfBad(open_order& aOpenOrder, const version_samples& aSamples);
  /// Promotes the new version if it is time and instances of it serve.
  void PromoteIfDue(open_order& aOpenOrder,
                    const version_samples& aSamples,
                    duration aElapsed);
  void DecideNextPhase(open_order& aOpenOrder);
  void EnterPhase(open_order& aOpenOrder,
                  canary_phase aPhase,
                  const std::string& aReason);
  void RecordPhase(open_order& aOpenOrder, canary_phase aPhase);
  void OpenOrder(const canary_order& aOrder, time_point aStartedAt);
  void SendReport(const std::string& aHost, const std::string& aBody);
  std::int64_t OwnIncarnation() const;
  canary_exposure ExposureOf(const version_samples& aSamples,
                             const std::string& aTargetVersion) const;
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
  /// Counts for the instance on this host, by service.
  std::map<std::string, version_samples> mOwnSamples;
  running_requests mRunningRequests;
  std::uint64_t mTickCount = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_CANARY_DRIVER_H_
