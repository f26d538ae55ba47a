#include "../stand-in-2/stand-ins.h"

using namespace trial;

namespace {

constexpr std::size_t kNodes = 4;
constexpr double kDrainSeconds = 2;
constexpr double kStableSeconds = 3;
constexpr const char* kLeftId = "i-1";

struct run
{
  std::string instance;
  std::string id;
  double at = 0;
};

/// Kills all processes at the same moment and starts them again.
void
KillAll(deployment& aWorld, recorder& aRecord)
{
  aRecord.Write("SIGKILL to all nodes");
  for (auto& each : aWorld.nodes) {
    each->Signal(SIGKILL);
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    aWorld.nodes[i]->Kill();
    aWorld.WriteSettings(i, false);
  }
  SleepFor(300);
  for (auto& each : aWorld.nodes) {
    each->Start();
  }
  aRecord.Write("all nodes started again");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return kCouldNotRun;
  }
  recorder record(aArguments[1]);
  std::mutex mutex;
  std::vector<run> runs;
  deployment world({ kNodes, 260, 1.5, 5, 6 },
                   [&](socket_link& aLink, const message& aRequest) {
                     run ran{ aRequest.Field("X-Eelgrasstrack-Target-Instance"),
                              aRequest.Field("X-Eelgrasstrack-Request-Id"),
                              record.Seconds() };
                     record.Write(ran.id + " ran at " + ran.instance);
                     std::lock_guard lock(mutex);
                     runs.push_back(std::move(ran));
                     return aLink.Send(SuccessHead(aRequest, 2) + "ok");
                   });
  if (!world.Start()) {
    world.End(record, kCouldNotRun, "the nodes do not serve");
  }
  SleepFor(1000); // the entries of the nodes are written
  if (HasTrouble()) {
    record.Write("the store answers 503 from now on");
    world.platform.SetDown(true);
  }
  world.instances[0]->StopPings();
  SleepFor(1000);
  int status = world.instances[0]->SendExitNotice();
  double confirmed = record.Seconds();
  record.Write(std::string(kLeftId) + " sent its exit notice, status " +
               std::to_string(status));
  if (status != 200) {
    world.End(record, kHeld, "the exit notice was not confirmed");
  }
  SleepFor(500);
  if (HasTrouble()) {
    KillAll(world, record);
    SleepFor(1000);
    record.Write("the store answers again");
    world.platform.SetDown(false);
  }
  double calm = record.Seconds();
  std::map<std::string, double> sent;
  while (record.Seconds() < calm + 10) {
    for (std::size_t i = 1; i < kNodes; ++i) {
      std::string id = deployment::NewId();
      sent[id] = record.Seconds();
      if (socket_ptr caller = ConnectTo(world.nodes[i]->outbound)) {
        Exchange(*caller, deployment::Head("GET", "/read/a", id, 1000), 2000);
      }
    }
    SleepFor(100);
  }
  std::lock_guard lock(mutex);
  int late = 0;
  int served = 0;
  for (const run& each : runs) {
    bool inTouch =
      sent.count(each.id) != 0 && sent[each.id] > calm + kStableSeconds;
    served += inTouch ? 1 : 0;
    late +=
      inTouch && each.instance == kLeftId && each.at > confirmed + kDrainSeconds
        ? 1
        : 0;
  }
  if (served == 0) {
    world.End(record, kCouldNotRun, "no request was served");
  }
  world.End(record,
            late > 0 ? kBroken : kHeld,
            std::to_string(late) + " of " + std::to_string(served) +
              " requests, sent by machines in touch, reached the instance "
              "that had left");
}
