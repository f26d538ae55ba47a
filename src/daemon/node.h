#ifndef EELGRASSTRACK_DAEMON_NODE_H_
#define EELGRASSTRACK_DAEMON_NODE_H_

#include <map>
#include <memory>

#include "call/first-hop.h"
#include "daemon/claim-exchange.h"
#include "daemon/hop-exchange.h"
#include "daemon/upstream-directory.h"
#include "fleet/fleet-node.h"
#include "http/server.h"
#include "metrics/latency-histogram.h"
#include "rollout/rollout-driver.h"
#include "rpc/operator-api.h"
#include "settings/settings.h"
#include "store/http-object-store.h"

namespace eelgrasstrack {

/// Creates the components of a node and passes events between them.
class node final
  : public http_handler
  , public peer_switch_observer
  , public fleet_observer
  , public routing_view
  , public attempt_observer
  , public rollout_environment
  , public operator_backend
  , public task_scheduler
{
public:
  node(loop& aLoop, node_settings aSettings);
  ~node() override;

  void Start();

  /// Announces that the node leaves, waits until running calls have ended or
  /// the drain timeout has passed, and stops the loop.
  void Drain();

  // http_handler, for requests of callers
  void Handle(std::shared_ptr<http_exchange> aExchange) override;

  // peer_switch_observer
  void OnPeerUp(const node_id& aNode) override;
  void OnPeerDown(const node_id& aNode, bool aWasOpen) override;
  void OnPeerMessage(const node_id& aNode,
                     const link_ptr& aLink,
                     peer_message aMessage) override;
  void OnLinkLost(const link_ptr& aLink, bool aWasOpen) override;

  // fleet_observer
  void OnConfig(const snapshot_ptr& aSnapshot) override;
  void OnRollouts() override;
  void OnMembers() override;
  void OnEvidence(const node_id& aFrom,
                  const evidence_report& aReport) override;
  void OnEvidenceAck(const node_id& aFrom,
                     const evidence_ack_message& aAck) override;

  // routing_view
  bool Ready() const override { return mFleet.Ready(); }
  const snapshot_ptr& Config() const override { return mFleet.Config(); }
  const config_knowledge& Knowledge() const override
  {
    return mFleet.Knowledge();
  }
  const rollout_state_table& Rollouts() const override
  {
    return mFleet.Rollouts();
  }
  const std::vector<upstream_candidate>& Candidates(
    const std::string& aService,
    const std::string& aVersion) override;

  // attempt_observer
  attempt_id OnAttemptStarted(const observed_attempt& aAttempt) override;
  void OnAttemptFinished(attempt_id aId,
                         const observed_attempt& aAttempt) override;
  void OnCallFailed(const std::string& aRollout,
                    const std::string& aCaller) override;

  // rollout_environment
  const std::string& SelfNode() const override { return mFleet.Self().node; }
  std::uint64_t SelfIncarnation() const override
  {
    return mFleet.Self().incarnation;
  }
  const snapshot_ptr& RolloutConfig() const override { return mFleet.Config(); }
  const rollout_state_table& RolloutStates() const override
  {
    return mFleet.Rollouts();
  }
  std::size_t FleetSize() const override
  {
    return mFleet.Members().AliveCount();
  }
  std::vector<std::string> CollectorsOf(
    const std::string& aRollout) const override;
  std::uint32_t SlotsOf(const std::string& aService,
                        const std::string& aVersion) const override;
  void PublishState(const rollout_state& aState) override;
  void SendReport(const std::string& aCollector,
                  evidence_report aReport) override;
  void SendAck(const std::string& aReporter,
               const std::string& aRollout,
               std::uint64_t aIncarnation,
               std::uint64_t aNextWindow) override;
  void RecordOutcome(const std::string& aRollout,
                     rollout_phase aPhase,
                     const rollout_state& aState) override;

  // operator_backend
  void Apply(apply_request aRequest, change_callback aDone) override;
  void StartRollout(start_rollout_request aRequest,
                    change_callback aDone) override;
  void ChangeRollout(const std::string& aId,
                     rollout_command aCommand,
                     const std::string& aOperationId,
                     change_callback aDone) override;
  result<void> AnnounceUpstream(
    const upstream_announcement& aUpstream) override;
  snapshot_ptr CurrentConfig() const override { return mFleet.Config(); }
  std::optional<rollout_status> RolloutStatus(
    const std::string& aId) const override;
  std::int64_t UnixMilliseconds() const override
  {
    return mLoop.UnixMilliseconds();
  }
  bool IsServing() const override { return mFleet.Ready() && !mDraining; }
  std::string Dump() const override;
  std::string Metrics() const override;

  // task_scheduler
  void RunAfter(duration aDelay, std::function<void()> aTask) override;

private:
  /// Runs the periodic work of the fleet node, the rollouts and the last hop.
  void TickFast();
  /// Removes an upstream whose announcement expired and closes idle links.
  void TickSlow();
  /// Submits a configuration change and passes its result to `aDone`.
  void SubmitChange(config_command aCommand, change_callback aDone);
  /// Applies the announcement and the service declaration to the last hop and
  /// publishes the upstream to the other nodes.
  void RefreshUpstream();
  /// Removes the upstream if its announcement has expired.
  void ExpireUpstream();
  /// Stops the loop if the node is drained, and checks again later otherwise.
  /// `aSince` is the start of the drain.
  void StopWhenDrained(time_point aSince);

  loop& mLoop;
  node_settings mSettings;
  /// Connections to the store and the upstream.
  tcp_transport mSockets;
  http_object_store mStore;
  last_hop mLastHop;
  hop_exchange mHopExchange;
  claim_exchange mClaimExchange;
  peer_switch mSwitch;
  fleet_node mFleet;
  rollout_driver mDriver;
  upstream_directory mDirectory;
  first_hop mFirstHop;
  operator_api mOperatorApi;
  std::unique_ptr<http_server> mCallerServer;
  std::unique_ptr<http_server> mOperatorServer;

  /// Last announcement of the upstream; unset if there is none or it expired.
  std::optional<upstream_announcement> mAnnouncement;
  time_point mAnnouncedAt{};
  /// Time of the first announcement of this upstream; its warm-up starts then.
  time_point mUpstreamSince{};
  std::shared_ptr<upstream_connection> mUpstream;
  /// Latencies of calls by route.
  std::map<std::string, latency_histogram> mLatencies;
  /// Number of answers to callers by HTTP status.
  std::map<int, std::uint64_t> mStatusCounts;
  attempt_id mNextAttempt = 1;
  time_point mStartedAt{};
  bool mDraining = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DAEMON_NODE_H_
