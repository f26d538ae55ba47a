#ifndef EELGRASSTRACK_BENCH_EXPERIMENTS_H_
#define EELGRASSTRACK_BENCH_EXPERIMENTS_H_

#include <cstdint>
#include <string>

namespace eelgrasstrack::bench {

/// Command-line options of an experiment.
struct experiment_options
{
  /// Directory that contains the built programs.
  std::string programs;
  /// Runs the full set of sizes, rows and seeds, which takes longer than 50 s.
  bool full = false;
  /// Seed of the virtual-clock experiments. The runs of a rollout row use
  /// consecutive seeds that start here.
  std::uint64_t seed = 1;
  /// Runs only the rollout rows whose name contains this text.
  std::string only;
  /// Number of runs per rollout row; 0 selects the experiment's default.
  unsigned runs = 0;
};

/// Measures the outcomes of rollouts for combinations of version faults, loads
/// and platform faults on a virtual clock, and compares them with baseline
/// policies. Returns the exit status.
int
RunRollout(const experiment_options& aOptions);

/// Measures the time until a change is in force on all nodes, with real
/// processes, and compares it with fleets in which every node watches or polls
/// the store. Returns the exit status.
int
RunConvergence(const experiment_options& aOptions);

/// Measures control traffic, processor time and memory per node and the store
/// calls of the fleet: when idle, during changes and during restarts. Returns
/// the exit status.
int
RunControl(const experiment_options& aOptions);

/// Measures traffic, store calls, processor time and memory of the fleet logic
/// for increasing fleet sizes on a virtual clock. Returns the exit status.
int
RunCapacity(const experiment_options& aOptions);

/// Measures the latency that the proxies add to a call, the calls per core and
/// the goodput under overload. Returns the exit status.
int
RunCalls(const experiment_options& aOptions);

/// Compares ways to divide the limits of organisations between nodes over
/// synthetic arrivals on a virtual clock: what passes, what is refused below
/// the limit, and control traffic. Returns the exit status.
int
RunQuota(const experiment_options& aOptions);

} // namespace eelgrasstrack::bench

#endif // EELGRASSTRACK_BENCH_EXPERIMENTS_H_
