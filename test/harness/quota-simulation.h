#ifndef EELGRASSTRACK_HARNESS_QUOTA_SIMULATION_H_
#define EELGRASSTRACK_HARNESS_QUOTA_SIMULATION_H_

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "quota/quota-terms.h"

namespace eelgrasstrack::harness {

/// How the limit of an organisation is divided between nodes.
enum class quota_way
{
  /// Each node admits the same part of the limit.
  fixed_shares,
  /// Nodes hold leases of one owner, with the product's own decisions.
  owner_leases,
  /// Each node admits a part by the demand that nodes tell each other.
  gossip_shares,
};

/// What goes wrong at the middle of a run.
enum class quota_fault
{
  none,
  /// 30 % of the nodes are separated from the others for 10 s.
  partition,
  /// The owner of the organisation above its limit falls silent for 10 s.
  owner_killed,
};

std::string_view
NameOf(quota_way aWay);
std::string_view
NameOf(quota_fault aFault);

struct quota_simulation_options
{
  quota_way way = quota_way::owner_leases;
  quota_fault fault = quota_fault::none;
  std::uint64_t seed = 1;
  std::size_t nodes = 88;
  std::size_t organisations = 86;
  /// Of all organisations together, without the excess of one.
  double requests_per_second = 1800;
  /// Exponent of the power law of the organisations' sizes.
  double exponent = 1.2;
  /// Limit as a multiple of the usual rate.
  double limit_factor = 1.6;
  /// Burst in seconds of the limit.
  double burst_seconds = 1;
  /// Rank of the organisation that sends more than usual, 0 is the largest.
  std::size_t hot_rank = 0;
  /// Its rate as a multiple of the usual rate, from 5 s to 15 s of the run and
  /// from 20 s to its end.
  double hot_factor = 1;
  /// Scale of the spread of an organisation's callers over the nodes: standard
  /// deviation of the logarithm of a node's part.
  double spread = 1;
  duration run_time = std::chrono::seconds(30);
  /// One-way time between two nodes.
  duration latency = std::chrono::milliseconds(1);
  quota_bounds bounds;
};

struct quota_outcome_figures
{
  std::uint64_t requests = 0;
  /// Most requests that passed in a window, as a part of the bound, over all
  /// organisations.
  double most_of_bound = 0;
  /// Part of the requests that was refused, of organisations at their usual
  /// rate.
  double refused_below_limit = 0;
  /// Requests of the organisation above its limit that passed, as a part of
  /// what the limit allows.
  double passed_of_limit = 0;
  /// Control bytes sent and received by a node per second: mean, and of the
  /// node with most.
  double bytes_per_node_second = 0;
  double most_bytes_per_second = 0;
  /// Messages per second that the node with most has received.
  double most_messages_per_second = 0;
};

/// Runs one simulation on a virtual clock.
quota_outcome_figures
SimulateQuotas(const quota_simulation_options& aOptions);

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_QUOTA_SIMULATION_H_
