// Runs rollouts with every combination of version fault and platform fault on a
// virtual clock. A good version must be rolled out by its deadline, a bad one
// must be rolled back, and a rollout must never have both outcomes.
#include <cstdio>
#include <cxxopts.hpp>

#include "base/invariant.h"
#include "base/log.h"
#include "harness/virtual-mesh.h"

namespace {

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;

/// Required upper limit on the callers that see a failed call because of one
/// bad version, in percent.
constexpr double kMaxHurtPercent = 5;

bool
IsGood(version_fault aFault)
{
  return aFault == version_fault::none || aFault == version_fault::noisy ||
         aFault == version_fault::common_failure;
}

/// Returns a description of the violated requirement, or an empty string.
std::string
FindViolation(const mesh_options& aOptions, const mesh_outcome& aOutcome)
{
  if (aOutcome.done && aOutcome.taken_back) {
    return "the rollout is both done and rolled back";
  }
  if (IsGood(aOptions.fault)) {
    return aOutcome.on_time
             ? ""
             : "a good version was not rolled out by its deadline";
  }
  if (!aOutcome.taken_back && aOutcome.ejected == 0) {
    return "a bad version was not rolled back";
  }
  double hurt = 100.0 * static_cast<double>(aOutcome.callers_hurt) /
                static_cast<double>(aOutcome.callers);
  return hurt <= kMaxHurtPercent ? "" : "too many callers had a failed call";
}

bool
RunOne(const mesh_options& aOptions)
{
  mesh_outcome outcome = virtual_mesh(aOptions).Run();
  std::string violation = FindViolation(aOptions, outcome);
  if (violation.empty()) {
    return true;
  }
  std::printf(
    "BROKEN %s with %s, seed %llu: %s (%zu of %zu callers hurt; %s)\n",
    std::string(NameOf(aOptions.fault)).c_str(),
    std::string(NameOf(aOptions.platform)).c_str(),
    static_cast<unsigned long long>(aOptions.seed),
    violation.c_str(),
    outcome.callers_hurt,
    outcome.callers,
    outcome.reason.c_str());
  return false;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("rollout-random");
  options.add_options()(
    "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "runs", "", cxxopts::value<unsigned>()->default_value("1"));
  cxxopts::ParseResult flags = options.parse(aCount, aArguments);
  ConfigureLog(log_level::error, log_format::text);
  SetAbortOnBrokenInvariant(true);
  constexpr int kFaults = 13;
  constexpr int kPlatforms = 4;
  bool good = true;
  unsigned count = 0;
  for (unsigned run = 0; run < flags["runs"].as<unsigned>(); ++run) {
    for (int fault = 0; fault < kFaults; ++fault) {
      for (int platform = 0; platform < kPlatforms; ++platform) {
        mesh_options one;
        one.fault = static_cast<version_fault>(fault);
        one.platform = static_cast<platform_fault>(platform);
        one.seed = flags["seed"].as<std::uint64_t>() + run;
        // At this load, no instance is busy enough to trigger this fault.
        if (one.fault == version_fault::slow_under_load) {
          continue;
        }
        good = RunOne(one) && good;
        ++count;
      }
    }
  }
  std::printf("%u rollouts: %s\n",
              count,
              good ? "all requirements met" : "requirements violated");
  return good ? 0 : 1;
}
