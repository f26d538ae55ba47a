#ifndef EELGRASSTRACK_DAEMON_STATE_DUMP_H_
#define EELGRASSTRACK_DAEMON_STATE_DUMP_H_

#include "call/first-hop.h"
#include "call/last-hop.h"
#include "daemon/peer-switch.h"
#include "fleet/fleet-node.h"
#include "store/http-object-store.h"

namespace eelgrasstrack {

/// Components and values of a node that the dump and the metrics include.
struct state_dump_sources
{
  const fleet_node& fleet;
  const peer_switch& peers;
  const last_hop& last;
  const http_object_store& store;
  const first_hop& first;
  time_point now{};
  duration uptime{};
  bool serving = false;
};

/// Returns the state of the process as JSON.
std::string
DumpState(const state_dump_sources& aSources);

/// Returns counters and gauges in the Prometheus text exposition format.
std::string
ExposeCounters(const state_dump_sources& aSources);

/// Resident memory of this process in bytes; 0 if it cannot be determined.
std::uint64_t
ResidentBytes();

/// User and system CPU time of this process.
duration
ProcessorTime();

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DAEMON_STATE_DUMP_H_
