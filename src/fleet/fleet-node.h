#ifndef EELGRASSTRACK_FLEET_FLEET_NODE_H_
#define EELGRASSTRACK_FLEET_FLEET_NODE_H_

#include <map>
#include <random>
#include <set>

#include "config/config-knowledge.h"
#include "distribution/config-replica.h"
#include "distribution/config-writer.h"
#include "fleet/interfaces.h"
#include "fleet/store-follower.h"
#include "membership/failure-detector.h"
#include "membership/overlay.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

/// How a node receives new configurations. `overlay` is the default. The other
/// modes are baselines that the bench compares it with.
enum class distribution_mode
{
  overlay,
  every_node_watches,
  every_node_polls,
};

struct fleet_options
{
  /// The node's own record when it starts.
  member_record self;
  /// Nodes to contact in addition to those in the bootstrap record.
  std::vector<node_id> seeds;
  distribution_mode mode = distribution_mode::overlay;
  duration ping_period = std::chrono::seconds(2);
  /// A suspect node that does not refute is declared dead after this time.
  duration suspicion_timeout = std::chrono::seconds(6);
  failure_detector_options detector;
  std::uint64_t random_seed = 1;
};

/// Keeps membership, configuration and rollout states of one node in sync with
/// the other nodes. The network, the store, the scheduler and the clock are
/// passed in, so that tests can run many nodes on virtual time.
class fleet_node final : public store_follower_owner
{
public:
  fleet_node(fleet_options aOptions,
             peer_network& aNetwork,
             object_store& aStore,
             task_scheduler& aScheduler,
             const clock_source& aClock,
             fleet_observer& aObserver);

  void Start();

  /// Runs the periodic work. Must be called every `kTickPeriod`.
  void Tick();
  static constexpr duration kTickPeriod = std::chrono::milliseconds(100);

  void OnLinkUp(const node_id& aNode);
  /// `aWasOpen` is false if an attempt to open the link failed.
  void OnLinkDown(const node_id& aNode, bool aWasOpen);
  void OnMessage(const node_id& aFrom, const peer_message& aMessage);

  /// Publishes the upstream on this node's host, or that there is none.
  void SetUpstream(std::optional<upstream_record> aUpstream);

  /// Announces to the other nodes that this node leaves the fleet.
  void Leave();

  /// Writes a configuration change to the store. On success, the change is in
  /// force on this node and was sent to its peers before `aDone` is called.
  void Submit(config_command aCommand, accept_callback aDone);

  /// Merges a rollout state into the known one and sends it to the peers.
  void PublishRollout(const rollout_state& aState);

  void SendEvidence(const node_id& aCollector, evidence_report aReport);
  void SendEvidenceAck(const node_id& aReporter, evidence_ack_message aAck);

  /// Whether the node may serve calls: its version has reached the version
  /// floor, and it does not wait for contact after a pause of the process.
  bool Ready() const;

  const snapshot_ptr& Config() const { return mReplica.Current(); }
  /// Which configuration the node holds, and how old its knowledge of the
  /// store is.
  const config_knowledge& Knowledge() const { return mKnowledge; }
  const member_table& Members() const { return mMembers; }
  const rollout_state_table& Rollouts() const { return mRollouts; }
  const member_record& Self() const { return mSelf; }
  bool WatchesStore() const { return mFollower.Watching(); }
  const std::vector<node_id>& Neighbours() const { return mNeighbours; }
  std::optional<std::uint64_t> VersionFloor() const { return mFloor.Value(); }

  // store_follower_owner
  void OnStoreConfig(const config_state& aState, time_point aAsOf) override;
  void OnStoreEmpty(time_point aAsOf) override;
  void OnBootstrap(const bootstrap_record& aRecord) override;
  std::vector<node_id> BootstrapNodesOfDomain() const override;
  std::uint64_t ConfigVersion() const override { return mReplica.Version(); }
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
  /// Ignores messages of call traffic, which are handled elsewhere.
  template<typename T>
  void Receive(const node_id&, const T&)
  {
  }

