// Runs the complete path with stand-ins for both example deployments and prints
// the result of each step. The exit status is 0 only if every step succeeded.
#include <cstdio>
#include <nlohmann/json.hpp>

#include "harness/load-generator.h"
#include "harness/local-fleet.h"

namespace {

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 8;
/// The first half of the nodes runs versions 1 and 3, the second half
/// version 2.
constexpr std::size_t kUpstreamsPerVersion = 4;

/// An example deployment: its service and the calls that the demo sends to it.
struct deployment
{
  std::string name;
  std::string title;
  std::string service;
  std::string method;
  std::string path;
  std::size_t body_bytes;
  unsigned slots;
  int service_ms;
};

/// Runs the steps of the demo for one deployment; a failed step ends the run.
class demo
{
public:
  demo(const std::string& aPrograms,
       const std::string& aExamples,
       const deployment& aDeployment)
    : mExamples(aExamples)
    , mDeployment(aDeployment)
    , mFleet(aPrograms, fleet_shape{ kNodes, 4 })
  {
  }

  bool Run()
  {
    std::printf("\n== %s ==\n", mDeployment.title.c_str());
    return Start() && ApplyDeclaration() && ServeCalls() &&
           RollOutGoodVersion() && RollBackBadVersion();
  }

private:
  /// Prints the result of a step and returns it.
  bool ReportStep(bool aSucceeded, const std::string& aText)
  {
    std::printf(
      "%s %s\n", aSucceeded ? "[ok]      " : "[FAILED]  ", aText.c_str());
    std::fflush(stdout);
    return aSucceeded;
  }

  std::string FailPercentFlag(double aPercent)
  {
    return "--fail-percent=" + std::to_string(aPercent);
  }

  void StartUpstreams(std::size_t aFirstNode,
                      const std::string& aVersion,
                      double aFailPercent)
  {
    for (std::size_t i = 0; i < kUpstreamsPerVersion; ++i) {
      upstream_spec spec{
        mDeployment.service, aVersion, mDeployment.slots, {}
      };
      spec.flags = { "--delay-ms=" + std::to_string(mDeployment.service_ms),
                     FailPercentFlag(aFailPercent) };
      mFleet.StartUpstream(aFirstNode + i, spec);
    }
  }

  bool Start()
  {
    mFleet.StartStore();
    mFleet.StartNodes();
    StartUpstreams(0, "v1", 0);
    bool serving = mFleet.WaitUntilServing(seconds(15));
    return ReportStep(
      serving,
      std::to_string(kNodes) + " nodes in 4 failure domains are ready; " +
        std::to_string(kUpstreamsPerVersion) + " upstreams of " +
        mDeployment.service + " v1 run next to them");
  }

  bool ApplyDeclaration()
  {
    auto applied = mFleet.RunCtl(
      0, { "apply", mExamples + "/" + mDeployment.name + ".json" });
    time_point begun = mFleet.Loop().Now();
    bool everywhere =
      applied.status == 0 && mFleet.WaitUntilVersion(1, seconds(10));
    double elapsedMs =
      std::chrono::duration<double, std::milli>(mFleet.Loop().Now() - begun)
        .count();
    char text[160];
    std::snprintf(text,
                  sizeof(text),
                  "an operator applied %s.json at one node; version 1 was "
                  "in force on all %zu nodes within %.0f ms",
                  mDeployment.name.c_str(),
                  kNodes,
                  elapsedMs);
    return ReportStep(everywhere, text);
  }

  bool ServeCalls()
  {
    load_options options = MakeLoadOptions();
    options.callers = 1;
    options.calls_per_second = 20;
    load_generator load(mFleet.Loop(), options);
    mFleet.WaitUntil(
      seconds(5), [&] { return CountUpstreams("v1") >= kUpstreamsPerVersion; });
    load.Start();
    mFleet.RunFor(seconds(1));
    load.Stop();
    mFleet.RunFor(milliseconds(300));
    const load_report& report = load.Report();
    char text[160];
    std::snprintf(text,
                  sizeof(text),
                  "%llu of %llu calls node -> node -> upstream returned a "
                  "complete answer, median %.1f ms",
                  static_cast<unsigned long long>(report.succeeded),
                  static_cast<unsigned long long>(report.started),
                  report.Quantile(0.5));
    bool allSucceeded = report.started > 0 &&
                        report.succeeded == report.started &&
                        report.mismatched == 0;
    return ReportStep(allSucceeded, text);
  }

  load_options MakeLoadOptions()
  {
    load_options options;
    for (std::size_t i = 0; i < kNodes; ++i) {
      options.targets.push_back(mFleet.NodeEndpoints(i).callers);
    }
    options.method = mDeployment.method;
    options.path = mDeployment.path;
    options.body_bytes = mDeployment.body_bytes;
    options.callers = 200;
    options.calls_per_second = 150;
    return options;
  }

