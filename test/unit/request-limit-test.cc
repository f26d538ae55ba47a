#include <catch2/catch.hpp>

#include <deque>
#include <random>

#include "harness/run-entries.h"
#include "proxy/hop-fields.h"
#include "proxy/instance-chooser.h"
#include "proxy/instance-notices.h"
#include "proxy/request-limit-table.h"
#include "proxy/run-queue.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point kStart = time_point(std::chrono::hours(1));

/// Sends as fast as the limiter allows at random moments and records when.
std::deque<time_point>
SendAtRandomMoments(request_rate_limiter& aLimiter,
                    std::uint64_t aSeed,
                    duration aTime)
{
  constexpr int kMaxPauseMicroseconds = 3000;
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<int> pause(0, kMaxPauseMicroseconds);
  std::deque<time_point> sent;
  for (time_point now = kStart; now < kStart + aTime;
       now += duration(pause(random))) {
    if (aLimiter.TimeUntilAllowed(0, now) == duration(0)) {
      aLimiter.RecordSent(now);
      sent.push_back(now);
    }
  }
  return sent;
}

/// Greatest number of requests within any span of this length.
std::size_t
MostWithin(const std::deque<time_point>& aSent, duration aSpan)
{
  std::size_t most = 0;
  std::deque<time_point> span;
  for (time_point sent : aSent) {
    span.push_back(sent);
    while (sent - span.front() >= aSpan) {
      span.pop_front();
    }
    most = std::max(most, span.size());
  }
  return most;
}

/// A queue for an instance with eight slots that takes 10 requests a second.
class limited_queue_fixture
{
public:
  run_queue queue{ 8 };

  limited_queue_fixture()
  {
    for (int i = 0; i < 100; ++i) {
      queue.Finish("route", milliseconds(20));
    }
    queue.SetRequestLimit(10, kStart);
  }

  static run_entry Entry(run_id aId, unsigned aPriority, duration aSoftDeadline)
  {
    return MakeRunEntry(kStart, aId, aPriority, aSoftDeadline);
  }
};

} // namespace

// Guards against LIMIT: bursts and pauses let more through than the limit.
TEST_CASE("request rate limiter, any span of 4 s, keeps to the limit",
          "[request-limit]")
{
  for (double limit : { 1.0, 6.4, 9.4, 60.0, 500.0 }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      request_rate_limiter limiter;
      limiter.SetLimit(limit, kStart);
      std::deque<time_point> sent =
        SendAtRandomMoments(limiter, seed, seconds(20));
      constexpr double kSeconds = 4;
      CHECK(MostWithin(sent, seconds(4)) <= limit * kSeconds * 1.05 + 1);
      // The limit is used: nearly all of it over the whole time.
      CHECK(static_cast<double>(sent.size()) >= 0.9 * limit * 20);
    }
  }
}

TEST_CASE(
  "request rate limiter, limit of zero, lets one request in 2 s through "
  "to learn when it is lifted",
  "[request-limit]")
{
  request_rate_limiter limiter;
  limiter.SetLimit(0, kStart);
  std::size_t sent = SendAtRandomMoments(limiter, 1, seconds(20)).size();
  CHECK(sent >= 9);
  CHECK(sent <= 11);
}

TEST_CASE("request rate limiter, limit raised, does not wait by the old one",
          "[request-limit]")
{
  request_rate_limiter limiter;
  limiter.SetLimit(0.5, kStart);
  limiter.RecordSent(kStart);
  CHECK(limiter.TimeUntilAllowed(0, kStart) > milliseconds(1900));
  limiter.SetLimit(100, kStart);
  CHECK(limiter.TimeUntilAllowed(0, kStart) <= milliseconds(10));
  limiter.SetLimit(std::nullopt, kStart);
  CHECK(limiter.TimeUntilAllowed(100, kStart) == duration(0));
}

// Guards against LIMIT: requests that start when a slot is free, without regard
// to the limit.
TEST_CASE_METHOD(
  limited_queue_fixture,
  "run queue, limit named, slots are free, requests wait for the "
  "limit",
  "[request-limit]")
{
  CHECK(queue.Admit(Entry(1, 1, seconds(2)), kStart).decision ==
        run_decision::run);
  CHECK(queue.Admit(Entry(2, 1, seconds(2)), kStart).decision ==
        run_decision::wait);
  CHECK_FALSE(queue.StartNext(kStart).run);
  run_queue::next_run next = queue.StartNext(kStart + milliseconds(100));
  REQUIRE(next.run);
  CHECK(*next.run == 2);
  CHECK_FALSE(queue.StartNext(kStart + milliseconds(100)).run);
}

