#ifndef EELGRASSTRACK_MESH_CONFIG_FOLLOWER_H_
#define EELGRASSTRACK_MESH_CONFIG_FOLLOWER_H_

#include <nlohmann/json.hpp>

#include "config/config-knowledge.h"
#include "mesh/control-store.h"
#include "mesh/host-record.h"
#include "proxy/proxy-counters.h"
#include "store/call-budget.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// The node's interface to what follows the configuration.
class config_follower_delegate
{
public:
  virtual ~config_follower_delegate() = default;
  /// A later configuration was taken. `aFrom` is the host that supplied it, or
  /// empty if the store did.
  virtual void OnConfigTaken(const traffic_table_ptr& aTable,
                             const std::string& aFrom) = 0;
};

/// Takes over each later configuration, from the store or from the hosts that
/// announce one, and records where it is from and how old the knowledge of the
/// store is. When that is too old, whatever the reason, the configuration is
/// read from the store: the watchers, the messages between nodes and their
/// connections may all fail without a sign.
class config_follower
{
public:
  /// `aDomain` is the failure domain of this node.
  config_follower(loop& aLoop,
                  control_client& aClient,
                  control_store& aStore,
                  proxy_counters& aCounters,
                  std::string aDomain,
                  config_follower_delegate& aDelegate);

  /// Starts to check the age of the knowledge.
  void Start();
  /// Sets the time within which a configuration has to be in force.
  void SetPropagationTime(duration aTime);
  /// Age at which the knowledge of the store is too old: other nodes step in.
  duration MaxStoreAge() const;
  /// Age of the knowledge of the store, or time since the start.
  duration StoreAge() const;
  /// Whether the store itself has answered this node, not too long ago.
  bool HasFreshRead() const;

  /// Handles a configuration that was read from the store.
  void HandleStored(const accepted_table& aTable);
  /// The store has answered that it held no later version than those handled so
  /// far at `aTime`.
  void HandleConfirmed(time_point aTime);
  /// Handles the announcement of a host that holds `aVersion`, which was the
  /// store's latest version `aStoreAge` ago as far as that host knows.
  void HandleAnnounced(const host_record& aFrom,
                       std::uint64_t aVersion,
                       std::optional<duration> aStoreAge);

  std::uint64_t Version() const { return mKnowledge.version; }
  const config_knowledge& Knowledge() const { return mKnowledge; }
  /// The compressed text that is served to other nodes; empty without a
  /// configuration.
  const std::string& CompressedText() const { return mCompressedText; }

  /// Appends metrics in the text exposition format.
  void AppendMetrics(std::string& aText) const;
  /// The knowledge as JSON.
  nlohmann::json Dump() const;

private:
  /// A host that holds a configuration.
  struct config_source
  {
    host_record host;
    std::uint64_t version = 0;
    /// When the host knew it to be the latest one in the store, if it did.
    std::optional<time_point> confirmed_at;
  };

  /// Takes a configuration if it is later than the current one. Returns whether
  /// it was taken.
  bool Take(const accepted_table& aTable, const std::string& aSource);
  /// Takes over what a host knows of the store, if this node holds the version
  /// that the host announced.
  void ConfirmBy(const config_source& aSource);
  void Confirm(time_point aTime);
  void Fetch(const config_source& aSource);
  void HandleFetched(const config_source& aSource,
                     result<buffered_response> aResponse);
  /// Checks the age of the knowledge after this time.
  void CheckAfter(duration aDelay);
  void CheckStoreAge();
  void HandleRead(const result<void>& aRead);
  void LogFetchFailed(const config_source& aSource, const std::string& aReason);

  loop& mLoop;
  control_client& mClient;
  control_store& mStore;
  proxy_counters& mCounters;
  std::string mDomain;
  config_follower_delegate& mDelegate;
  config_knowledge mKnowledge;
  std::string mCompressedText;
  duration mPropagationTime{ std::chrono::seconds(2) };
  time_point mStarted{};
  jittered_backoff mReadBackoff;
  std::mt19937_64 mRandom;
  /// The knowledge was too old at the last check.
  bool mUnconfirmed = false;
  bool mFetching = false;
  /// A newer configuration announced while a fetch was in progress.
  std::optional<config_source> mPendingFetch;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_CONFIG_FOLLOWER_H_