  /// Number of upstreams of a version that node 0 lists as not leaving.
  std::size_t CountUpstreams(const std::string& aVersion)
  {
    json dump = mFleet.RpcJson(0, "GET", "/v1/dump");
    std::size_t upstreams = 0;
    for (const json& member : dump["members"]) {
      bool isServing = member.contains("upstream") &&
                       member["upstream"]["version"] == aVersion &&
                       !member["upstream"]["leaving"].get<bool>();
      upstreams += isServing ? 1 : 0;
    }
    return upstreams;
  }

  /// Rolls out a version under load and prints the progress. Returns the final
  /// state of the rollout.
  std::string RollOut(const std::string& aVersion, int aDeadlineSeconds)
  {
    load_options options = MakeLoadOptions();
    options.name = "to-" + aVersion;
    load_generator load(mFleet.Loop(), options);
    load.SetNewVersion(aVersion);
    load.Start();
    std::string id = "move-to-" + aVersion;
    auto started =
      mFleet.RunCtl(2,
                    { "rollout",
                      "start",
                      mDeployment.service,
                      aVersion,
                      "--by=+" + std::to_string(aDeadlineSeconds) + "s",
                      "--operation-id=" + id });
    if (started.status != 0) {
      std::printf("%s", started.output.c_str());
      return "refused";
    }
    time_point begun = mFleet.Loop().Now();
    std::string state;
    double share = -1;
    mFleet.WaitUntil(seconds(aDeadlineSeconds + 10), [&] {
      json status = mFleet.RpcJson(1, "GET", "/v1/rollouts/" + id);
      state = status.value("standing", "");
      double currentShare = status.value("share_percent", 0.0);
      if (currentShare != share && state == "running") {
        share = currentShare;
        std::printf("           %4.1f s: share is %.2f %% of callers\n",
                    SecondsSince(begun),
                    share);
      }
      return state == "done" || state == "taken_back";
    });
    std::printf("           %4.1f s: %s (deadline %d s)\n",
                SecondsSince(begun),
                state.c_str(),
                aDeadlineSeconds);
    json status = mFleet.RpcJson(1, "GET", "/v1/rollouts/" + id);
    std::printf("           %s\n", status.value("says", "").c_str());
    mOnTime = SecondsSince(begun) <= aDeadlineSeconds;
    load.Stop();
    mFleet.RunFor(milliseconds(500));
    const load_report& report = load.Report();
    std::printf("           calls: %llu succeeded, %llu failed; %zu of 200 "
                "callers reached the new version, %zu had failed calls\n",
                static_cast<unsigned long long>(report.succeeded),
                static_cast<unsigned long long>(report.failed_not_run +
                                                report.failed_unknown),
                report.exposed_callers.size(),
                report.failed_callers.size());
    return state;
  }

  double SecondsSince(time_point aStart)
  {
    return std::chrono::duration<double>(mFleet.Loop().Now() - aStart).count();
  }

  bool RollOutGoodVersion()
  {
    StartUpstreams(kUpstreamsPerVersion, "v2", 0);
    mFleet.WaitUntil(
      seconds(5), [&] { return CountUpstreams("v2") >= kUpstreamsPerVersion; });
    std::string state = RollOut("v2", 20);
    return ReportStep(
      state == "done" && mOnTime,
      "the good version v2 received all traffic by its deadline: " + state);
  }

  bool RollBackBadVersion()
  {
    for (std::size_t i = 0; i < kUpstreamsPerVersion; ++i) {
      mFleet.Upstream(i).Signal(15);
    }
    mFleet.RunFor(seconds(3));
    StartUpstreams(0, "v3", 40);
    mFleet.WaitUntil(
      seconds(5), [&] { return CountUpstreams("v3") >= kUpstreamsPerVersion; });
    std::string state = RollOut("v3", 20);
    return ReportStep(
      state == "taken_back",
      "the bad version v3 (40 % of its calls fail) was rolled back: " + state);
  }

  std::string mExamples;
  deployment mDeployment;
  local_fleet mFleet;
  bool mOnTime = false;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: eelgrasstrack-demo PROGRAMS EXAMPLES\n");
    return 2;
  }
  const deployment deployments[] = {
    { "seri-kenanga",
      "Seri Kenanga: the rota board",
      "rota-board",
      "GET",
      "/status/branch-7",
      0,
      12,
      3 },
    { "kwaaiman",
      "Kwaaiman: orders, which must not be repeated",
      "orders",
      "POST",
      "/orders",
      200,
      6,
      8 },
  };
  bool succeeded = true;
  for (const deployment& each : deployments) {
    succeeded = demo(aArguments[1], aArguments[2], each).Run() && succeeded;
  }
  std::printf("\n%s\n",
              succeeded ? "every step succeeded" : "at least one step FAILED");
  return succeeded ? 0 : 1;
}
