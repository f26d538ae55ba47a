#ifndef EELGRASSTRACK_FLEET_FLEET_NODE_H_
#define EELGRASSTRACK_FLEET_FLEET_NODE_H_

#include <map>
#include <random>
#include <set>

#include "distribution/config-replica.h"
#include "distribution/config-writer.h"
#include "fleet/interfaces.h"
#include "fleet/store-follower.h"
#include "membership/failure-detector.h"
#include "membership/overlay.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

/// How a node learns of new configurations. `overlay` is what the daemon
/// uses; the others are baselines that the bench compares it with.
enum class distribution_mode
{
  overlay,
  every_node_watches,
  every_node_polls,
};

struct fleet_options
{
  member_record self;
  /// Nodes to try besides those in the bootstrap record.
  std::vector<node_id> seeds;
  distribution_mode mode = distribution_mode::overlay;
  duration ping_period = std::chrono::seconds(2);
  duration suspicion_timeout = std::chrono::seconds(6);
  failure_detector_options detector;
  std::uint64_t random_seed = 1;
};

/// Membership, configuration and rollout states of one node, kept in step with
/// the other nodes. Has no sockets and no clock of its own.
class fleet_node final : public store_follower_owner
{
public:
  fleet_node(fleet_options aOptions,
             peer_network& aNetwork,
             object_store& aStore,
             delayed_tasks& aTasks,
             const clock_source& aClock,
             fleet_observer& aObserver);

  void Start();

  /// To be called every `kTickPeriod`.
  void Tick();
  static constexpr duration kTickPeriod = std::chrono::milliseconds(100);

  void OnLinkUp(const node_id& aNode);
  /// `aWasOpen` is false if the link could not be opened.
  void OnLinkDown(const node_id& aNode, bool aWasOpen);
  void OnMessage(const node_id& aFrom, const peer_message& aMessage);

  /// Publishes what runs beside this node; nothing if the upstream is gone.
  void SetUpstream(std::optional<upstream_record> aUpstream);

  /// Tells the others that this node goes away.
  void Leave();

  /// Writes a configuration change; on success it is in force here and on its
  /// way to the others before `aDone` is called.
  void Submit(config_command aCommand, accept_callback aDone);

  /// Merges a rollout state and spreads it.
  void Publish(const rollout_state& aState);

  void SendEvidence(const node_id& aCollector, evidence_report aReport);
  void SendEvidenceAck(const node_id& aReporter, evidence_ack_message aAck);

  /// Whether calls may be served: the version floor is reached and the process
  /// was not just paused.
  bool Ready() const;

  const snapshot_ptr& Config() const { return mReplica.Current(); }
  const member_table& Members() const { return mMembers; }
  const rollout_board& Rollouts() const { return mBoard; }
  const member_record& Self() const { return mSelf; }
  bool WatchesStore() const { return mFollower.Watching(); }
  const std::vector<node_id>& Neighbours() const { return mNeighbours; }
  std::optional<std::uint64_t> Floor() const { return mFloor.Value(); }

  // store_follower_owner
  void OnStoreConfig(const config_state& aState) override;
  void OnStoreEmpty() override;
  void OnBootstrap(const bootstrap_record& aRecord) override;
  std::vector<node_id> BootstrapNodesOfDomain() const override;
  std::size_t FleetSize() const override { return mMembers.AliveCount(); }

private:
  void Receive(const node_id& aFrom, const hello_message& aMessage);
  void Receive(const node_id& aFrom, const ping_message& aMessage);
  void Receive(const node_id& aFrom, const pong_message& aMessage);
  void Receive(const node_id& aFrom, const member_facts_message& aMessage);
  void Receive(const node_id& aFrom, const member_sync_message& aMessage);
  void Receive(const node_id& aFrom, const config_request_message& aMessage);
  void Receive(const node_id& aFrom, const config_announce_message& aMessage);
  void Receive(const node_id& aFrom, const config_delta_message& aMessage);
  void Receive(const node_id& aFrom, const config_whole_message& aMessage);
  void Receive(const node_id& aFrom, const rollout_facts_message& aMessage);
  void Receive(const node_id& aFrom, const evidence_message& aMessage);
  void Receive(const node_id& aFrom, const evidence_ack_message& aMessage);
  /// Call traffic does not come here.
  template<typename T>
  void Receive(const node_id&, const T&)
  {
  }

  /// What is known about a linked node.
  struct peer_view
  {
    state_digest held;
    /// Highest version that was sent to it on this link.
    std::uint64_t sent_version = 0;
    /// It probes this node, so it takes part in spreading.
    time_point probed_us{};
    time_point mismatch_since{};
    time_point last_request{};
  };

  state_digest Held() const;
  void Compare(const node_id& aPeer, const state_digest& aTheirs);
  void SendConfigTo(const node_id& aPeer, std::uint64_t aTheirVersion);
  void RequestConfig(const node_id& aPeer);
  bool InstallConfig(const snapshot_ptr& aSnapshot, const node_id& aFrom);
  void SpreadConfig(const node_id& aExcept);
  void CountTowardsFloor(const node_id& aPeer, const state_digest& aTheirs);
  bool KnowsTheOthers() const;
  void CheckForDoubt(time_point aNow);
  void EndDoubt();

  bool MergeMember(const member_record& aRecord);
  void ChangeSelf();
  void RefuteIfNeeded(const member_record& aRecord);
  void ConnectToSome(std::vector<node_id> aNodes, std::size_t aCount);
  void QueueFact(const node_id& aNode);
  void FlushFacts();
  void CheckNeighbours(time_point aNow);
  void ExpireSuspects(time_point aNow);
  void RefreshOverlay();
  void PingNeighbours(time_point aNow);
  void RetryUnreachable(time_point aNow);
  std::vector<node_id> SpreadTargets(const node_id& aExcept) const;

  fleet_options mOptions;
  peer_network& mNetwork;
  delayed_tasks& mTasks;
  const clock_source& mClock;
  fleet_observer& mObserver;
  std::mt19937_64 mRandom;

  member_record mSelf;
  member_table mMembers;
  failure_detector mDetector;
  config_replica mReplica;
  version_floor mFloor;
  rollout_board mBoard;
  config_writer mWriter;
  store_follower mFollower;

  std::map<node_id, peer_view> mPeers;
  std::vector<node_id> mNeighbours;
  std::set<node_id> mPendingFacts;
  std::uint64_t mOverlayGeneration = UINT64_MAX;
  std::uint64_t mPingSequence = 0;
  time_point mStarted{};
  time_point mLastTick{};
  time_point mNextPing{};
  time_point mNextOverlay{};
  time_point mNextRetry{};
  time_point mNextForget{};
  time_point mLastSync{};
  time_point mBootstrapAt{};
  /// After a pause nothing is served until a peer or the store was heard from.
  bool mAwaitingFresh = false;
  time_point mAwaitingSince{};
  /// Many members were lost at once, and with them perhaps versions that only
  /// they had; ends with a word from the store or from a node without doubt.
  bool mInDoubt = false;
  time_point mDoubtSince{};
  std::uint64_t mDoubtGeneration = UINT64_MAX;
  time_point mDoubtEnded{};
  bool mLeft = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_FLEET_NODE_H_
