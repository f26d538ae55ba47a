#ifndef EELGRASSTRACK_MESH_MESH_NODE_H_
#define EELGRASSTRACK_MESH_MESH_NODE_H_

#include "mesh/canary-driver.h"
#include "mesh/control-store.h"
#include "mesh/gossip.h"
#include "mesh/mesh-settings.h"
#include "proxy/hop-server.h"
#include "proxy/ingress.h"
#include "wire/service-port.h"

namespace eelgrasstrack {

/// What an instance says of itself, in the order in which it says it.
struct instance_announcement
{
  instance_record instance;
  /// Rises with each announcement of one incarnation.
  std::int64_t sequence = 0;
};

/// One node of the mesh: the proxy beside an instance, with what it knows of
/// the others.
class mesh_node final
  : public control_store_observer
  , public gossip_delegate
  , public canary_observer
{
public:
  mesh_node(loop& aLoop,
            socket_host& aHost,
            control_client& aCaller,
            control_store& aStore,
            proxy_counters& aCounters,
            const header_names& aNames,
            mesh_settings aSettings);

  /// Opens the addresses and begins to find the others. Fails with `internal`.
  result<void> Start();

  /// Takes new settings; addresses stay as they are until a restart.
  void Reload(const mesh_settings& aSettings);

  /// Stops taking work, finishes what runs, then stops the loop.
  void Drain();

  /// Whether callers may send to this node.
  bool Ready() const;

  /// An announcement of the instance on this host. Returns whether it was
  /// taken; late ones of an earlier state or incarnation are not.
  bool HandleAnnouncement(const instance_announcement& aAnnouncement);

  /// The instance on this host says that it ends.
  void HandleInstanceExit(const std::string& aId);

  /// Metrics in the text exposition format.
  std::string Metrics() const;

  /// What the node believes, as JSON.
  std::string Dump() const;

  // control_store_observer
  void OnTable(accepted_table aTable) override;
  void OnOrder(const canary_order& aOrder) override;
  void OnOrderRemoved(const std::string& aService) override;

  // gossip_delegate
  std::uint64_t ConfigVersion() const override;
  void OnNewerConfig(const host_record& aFrom, std::uint64_t aVersion) override;
  void OnHostsChanged() override;
  void OnRemovedByOthers() override;
  void OnCanaryUpdates(const std::vector<canary_rollout>& aMoves) override;

  // canary_observer
  void OnCanaryUpdate(const canary_rollout& aMove) override;

private:
  /// A host that holds a configuration.
  struct config_source
  {
    host_record host;
    std::uint64_t version = 0;
  };

  /// Takes a configuration if it is later than the one held.
  bool TakeTable(accepted_table aTable);
  void FetchConfig(const host_record& aFrom, std::uint64_t aVersion);
  void TakeFetchedConfig(const std::string& aFrom,
                         result<buffered_response> aResponse);
  /// Lists the others; on a first start this node's own entry comes before.
  void Join();
  void ListOthers();
  void TakeOwnEntry(const host_record& aEntry);
  /// Writes this node's entry if it says something else than the last one.
  void PublishSelf();
  void PublishSoon();
  void ChangeSelf();
  void WatchInstance();
  void RefreshVersions();
  void Maintain();
  void DropLostHosts();
  void ReviewDuty();
  void FinishDraining();
  void ServeControl(buffered_request aRequest, respond_callback aRespond);

  loop& mLoop;
  socket_host& mHost;
  control_client& mCaller;
  control_store& mStore;
  proxy_counters& mCounters;
  const header_names& mNames;
  mesh_settings mSettings;
  host_directory mDirectory;
  instance_chooser mChooser;
  shared_retry_budget mRetries;
  version_selector mVersions;
  instance_dispatcher mLocal;
  hop_client mHops;
  ingress mIngress;
  hop_server mHopServer;
  gossip mGossip;
  canary_driver mMoves;
  host_record mSelf;
  /// The configuration as it is handed to other nodes, compressed.
  std::string mPackedConfig;
  std::int64_t mAnnouncedSequence = -1;
  time_point mAnnouncedAt{};
  time_point mDrainBegan{};
  time_point mStarted{};
  /// The entry as it stands in the store, as far as this node knows.
  std::optional<host_record> mPublished;
  bool mPublishing = false;
  bool mPublishSoon = false;
  bool mListed = false;
  bool mDraining = false;
  bool mFetchingConfig = false;
  /// Told of while another fetch was in progress.
  std::optional<config_source> mNextFetch;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_MESH_NODE_H_
