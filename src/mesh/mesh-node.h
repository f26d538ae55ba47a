#ifndef EELGRASSTRACK_MESH_MESH_NODE_H_
#define EELGRASSTRACK_MESH_MESH_NODE_H_

#include "mesh/canary-driver.h"
#include "mesh/config-follower.h"
#include "mesh/control-store.h"
#include "mesh/gossip.h"
#include "mesh/host-entry-repair.h"
#include "mesh/mesh-settings.h"
#include "mesh/own-entry.h"
#include "mesh/quarantine-entries.h"
#include "proxy/hop-server.h"
#include "proxy/ingress.h"
#include "quota/quota-service.h"
#include "wire/service-port.h"

namespace eelgrasstrack {

/// An instance's description of itself, with a sequence number that orders the
/// announcements.
struct instance_announcement
{
  instance_record instance;
  /// Increases with each announcement of one incarnation.
  std::int64_t sequence = 0;
};

/// One node of the mesh: the proxy for the instance on its host, with its view
/// of the other nodes.
class mesh_node final
  : public control_store_observer
  , public gossip_delegate
  , public canary_observer
  , public config_follower_delegate
  , public own_entry_delegate
{
public:
  mesh_node(loop& aLoop,
            tcp_transport& aTransport,
            control_client& aClient,
            control_store& aStore,
            proxy_counters& aCounters,
            const header_names& aNames,
            mesh_settings aSettings);

  /// Opens the listening sockets and joins the mesh. Fails with `internal`.
  result<void> Start();

  /// Applies the bounds and the heartbeat interval of new settings. Other
  /// settings, such as addresses, change only with a restart.
  void Reload(const mesh_settings& aSettings);

  /// Stops accepting requests, finishes running ones, then stops the loop.
  void Drain();

  /// Whether callers may send requests to this node.
  bool Ready() const;

  /// Handles an announcement of the instance on this host. Returns false for a
  /// late announcement of an earlier state or incarnation.
  bool HandleAnnouncement(const instance_announcement& aAnnouncement);

  /// Account of the bytes of received control messages.
  const body_budget& ControlBytes() const { return mControlBytes; }

  /// Handles the exit notice of an instance on this host. Returns the
  /// incarnation that leaves.
  instance_incarnation HandleInstanceExit(const exit_notice& aNotice);

  /// Calls `aDone` once the departure of an instance on this host is recorded
  /// in the store, so that a restarted node knows it too. Fails with
  /// `not_ready` if it is not within 0.9 s.
  void AcknowledgeDeparture(const instance_incarnation& aDeparture,
                            done_callback aDone);

  /// Version of the configuration that this node holds, or 0.
  std::uint64_t ConfigVersion() const { return mConfig.Version(); }

  /// Metrics in the text exposition format.
  std::string Metrics() const;

  /// The node's view of the mesh, as JSON.
  std::string Dump() const;

  // control_store_observer
  void OnTable(accepted_table aTable) override;
  void OnConfigConfirmed(time_point aTime) override;
  void OnOrder(const canary_order& aOrder) override;
  void OnOrderRemoved(const std::string& aService) override;
  void OnEvacuations(const evacuation_snapshot& aSnapshot) override;
  void OnStoreRestored() override;

  // gossip_delegate
  const config_knowledge& Configuration() const override;
  void OnConfigAnnounced(const host_record& aFrom,
                         std::uint64_t aVersion,
                         std::optional<duration> aStoreAge) override;
  void OnHostsChanged() override;
  void OnInstanceLeft(const instance_incarnation& aInstance) override;
  void OnNewerOwnRecord(const host_record& aRecord) override;
  void OnEvacuationsChanged() override;
  void OnRemovedByOthers() override;
  void OnCanaryUpdates(const std::vector<canary_rollout>& aCanaries) override;

  // config_follower_delegate
  void OnConfigTaken(const traffic_table_ptr& aTable,
                     const std::string& aFrom) override;

  // canary_observer
  void OnCanaryUpdate(const canary_rollout& aCanary) override;
  void OnCanaryLearned() override;
  void OnDeciderSilent(const std::string& aHost) override;

  // own_entry_delegate
  void OnEntryRead(const host_record& aEntry, bool aFirst) override;
  void OnEntryWritten(bool aFirst) override;

private:
  /// Lists the other hosts. On a first start, publishes this node's entry
  /// first.
  void Join();
  void ListOtherHosts();
  /// Gives this process a later incarnation than the one that has left this
  /// record. The clock has been set back if it has none by its start.
  void FollowRecord(const host_record& aRecord);
  /// Records the departures that this host's entry shows.
  void RestoreDepartures(const host_record& aEntry);
  /// Takes over the instance of the entry if none has been announced yet.
  void RestoreInstance(const instance_record& aInstance);
  void ResumeInstance(const instance_record& aInstance);
  void ApplyClientLimits();
  /// Metrics of what clients keep from others.
  std::string ClientMetrics() const;
  /// Whether this node, after a restart, holds the latest configuration that
  /// another node has announced, or none has answered.
  bool HasCaughtUp() const;
  /// Sends this node's changed record to other nodes with a new sequence
  /// number.
  void SpreadOwnRecord();
  /// Latest start of the instance that an exit notice without a start means.
  std::int64_t StartBeforeExit(const std::string& aId) const;
  /// Records that an instance on this host leaves, for the other nodes and for
  /// the entry in the store. Returns whether it was not recorded before.
  bool RecordDeparture(const instance_incarnation& aDeparture);
  /// Marks an instance as gone that counts as present although its departure is
  /// recorded.
  void EndDepartedInstance(const std::string& aSource);
  /// Changes the state of the instance on this host and tells the other nodes.
  void SetInstanceState(instance_state aState);
  /// Handles an answer in which the instance says that it is leaving.
  void HandleInstanceLeaving();
  /// Marks an instance that refuses connections as absent. Its next heartbeat
  /// makes it ready again.
  void HandleInstanceDown();
  /// Records how long the instance stays cold. Returns whether it has become
  /// cold since it was last known to be.
  bool RecordWarmUp(duration aWarmUpLeft);
  /// Whether the service declares a rate for cold instances.
  bool LimitsColdInstance() const;
  /// Applies the rate that the instance can handle while it is cold.
  void UpdateColdLimit();
  /// Whether the instance gets no requests for now.
  bool IsHeld();
  /// Marks the instance as absent if its heartbeats stopped.
  void CheckHeartbeat();
  void RefreshVersions();
  void RunMaintenance();
  void RemoveUnreachableHosts();
  /// Starts or stops watching the store, by the current role assignment.
  void UpdateWatcherRole();
  /// As a watcher that knows the store's latest configuration, announces it to
  /// other nodes, unless it has done so within `aMinPeriod`.
  void AnnounceAsWatcher(duration aMinPeriod);
  /// Lets all requests end before this process exits.
  void LimitServingTime();
  void CheckDrained();
  void ServeControl(buffered_request aRequest, respond_callback aRespond);

  loop& mLoop;
  tcp_transport& mTransport;
  control_client& mClient;
  control_store& mStore;
  proxy_counters& mCounters;
  const header_names& mNames;
  mesh_settings mSettings;
  host_directory mDirectory;
  instance_chooser mChooser;
  shared_retry_budget mRetries;
  version_selector mVersions;
  link_pacer mLinkPacer;
  crash_table mCrashes;
  evacuation_table mEvacuations;
  body_budget mBodies;
  /// Account of answers that callers have not taken yet.
  body_budget mAnswers;
  /// Account of received heartbeats and calls of other nodes.
  body_budget mControlBytes;
  instance_dispatcher mDispatcher;
  hop_client mHopClient;
  quota_service mQuota;
  config_follower mConfig;
  ingress mIngress;
  hop_server mHopServer;
  quarantine_entries mQuarantine;
  gossip mGossip;
  host_entry_repair mEntryRepair;
  canary_driver mCanaryDriver;
  host_record mOwnRecord;
  own_entry mEntry;
  /// Instance that reported its exit without its start, before this host's
  /// entry was read; empty if none has.
  std::string mExitedBeforeRestore;
  std::int64_t mAnnouncedSequence = -1;
  time_point mAnnouncedAt{};
  /// When the instance is expected to be warm.
  time_point mColdUntil{};
  time_point mDrainStarted{};
  time_point mStarted{};
  bool mHostsListed = false;
  bool mDraining = false;
  /// Whether this node watches the store for its failure domain.
  bool mWatches = false;
  time_point mAnnouncedConfigAt{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_MESH_NODE_H_
