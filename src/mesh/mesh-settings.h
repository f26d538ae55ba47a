#ifndef EELGRASSTRACK_MESH_MESH_SETTINGS_H_
#define EELGRASSTRACK_MESH_MESH_SETTINGS_H_

#include "base/clock.h"
#include "http/message.h"

namespace eelgrasstrack {

/// Bounds that the operator sets for the whole mesh.
struct mesh_bounds
{
  /// Work may reach an instance for this long after it said that it leaves.
  duration drain_time = std::chrono::seconds(2);
  /// Time from SIGTERM to SIGKILL.
  duration shutdown_grace = std::chrono::seconds(6);
  /// Repeated sends, as a part of requests and an allowance in a window.
  double retry_ratio = 0.2;
  double retry_allowance = 10;
  duration retry_window = std::chrono::seconds(10);
  /// Part of the requests that an undecided version may get.
  double canary_share = 0.1;
};

/// What a node of the mesh is told at its start.
struct mesh_settings
{
  std::string name;
  std::string domain;
  /// Service of the upstream on this host.
  std::string service;
  /// Takes the requests of callers on this host.
  endpoint caller_listen;
  /// Takes the requests of other nodes.
  endpoint hop_listen;
  /// Takes messages of other nodes.
  endpoint control_listen;
  /// Answers whether the node is ready.
  endpoint ready_listen;
  /// Takes the heartbeats of the instance on this host.
  endpoint heartbeat_listen;
  endpoint store;
  /// The whole mesh starts for the first time: nobody is listed yet.
  bool first_start = false;
  duration heartbeat_interval = std::chrono::milliseconds(1500);
  unsigned max_connections = 4096;
  mesh_bounds bounds;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_MESH_SETTINGS_H_
