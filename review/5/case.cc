// An instance leaves; its node confirms that, is killed and starts again. The
// instance must get no request later than `drain_s` after the confirmation.

#include <set>

#include "../stand-in/requester.h"
#include "../stand-in/scenario.h"

namespace {

using namespace review;

constexpr milliseconds kPeriod{ 50 };
constexpr milliseconds kKillAfter{ 100 };
/// A process that was killed starts again after a short delay.
constexpr milliseconds kRestartDelay{ 500 };
/// `stable_s` and some more: from then on a restarted machine is in touch.
constexpr milliseconds kInTouchAfter{ 3500 };
/// How long the instance goes on serving after the confirmation.
constexpr milliseconds kServesFor{ 12000 };
constexpr milliseconds kDrainTime{ 2000 };

/// Sends requests for a time and returns the ids of those sent from `aFrom` on.
std::set<std::string>
SendRequests(mesh& aMesh,
             record& aRecord,
             clock::time_point aFrom,
             clock::time_point aEnd)
{
  std::set<std::string> sent;
  while (clock::now() < aEnd) {
    ask request;
    request.path = "/desk/1";
    request.id = NewId();
    if (clock::now() >= aFrom) {
      sent.insert(request.id);
    }
    aRecord.Add("sent      " + request.id);
    outcome done = Ask(aMesh.Outbound(0), request);
    aRecord.Add("answered  " + request.id + ": " + done.Text());
    SleepFor(kPeriod);
  }
  return sent;
}

int
Run(mesh& aMesh, record& aRecord)
{
  instance& leaving = *aMesh.At(0).application;
  // Its node has written the instance's entry by then.
  SendRequests(aMesh, aRecord, clock::now(), clock::now() + milliseconds(3000));
  if (!leaving.ReportExit()) {
    aRecord.Say("the departure was not confirmed");
    return could_not_run;
  }
  auto confirmed = clock::now();
  aRecord.Say("departure of " + leaving.Options().id + " confirmed");
  auto from = confirmed + kDrainTime;
  if (WithTrouble()) {
    SleepFor(kKillAfter);
    aMesh.KillNode(0);
    SleepFor(kRestartDelay);
    aMesh.StartNode(0, false);
    from = std::max(from, clock::now() + kInTouchAfter);
  }
  std::set<std::string> sent =
    SendRequests(aMesh, aRecord, from, confirmed + kServesFor);
  int late = 0;
  double last = 0;
  for (const instance_run& run : leaving.Runs()) {
    if (run.at > confirmed + kDrainTime && sent.count(run.request_id) > 0) {
      ++late;
      last = std::chrono::duration<double>(run.at - confirmed).count();
    }
  }
  aRecord.Say(std::to_string(sent.size()) +
              " requests sent while the node was in touch, " +
              std::to_string(late) + " of them run by " + leaving.Options().id +
              " after drain_s, the last " + std::to_string(last) +
              " s after the confirmation");
  return late > 0 ? broken : held;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunAndExit(aCount,
             aArguments,
             { "desk", "desk", "other", "other" },
             { { "r-desk", "/desk/", "desk", true, 2.0 } },
             Run);
}
