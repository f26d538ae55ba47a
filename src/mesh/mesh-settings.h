#ifndef EELGRASSTRACK_MESH_MESH_SETTINGS_H_
#define EELGRASSTRACK_MESH_MESH_SETTINGS_H_

#include <optional>

#include "base/clock.h"
#include "http/message.h"
#include "quota/quota-terms.h"

namespace eelgrasstrack {

/// Bounds set by the operator for the whole mesh.
struct mesh_bounds
{
  /// Requests may reach an instance for this long after it announced that it
  /// drains.
  duration drain_time = std::chrono::seconds(2);
  /// A configuration is in force on all nodes this long after the store has
  /// confirmed it.
  duration propagation_time = std::chrono::seconds(2);
  /// Time from SIGTERM to SIGKILL.
  duration shutdown_grace = std::chrono::seconds(6);
  /// Retry budget: the retries in a window stay below `retry_ratio` times the
  /// requests in it plus `retry_allowance`.
  double retry_ratio = 0.2;
  double retry_allowance = 10;
  duration retry_window = std::chrono::seconds(10);
  /// Greatest share of the requests that the new version may receive before it
  /// is promoted, 0 to 1.
  double canary_share = 0.1;
  /// Requests that the new version may receive beyond that share, counted over
  /// all nodes.
  double canary_slack = 0;
  /// Instances in an evacuated failure domain get no requests this long after
  /// the order; nothing if failure domains are not evacuated here.
  std::optional<duration> evacuation_time;
  /// Whether configurations name rates that cold instances bear.
  bool limits_cold_instances = false;
  /// How far organisations may exceed their limits.
  quota_bounds quota;
};

/// Limits on what clients keep from others.
struct client_limits
{
  /// Bytes of request bodies that the process keeps at a time.
  std::size_t body_bytes = std::size_t{ 64 } << 20U;
  /// Bytes of answers that the process keeps at a time until callers take them.
  std::size_t answer_bytes = std::size_t{ 48 } << 20U;
  /// Bytes of control messages (heartbeats, calls between nodes and to the
  /// store) that the process keeps at a time: once for those it receives, and
  /// once for the answers to its own.
  std::size_t control_bytes = std::size_t{ 32 } << 20U;
  /// A body that stalls for this long ends its request.
  duration stall_time = std::chrono::seconds(20);
  /// Same while the bytes for bodies or the slots of the instance are used up.
  /// An answer of which the caller takes less than 4 KiB in this time ends
  /// while the bytes for answers are used up.
  duration stall_time_when_full = std::chrono::seconds(1);
  /// Open connections of callers. Above that, idle ones are closed.
  std::size_t caller_connections = 3072;
};

/// Settings of one node of the mesh.
struct mesh_settings
{
  std::string name;
  std::string domain;
  /// Service of the upstream on this host.
  std::string service;
  /// Address for requests of callers on this host.
  endpoint caller_listen;
  /// Address for requests of other nodes.
  endpoint hop_listen;
  /// Address for control messages of other nodes.
  endpoint control_listen;
  /// Address for readiness checks.
  endpoint ready_listen;
  /// Address for heartbeats of the instance on this host.
  endpoint heartbeat_listen;
  /// Address of the platform's store.
  endpoint store;
  /// Whether the whole mesh starts for the first time, with no host listed yet.
  bool first_start = false;
  duration heartbeat_interval = std::chrono::milliseconds(1500);
  unsigned max_connections = 4096;
  /// Bits per second of the host's link; 0 if unknown.
  double link_bits_per_second = 0;
  client_limits clients;
  mesh_bounds bounds;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_MESH_SETTINGS_H_
