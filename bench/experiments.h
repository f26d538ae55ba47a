#ifndef EELGRASSTRACK_BENCH_EXPERIMENTS_H_
#define EELGRASSTRACK_BENCH_EXPERIMENTS_H_

#include <cstdint>
#include <string>

namespace eelgrasstrack::bench {

struct experiment_options
{
  /// Folder of the built programs.
  std::string programs;
  /// More sizes, rows and seeds than fit into 50 s.
  bool full = false;
  std::uint64_t seed = 1;
  /// Runs only the rows whose name holds this text.
  std::string only;
  /// Runs of each row; 0 for the experiment's own number.
  unsigned runs = 0;
};

/// Outcomes of rollouts over faults, loads and platform faults, on a virtual
/// clock, against baselines.
int
RunRollout(const experiment_options& aOptions);

/// Time until a change is in force everywhere, with real processes, against
/// nodes that all watch the store or poll it.
int
RunConvergence(const experiment_options& aOptions);

/// Bytes, processor time, memory and store calls of a node: idle, with changes
/// and with restarts.
int
RunControl(const experiment_options& aOptions);

/// Bytes, store calls, processor time and memory of the fleet logic at growing
/// sizes, on a virtual clock.
int
RunCapacity(const experiment_options& aOptions);

/// Time added to a call, calls a core and goodput under overload.
int
RunCalls(const experiment_options& aOptions);

} // namespace eelgrasstrack::bench

#endif // EELGRASSTRACK_BENCH_EXPERIMENTS_H_
