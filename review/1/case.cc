// An instance sends a body without end. The node beside it must go on answering
// the requests of its other requesters.

#include <algorithm>
#include <thread>

#include "../stand-in/requester.h"
#include "../stand-in/scenario.h"

namespace {

using namespace review;

constexpr double kRouteTimeout = 1.0;
constexpr milliseconds kObserved{ 12000 };
constexpr milliseconds kPeriod{ 100 };
constexpr milliseconds kAtTimeout{ 1000 };
/// The rule counts what is still unanswered half a second after the timeout.
constexpr milliseconds kAfterTimeout{ 1500 };
constexpr milliseconds kPatience{ 4000 };
/// Requests to the faulty service in each second.
constexpr int kFaultyRequests = 4;
/// The rule of long requests counts from this number on.
constexpr int kMinUnanswered = 8;

/// Sends a success without the stamp of an instance, which is no answer, and
/// then chunks until the other side closes the connection.
std::optional<bool>
SendWithoutEnd(instance& aSelf, int aSocket, const message& aRequest)
{
  aSelf.RecordRun(aRequest);
  // A large chunk, after which the kernel lets more bytes wait for the reader.
  constexpr std::size_t kLargeChunkBytes = 1U << 24U;
  const std::string large =
    "1000000\r\n" + std::string(kLargeChunkBytes, 'x') + "\r\n";
  std::string small;
  constexpr int kChunksAtOnce = 40000;
  for (int i = 0; i < kChunksAtOnce; ++i) {
    small += "1\r\nx\r\n";
  }
  bool open = SendAll(aSocket,
                      "HTTP/1.1 200 OK\r\nX-Eelgrasstrack-Request-Id: " +
                        aRequest.Field("x-eelgrasstrack-request-id") +
                        "\r\nTransfer-Encoding: chunked\r\n\r\n");
  open = open && SendAll(aSocket, large);
  while (open) {
    open = SendAll(aSocket, small);
  }
  return false;
}

struct counts
{
  std::atomic<int> asked{ 0 };
  std::atomic<int> unanswered_at_timeout{ 0 };
  std::atomic<int> unanswered_later{ 0 };
};

/// A request to the sound service at the node beside the faulty instance.
void
AskSound(const address& aNode, record& aRecord, counts& aCounts)
{
  ask request;
  request.path = "/sound/1";
  request.id = NewId();
  request.timeout = kPatience;
  aRecord.Add("sent      " + request.id + " to /sound/");
  outcome done = Ask(aNode, request);
  auto isUnanswered = [&done](milliseconds aTime) {
    return done.answer.Status() == 0 || done.ended - done.sent > aTime;
  };
  ++aCounts.asked;
  aCounts.unanswered_at_timeout += isUnanswered(kAtTimeout) ? 1 : 0;
  aCounts.unanswered_later += isUnanswered(kAfterTimeout) ? 1 : 0;
  aRecord.Add("answered  " + request.id + ": " + done.Text());
}

void
AskFaulty(const address& aNode, record& aRecord)
{
  ask request;
  request.path = "/faulty/1";
  request.id = NewId();
  request.timeout = kPatience;
  aRecord.Add("sent      " + request.id + " to /faulty/");
  outcome done = Ask(aNode, request);
  aRecord.Add("answered  " + request.id + ": " + done.Text());
}

int
Run(mesh& aMesh, record& aRecord)
{
  if (WithTrouble()) {
    aMesh.At(0).application->Behave(SendWithoutEnd);
  }
  std::vector<std::thread> threads;
  counts sound;
  int notReady = 0;
  int readyAsked = 0;
  auto end = clock::now() + kObserved;
  auto nextReady = clock::now();
  while (clock::now() < end) {
    threads.emplace_back([&] { AskSound(aMesh.Outbound(0), aRecord, sound); });
    if (clock::now() >= nextReady) {
      nextReady += std::chrono::seconds(1);
      for (int i = 0; i < kFaultyRequests; ++i) {
        threads.emplace_back([&] { AskFaulty(aMesh.Outbound(0), aRecord); });
      }
      bool ready = aMesh.IsReady(0, milliseconds(900));
      ++readyAsked;
      notReady += ready ? 0 : 1;
      aRecord.Add(std::string("ready     ") + (ready ? "200" : "no 200"));
    }
    SleepFor(kPeriod);
  }
  for (std::thread& each : threads) {
    each.join();
  }
  aRecord.Say("/ready of the node beside the faulty instance: no 200 to " +
              std::to_string(notReady) + " of " + std::to_string(readyAsked) +
              " questions");
  aRecord.Say(
    "requests to the sound service: " + std::to_string(sound.asked.load()) +
    ", unanswered at the " +
    "route's timeout: " + std::to_string(sound.unanswered_at_timeout.load()) +
    ", half a second later: " + std::to_string(sound.unanswered_later.load()));
  bool isBroken = sound.unanswered_later >= kMinUnanswered &&
                  sound.unanswered_later * 2 > sound.unanswered_at_timeout;
  return isBroken ? broken : held;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunAndExit(aCount,
             aArguments,
             { "faulty", "sound", "sound", "sound" },
             { { "r-faulty", "/faulty/", "faulty", true, kRouteTimeout },
               { "r-sound", "/sound/", "sound", true, kRouteTimeout } },
             Run);
}
