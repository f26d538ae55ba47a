#ifndef EELGRASSTRACK_REVIEW_SCENARIO_H_
#define EELGRASSTRACK_REVIEW_SCENARIO_H_

#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>

#include "mesh.h"

namespace review {

/// Exit codes of a script.
enum exit_code
{
  held = 0,
  broken = 1,
  could_not_run = 2
};

/// `stable_s` and some more: all machines are in touch when a scenario begins.
constexpr milliseconds kStableTime{ 3500 };

/// Whether the disruption is part of the run; `TROUBLE=0` leaves it out.
inline bool
WithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Runs a scenario and ends the process with its exit code, without destroying
/// what its threads still use.
template<typename Scenario>
[[noreturn]] void
RunAndExit(int aCount,
           char** aArguments,
           const std::vector<std::string>& aServices,
           const std::vector<route>& aRoutes,
           Scenario aScenario)
{
  std::signal(SIGPIPE, SIG_IGN);
  auto* lines = new record(aCount > 1 ? aArguments[1] : "/dev/null");
  auto* deployment = new mesh(aServices, aRoutes, *lines);
  bool started = deployment->Start();
  if (!started) { // once more, with other addresses
    deployment->Stop();
    deployment = new mesh(aServices, aRoutes, *lines);
    started = deployment->Start();
  }
  int code = could_not_run;
  if (started) {
    lines->Say(WithTrouble() ? "all nodes serve"
                             : "all nodes serve; no disruption");
    SleepFor(kStableTime);
    code = aScenario(*deployment, *lines);
  }
  deployment->Stop();
  lines->Say(code == broken ? "BROKEN"
             : code == held ? "held"
                            : "could not run");
  std::_Exit(code);
}

} // namespace review

#endif // EELGRASSTRACK_REVIEW_SCENARIO_H_