  /// State of one open link and of the peer at its other end.
  struct peer_state
  {
    /// Last digest received. Its version also follows the configurations and
    /// announcements exchanged since.
    state_digest last_digest;
    /// Highest version sent on this link.
    std::uint64_t sent_version = 0;
    /// A peer that pings this node also receives updates from it.
    time_point last_ping_received{};
    /// Since when the member tables differ, unset while they are equal.
    time_point mismatch_since{};
    time_point last_config_request{};
  };

  state_digest CurrentDigest() const;
  /// Sends or requests what a peer's digest shows to be missing on either side.
  void CompareDigests(const node_id& aPeer, const state_digest& aTheirs);
  /// Sends a delta from the peer's version, or else the whole configuration,
  /// unless this link has already carried the current version.
  void SendConfigTo(const node_id& aPeer, std::uint64_t aTheirVersion);
  void RequestConfig(const node_id& aPeer);
  bool InstallConfig(const snapshot_ptr& aSnapshot, const node_id& aFrom);
  /// The store held `aVersion` at `aAsOf`.
  void ConfirmVersion(std::uint64_t aVersion, time_point aAsOf);
  /// Pushes small deltas to the peers and announces larger changes.
  void SpreadConfig(const node_id& aExcept);
  /// If the peer set `version_is_floor`, adds its version to the version floor
  /// and ends the uncertainty after a mass failure.
  void HandleFloorVersion(const node_id& aPeer, const state_digest& aTheirs);
  /// Whether the members known to other nodes should have arrived by now.
  bool MemberTableExpected() const;
  void CheckForMassFailure(time_point aNow);
  void ClearVersionUncertainty();

  bool MergeMember(const member_record& aRecord);
  /// Increments the sequence of the node's own record and queues it for gossip.
  void PublishSelfRecord();
  /// Publishes a newer own record if `aRecord` would replace the current one.
  void RefuteIfNeeded(const member_record& aRecord);
  void ConnectToRandomNodes(std::vector<node_id> aNodes, std::size_t aCount);
  void QueueMemberFact(const node_id& aNode);
  void FlushMemberFacts();
  void CheckNeighbours(time_point aNow);
  void ExpireSuspects(time_point aNow);
  void RefreshOverlay();
  void PingNeighbours(time_point aNow);
  void RetryUnreachable(time_point aNow);
  /// Peers that receive updates: those that either side pings, and every peer
  /// shortly after the start.
  std::vector<node_id> SpreadTargets(const node_id& aExcept) const;

  fleet_options mOptions;
  peer_network& mNetwork;
  task_scheduler& mScheduler;
  const clock_source& mClock;
  fleet_observer& mObserver;
  std::mt19937_64 mRandom;

  member_record mSelf;
  member_table mMembers;
  failure_detector mDetector;
  config_replica mReplica;
  config_knowledge mKnowledge;
  version_floor mFloor;
  rollout_state_table mRollouts;
  config_writer mWriter;
  store_follower mFollower;

  std::map<node_id, peer_state> mPeers;
  std::vector<node_id> mNeighbours;
  std::set<node_id> mPendingMemberFacts;
  std::uint64_t mOverlayGeneration = UINT64_MAX;
  std::uint64_t mPingSequence = 0;
  time_point mStartedAt{};
  time_point mLastTick{};
  time_point mNextPing{};
  time_point mNextOverlay{};
  time_point mNextRetry{};
  time_point mNextTombstonePurge{};
  time_point mLastSync{};
  time_point mBootstrapReadAt{};
  /// Set after a pause of this process. The node is not ready until a peer
  /// reports the same version, the store was read or a timeout has passed.
  bool mAwaitingContact = false;
  time_point mAwaitingContactSince{};
  /// Set when many members fail at once, because they may have been the only
  /// ones with a newer version. Digests of this node then do not set
  /// `version_is_floor`. Cleared by a read of the store or by a digest of a
  /// peer that sets it.
  bool mVersionUncertain = false;
  time_point mUncertainSince{};
  std::uint64_t mMassFailureCheckGeneration = UINT64_MAX;
  time_point mUncertaintyClearedAt{};
  bool mLeft = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_FLEET_NODE_H_
