// A node is stopped while a requester reads a large answer from it. The answer
// must be sent to its end within the grace period.

#include <csignal>
#include <thread>

#include "../stand-in/requester.h"
#include "../stand-in/scenario.h"

namespace {

using namespace review;

constexpr std::size_t kAnswerBytes = 10400000;
/// 16 Mbit/s: a requester on a slow line, who has the answer after 5.2 s.
constexpr double kReadRate = 2e6;
constexpr double kRouteTimeout = 10.0;
constexpr milliseconds kPatience{ 10000 };
constexpr milliseconds kSignalAfter{ 200 };
constexpr double kGraceSeconds = 6.0;

std::optional<bool>
AnswerLarge(instance& aSelf, int aSocket, const message& aRequest)
{
  if (aRequest.Target() != "/export/large") {
    return std::nullopt;
  }
  aSelf.RecordRun(aRequest);
  std::string body = aSelf.BodyFor(aRequest, kAnswerBytes);
  return SendAll(aSocket,
                 aSelf.AnswerHead(aRequest) + "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
}

double
SecondsSince(clock::time_point aStart, clock::time_point aTime)
{
  return std::chrono::duration<double>(aTime - aStart).count();
}

int
Run(mesh& aMesh, record& aRecord)
{
  for (std::size_t i = 0; i < aMesh.Size(); ++i) {
    aMesh.At(i).application->Behave(AnswerLarge);
  }
  outcome done;
  std::thread requester([&] {
    ask request;
    request.path = "/export/large";
    request.id = NewId();
    request.timeout = kPatience;
    request.read_rate = kReadRate;
    aRecord.Add("sent      " + request.id);
    done = Ask(aMesh.Outbound(0), request);
    aRecord.Add("answered  " + request.id + ": " + done.Text());
  });
  SleepFor(kSignalAfter);
  auto signalled = clock::now();
  if (WithTrouble()) {
    aMesh.Signal(0, SIGTERM);
    while (!aMesh.HasEnded(0) && clock::now() - signalled < kPatience) {
      SleepFor(milliseconds(10));
    }
    aRecord.Say("the node ended " +
                std::to_string(SecondsSince(signalled, clock::now())) +
                " s after SIGTERM; grace_s is " +
                std::to_string(kGraceSeconds));
  }
  requester.join();
  bool cut = !done.answer.complete && done.end != "timeout" &&
             SecondsSince(signalled, done.ended) < kGraceSeconds;
  aRecord.Say("answer: " + done.Text() + "; the connection ended " +
              std::to_string(SecondsSince(signalled, done.ended)) +
              " s after SIGTERM");
  return cut ? broken : held;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunAndExit(aCount,
             aArguments,
             { "export", "export" },
             { { "r-export", "/export/", "export", true, kRouteTimeout } },
             Run);
}
