#ifndef EELGRASSTRACK_MESH_CONTROL_STORE_H_
#define EELGRASSTRACK_MESH_CONTROL_STORE_H_

#include <functional>
#include <vector>

#include "mesh/evacuation-table.h"
#include "mesh/host-record.h"
#include "proxy/version-selector.h"
#include "traffic/traffic-table.h"

namespace eelgrasstrack {

/// A valid configuration with its source text, which is sent unchanged to other
/// nodes.
struct accepted_table
{
  traffic_table_ptr table;
  std::string text;
};

/// An operator's order to roll out a new version of a service, with its
/// recorded progress.
struct canary_order
{
  std::string service;
  std::string target_version;
  /// Time from the order until the rollout must be complete.
  duration time_limit{ 0 };
  /// Identifies the order; later orders are greater.
  store_revision order_id;
  /// Revision of the stored record, for a conditional write.
  store_revision revision;
  canary_phase phase = canary_phase::canary;
  /// Whether any node has recorded progress.
  bool recorded = false;
  /// When the order was first seen, in Unix milliseconds; 0 if not recorded.
  std::int64_t started_unix_ms = 0;
};

/// Receives the contents of the store. The same content may arrive repeatedly.
class control_store_observer
{
public:
  virtual ~control_store_observer() = default;
  /// A configuration was read.
  virtual void OnTable(accepted_table aTable) = 0;
  /// The store held no later configuration at `aTime` than those passed on.
  virtual void OnConfigConfirmed(time_point aTime) = 0;
  /// An order was read, or its record changed.
  virtual void OnOrder(const canary_order& aOrder) = 0;
  /// The order of a service was removed.
  virtual void OnOrderRemoved(const std::string& aService) = 0;
  /// The evacuated failure domains were read, or have changed.
  virtual void OnEvacuations(const evacuation_snapshot& aSnapshot) = 0;
  /// The store was restored from a backup: what was written after the backup is
  /// gone, what was removed after it is back.
  virtual void OnStoreRestored() = 0;
};

/// Called with the result of a write.
using done_callback = std::function<void(result<void>)>;
/// Called with the host record of a node.
using host_callback = std::function<void(result<host_record>)>;
/// Called with the host records of all nodes.
using hosts_callback = std::function<void(result<std::vector<host_record>>)>;

/// A node's interface to the platform's store.
class control_store
{
public:
  virtual ~control_store() = default;

  /// Sets the observer of the configuration and the orders.
  virtual void SetObserver(control_store_observer& aObserver) = 0;

  /// Sets whether to read and watch the evacuated failure domains as well, from
  /// the next call of `SetWatching` on. If not, they cost no calls.
  virtual void SetFollowsEvacuations(bool aFollows) = 0;

  /// Sets whether to read the configuration and the orders and to watch them
  /// for changes. Nodes that do not watch receive both from nodes that do.
  virtual void SetWatching(bool aWatching) = 0;

  /// Sets how long the store may hold a watch of the configuration open without
  /// a change. The end of each watch shows that nothing has changed until then.
  virtual void SetConfigWatchWait(duration aWait) = 0;

  /// Reads the configuration on a new connection and passes it on like a watch
  /// does. For a node that has not heard of the store for too long: its watch,
  /// or the nodes that watch for it, may have failed without a sign. If this
  /// node watches, its watches begin again on new connections. Fails with
  /// `not_found` if the store holds no configuration, and without a call if
  /// this node watches and the store refuses that.
  virtual void ReadConfig(done_callback aDone) = 0;

  /// Era of the store as last received, 0 before. It rises by one when the
  /// store is restored from a backup; revisions continue from that of the
  /// backup.
  virtual std::uint64_t Era() const = 0;

  /// Whether the store has answered a call since `aSince`.
  virtual bool AnsweredSince(time_point aSince) const = 0;

  /// Parses a configuration from the text of an `accepted_table`. Fails with
  /// `invalid_argument`.
  virtual result<accepted_table> ParseTable(std::string aText) = 0;

  /// Creates the entry of this node, or replaces the one that was last read or
  /// written here. Fails with `conflict` if the store holds another one, which
  /// must be read first. A write without an answer may be done later, but not
  /// after a further one has succeeded.
  virtual void PublishHost(const host_record& aRecord, done_callback aDone) = 0;

  /// Reads the entry of a node. Fails with `not_found` if there is none.
  virtual void ReadHost(const std::string& aName, host_callback aDone) = 0;

  /// Lists the entries of all nodes. Malformed entries are logged and skipped.
  virtual void ListHosts(hosts_callback aDone) = 0;

  /// Removes the entry of an unreachable node if it still has this incarnation.
  virtual void RemoveHost(const std::string& aName,
                          std::int64_t aIncarnation) = 0;

  /// Records the progress of an order with a conditional write. Fails with
  /// `conflict` if the record has changed, or the store was restored from a
  /// backup, since the order was read.
  virtual void RecordProgress(const canary_order& aOrder,
                              done_callback aDone) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_CONTROL_STORE_H_