TEST_CASE_METHOD(limited_queue_fixture,
                 "run queue, limit named, refuses at once what can't start in "
                 "time and tells when",
                 "[request-limit]")
{
  unsigned started = 0;
  unsigned waiting = 0;
  unsigned refused = 0;
  duration retryAfter{ 0 };
  for (run_id id = 1; id <= 50; ++id) {
    run_admission admission =
      queue.Admit(Entry(id, 1, milliseconds(500)), kStart);
    started += admission.decision == run_decision::run ? 1 : 0;
    waiting += admission.decision == run_decision::wait ? 1 : 0;
    if (admission.decision == run_decision::refuse) {
      ++refused;
      retryAfter = admission.retry_after;
    }
  }
  CHECK(started == 1);
  // At 10 a second about eight start before 80 % of the deadline of 1 s.
  CHECK(waiting >= 4);
  CHECK(waiting <= 9);
  CHECK(refused == 50 - started - waiting);
  CHECK(retryAfter >= milliseconds(400));
}

TEST_CASE_METHOD(limited_queue_fixture,
                 "run queue, limit named, most urgent request starts first",
                 "[request-limit]")
{
  (void)queue.Admit(Entry(1, 1, seconds(2)), kStart);
  (void)queue.Admit(Entry(2, 2, seconds(2)), kStart);
  (void)queue.Admit(Entry(3, 0, seconds(2)), kStart);
  run_queue::next_run next = queue.StartNext(kStart + milliseconds(100));
  REQUIRE(next.run);
  CHECK(*next.run == 3);
}

TEST_CASE("instance chooser, limit makes requests wait, chooses another",
          "[request-limit]")
{
  const request_urgency urgency{ 1, milliseconds(300) };
  instance_chooser chooser("domain-a", 7);
  std::vector<instance_candidate> candidates{
    { "host-1", "limited", "domain-a", 10, false, false },
    { "host-2", "free", "domain-a", 10, false, false },
  };
  run_load load;
  load.slots = 10;
  load.average_duration = milliseconds(20);
  chooser.RecordStart("free");
  chooser.RecordEnd(
    "free", urgency, instance_chooser::outcome::answered, load, kStart);
  load.limit_wait = milliseconds(200);
  chooser.RecordStart("limited");
  chooser.RecordEnd(
    "limited", urgency, instance_chooser::outcome::answered, load, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(chooser.Choose(candidates, {}, urgency, kStart) == 1U);
  }
  // The wait has passed.
  unsigned limited = 0;
  for (int i = 0; i < 40; ++i) {
    limited +=
      chooser.Choose(candidates, {}, urgency, kStart + milliseconds(300)) == 0U
        ? 1
        : 0;
  }
  CHECK(limited > 0);
}

TEST_CASE("request limit, in an answer, is read or rejected", "[request-limit]")
{
  header_names names;
  names.request_limit = "Server-Limit";
  result<std::optional<double>> limit =
    RequestLimitOf({ { "Server-Limit", "9.4" } }, names);
  REQUIRE(limit);
  CHECK(*limit == 9.4);
  limit = RequestLimitOf({ { "Other", "1" } }, names);
  REQUIRE(limit);
  CHECK_FALSE(limit->has_value());
  for (const char* text : { "", "many", "-1", "nan", "inf", "9 a second" }) {
    CHECK_FALSE(RequestLimitOf({ { "Server-Limit", text } }, names));
  }
}

TEST_CASE("request limit, in a call between nodes, survives encoding",
          "[request-limit]")
{
  forwarded_request sent;
  sent.instance = "i-1";
  sent.route = "r-1";
  sent.request_limit = 9.4;
  forwarded_request received;
  REQUIRE(DecodeCall(EncodeCall(sent, kStart), kStart, received));
  CHECK(received.request_limit == 9.4);
  sent.request_limit.reset();
  REQUIRE(DecodeCall(EncodeCall(sent, kStart), kStart, received));
  CHECK_FALSE(received.request_limit);
  // A node of an earlier version sends no limit.
  CHECK(DecodeCall("i-1 r-1 1 once 300 2000 orders", kStart, received));
  CHECK_FALSE(
    DecodeCall("i-1 r-1 1 once 300 2000 orders many", kStart, received));
}

TEST_CASE("request limit, wait in a load between nodes, survives encoding",
          "[request-limit]")
{
  run_load load;
  load.limit_wait = milliseconds(130);
  std::optional<run_load> received = DecodeLoad(EncodeLoad(load));
  REQUIRE(received);
  CHECK(received->limit_wait == milliseconds(130));
  received = DecodeLoad("1 2 4 20 0");
  REQUIRE(received);
  CHECK(received->limit_wait == duration(0));
}

TEST_CASE("request limit table, limit not confirmed for a minute, is forgotten",
          "[request-limit]")
{
  request_limit_table limits;
  limits.Record("i-1", 5, kStart);
  limits.Record("i-2", 7, kStart + seconds(50));
  limits.RemoveUnconfirmed(kStart + seconds(61));
  CHECK_FALSE(limits.Find("i-1"));
  CHECK(limits.Find("i-2") == 7.0);
  limits.Record("i-2", std::nullopt, kStart + seconds(62));
  CHECK_FALSE(limits.Find("i-2"));
}
