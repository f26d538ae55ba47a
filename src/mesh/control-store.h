#ifndef EELGRASSTRACK_MESH_CONTROL_STORE_H_
#define EELGRASSTRACK_MESH_CONTROL_STORE_H_

#include <functional>
#include <vector>

#include "mesh/host-record.h"
#include "proxy/version-selector.h"
#include "traffic/traffic-table.h"

namespace eelgrasstrack {

/// A configuration in force, with the text it was read from, so that it can be
/// handed to other nodes as it is.
struct accepted_table
{
  traffic_table_ptr table;
  std::string text;
};

/// An operator's order to move a service to a new version, with what is
/// recorded of its progress.
struct canary_order
{
  std::string service;
  std::string target_version;
  /// Time from the order to the moment when it must be done.
  duration time_limit{ 0 };
  /// Identifies the order; later orders have greater numbers.
  std::uint64_t order_id = 0;
  /// Revision of the record, for a conditional write.
  std::uint64_t revision = 0;
  canary_phase phase = canary_phase::canary;
  /// Whether any node has recorded progress yet.
  bool recorded = false;
  /// When the order was first seen, in Unix milliseconds; 0 if not recorded.
  std::int64_t started_unix_ms = 0;
};

/// Receives what the store holds. Everything may come more than once.
class control_store_observer
{
public:
  virtual ~control_store_observer() = default;
  virtual void OnTable(accepted_table aTable) = 0;
  virtual void OnOrder(const canary_order& aOrder) = 0;
  virtual void OnOrderRemoved(const std::string& aService) = 0;
};

using done_callback = std::function<void(result<void>)>;
using hosts_callback = std::function<void(result<std::vector<host_record>>)>;

/// The platform's store, as far as a node needs it.
class control_store
{
public:
  virtual ~control_store() = default;

  /// Names who hears of the configuration and the orders.
  virtual void SetObserver(control_store_observer& aObserver) = 0;

  /// Whether to read what is there and watch for changes. Nodes that don't
  /// watch learn of both from those that do.
  virtual void SetWatching(bool aWatching) = 0;

  /// Whether the store has answered since then.
  virtual bool AnsweredSince(time_point aSince) const = 0;

  /// Reads a configuration from the text that `accepted_table` holds. Fails
  /// with `invalid_argument`.
  virtual result<accepted_table> ParseTable(std::string aText) = 0;

  /// Creates or replaces this node's entry.
  virtual void PublishHost(const host_record& aRecord, done_callback aDone) = 0;

  /// All entries of nodes; malformed ones are left out with a log line.
  virtual void ListHosts(hosts_callback aDone) = 0;

  /// Removes the entry of a node that is gone, if it is still of that
  /// incarnation.
  virtual void RemoveHost(const std::string& aName,
                          std::int64_t aIncarnation) = 0;

  /// Records the progress of an order. Fails with `conflict` if the record
  /// has changed since it was read.
  virtual void RecordProgress(const canary_order& aOrder,
                              done_callback aDone) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_CONTROL_STORE_H_
