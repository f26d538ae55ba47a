// Runs one performance experiment on this machine and prints one figure per
// line.
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>

#include "base/log.h"
#include "experiments.h"

namespace {

using namespace eelgrasstrack;
using namespace eelgrasstrack::bench;

/// An experiment that the command line can select by name.
struct experiment_row
{
  const char* name;
  int (*run)(const experiment_options&);
};

constexpr experiment_row kExperiments[] = {
  { "convergence", RunConvergence }, { "control", RunControl },
  { "rollout", RunRollout },         { "calls", RunCalls },
  { "capacity", RunCapacity },       { "quota", RunQuota },
};

int
Usage()
{
  std::fprintf(
    stderr,
    "usage: eelgrasstrack-bench EXPERIMENT [--full] [--seed N] [--only TEXT] "
    "[--runs N]\n");
  for (const experiment_row& row : kExperiments) {
    std::fprintf(stderr, "  %s\n", row.name);
  }
  return 2;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("eelgrasstrack-bench");
  auto add = options.add_options();
  add("full", "");
  add("seed", "", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("only", "", cxxopts::value<std::string>()->default_value(""));
  add("runs", "", cxxopts::value<unsigned>()->default_value("0"));
  add("experiment", "", cxxopts::value<std::string>()->default_value(""));
  options.parse_positional({ "experiment" });
  experiment_options experimentOptions;
  std::string name;
  try {
    cxxopts::ParseResult flags = options.parse(aCount, aArguments);
    experimentOptions.full = flags.count("full") > 0;
    experimentOptions.seed = flags["seed"].as<std::uint64_t>();
    experimentOptions.only = flags["only"].as<std::string>();
    experimentOptions.runs = flags["runs"].as<unsigned>();
    name = flags["experiment"].as<std::string>();
  } catch (const cxxopts::exceptions::exception& parseError) {
    std::fprintf(stderr, "eelgrasstrack-bench: %s\n", parseError.what());
    return Usage();
  }
  experimentOptions.programs =
    std::filesystem::canonical("/proc/self/exe").parent_path().string();
  ConfigureLog(log_level::error, log_format::text);
  for (const experiment_row& row : kExperiments) {
    if (name == row.name) {
      return row.run(experimentOptions);
    }
  }
  return Usage();
}
