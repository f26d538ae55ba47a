#include <catch2/catch.hpp>
#include <map>

#include "net/bandwidth-scheduler.h"

using namespace eelgrasstrack;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr double kBytesPerSecond = 1.6e6;
constexpr std::size_t kLargeBytes = 90000;
constexpr std::size_t kSmallBytes = 600;

/// A link that sends every 5 ms what the scheduler grants.
class link_fixture
{
public:
  link_fixture()
  {
    scheduler.SetBandwidth(kBytesPerSecond);
    // Use up the initial allowance, so that the link starts busy.
    scheduler.TrySendNow(0, now);
    scheduler.Queue(kFirst, kLargeBytes);
  }

  /// Sends for a while and returns the bytes that were granted by stream.
  std::map<stream_id, std::size_t> Run(milliseconds aTime)
  {
    std::map<stream_id, std::size_t> sent;
    for (time_point end = now + aTime; now < end; now += milliseconds(5)) {
      while (auto grant = scheduler.Next(
               now, [this](stream_id aStream) { return aStream == blocked; })) {
        sent[grant->stream] += grant->bytes;
      }
    }
    return sent;
  }

  static constexpr stream_id kFirst = 1;
  static constexpr stream_id kSecond = 2;
  bandwidth_scheduler scheduler;
  time_point now = kStart;
  stream_id blocked = 0;
};

} // namespace

TEST_CASE_METHOD(
  link_fixture,
  "bandwidth scheduler, small message beside large ones, goes at once",
  "[net]")
{
  // An urgent small answer must not wait behind downloads that fill the link.
  for (stream_id stream = 2; stream < 12; ++stream) {
    scheduler.Queue(stream, kLargeBytes);
  }
  CHECK(scheduler.TrySendNow(kSmallBytes, now));
  CHECK_FALSE(scheduler.TrySendNow(kLargeBytes, now));
}

TEST_CASE_METHOD(link_fixture,
                 "bandwidth scheduler, several large answers, keeps to the "
                 "bandwidth",
                 "[net]")
{
  scheduler.Queue(kSecond, 20 * kLargeBytes);
  std::size_t bytes = 0;
  for (const auto& [stream, sent] : Run(milliseconds(500))) {
    bytes += sent;
  }
  CHECK(bytes <= 0.5 * kBytesPerSecond + 64000);
  CHECK(bytes >= 0.9 * 0.5 * kBytesPerSecond);
}

TEST_CASE_METHOD(
  link_fixture,
  "bandwidth scheduler, two large answers, completes the first one first",
  "[net]")
{
  scheduler.Queue(kSecond, kLargeBytes);
  auto sent = Run(milliseconds(55));
  CHECK(sent[kFirst] == kLargeBytes);
  CHECK(sent[kSecond] < kLargeBytes);
}

TEST_CASE_METHOD(link_fixture,
                 "bandwidth scheduler, slow receiver, holds back only its own "
                 "answer",
                 "[net]")
{
  scheduler.Queue(kSecond, kLargeBytes);
  blocked = kFirst;
  auto sent = Run(milliseconds(200));
  CHECK(sent[kFirst] == 0);
  CHECK(sent[kSecond] == kLargeBytes);
}

TEST_CASE_METHOD(link_fixture,
                 "bandwidth scheduler, stream removed, its bytes are no longer "
                 "queued",
                 "[net]")
{
  scheduler.Queue(kSecond, kLargeBytes);
  scheduler.Remove(kFirst);
  CHECK(scheduler.QueuedBytes() == kLargeBytes);
  CHECK(scheduler.QueueTime() > milliseconds(50));
  CHECK(Run(milliseconds(100)).count(kFirst) == 0);
}

TEST_CASE("bandwidth scheduler, unlimited, sends everything at once", "[net]")
{
  bandwidth_scheduler scheduler;
  CHECK(scheduler.TrySendNow(10 * kLargeBytes, kStart));
  CHECK(scheduler.SendTime(kLargeBytes) == duration(0));
}
