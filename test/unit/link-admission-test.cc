#include <catch2/catch.hpp>

#include "proxy/link-admission.h"

using namespace eelgrasstrack;
using std::chrono::milliseconds;

namespace {

const time_point kStart = time_point(std::chrono::hours(1));

/// A file that takes 50 ms on the link and 100 ms at its instance.
link_demand
FileBehind(duration aBacklog, duration aTimeToSoftDeadline)
{
  link_demand demand;
  demand.run_time = milliseconds(100);
  demand.backlog = aBacklog;
  demand.send_time = milliseconds(50);
  demand.soft_deadline = kStart + aTimeToSoftDeadline;
  demand.deadline = kStart + milliseconds(2500);
  return demand;
}

/// Files arrive at a link for 20 s, evenly, at a multiple of the rate at which
/// it can send them. Returns the number that was sent in time as a share of
/// those that the link can send.
double
GoodputOfLink(double aLoad)
{
  constexpr int kSteps = 4000;
  constexpr duration kStep = milliseconds(5);
  const duration kSendTime = FileBehind({}, {}).send_time;
  duration backlog{ 0 };
  double due = 0;
  int inTime = 0;
  for (int step = 0; step < kSteps; ++step) {
    time_point now = kStart + step * kStep;
    backlog = std::max(backlog - kStep, duration(0));
    due += aLoad * static_cast<double>(kStep.count()) /
           static_cast<double>(kSendTime.count());
    for (; due >= 1; due -= 1) {
      link_demand demand = FileBehind(backlog, milliseconds(600));
      demand.soft_deadline = now + milliseconds(600);
      demand.deadline = now + milliseconds(2500);
      if (FitsLink(demand, now)) {
        backlog += kSendTime;
        duration sent = std::max(demand.run_time, backlog);
        inTime += sent <= milliseconds(600) ? 1 : 0;
      }
    }
  }
  return inTime / (kSteps * static_cast<double>(kStep.count()) /
                   static_cast<double>(kSendTime.count()));
}

} // namespace

// The load of a nightly download: more files are asked for than the link can
// send. Guards against all of them being late because each is accepted that
// meets its deadline.
TEST_CASE("link admission, more files than the link can send, those sent are "
          "in time",
          "[link-admission]")
{
  CHECK(GoodputOfLink(1.8) >= 0.9);
  CHECK(GoodputOfLink(3) >= 0.9);
}

TEST_CASE("link admission, less load than the link can send, refuses none",
          "[link-admission]")
{
  CHECK(GoodputOfLink(0.9) >= 0.89);
}

TEST_CASE("link admission, idle link, late file is accepted",
          "[link-admission]")
{
  CHECK(FitsLink(FileBehind(milliseconds(0), milliseconds(-300)), kStart));
  CHECK_FALSE(
    FitsLink(FileBehind(milliseconds(400), milliseconds(-300)), kStart));
}

TEST_CASE("link admission, deadline can't be met, refuses", "[link-admission]")
{
  link_demand demand = FileBehind(milliseconds(0), milliseconds(-300));
  demand.deadline = kStart + milliseconds(120);
  CHECK_FALSE(FitsLink(demand, kStart));
}

TEST_CASE("link admission, refused, names the time until there is room",
          "[link-admission]")
{
  link_demand demand = FileBehind(milliseconds(800), milliseconds(600));
  REQUIRE_FALSE(FitsLink(demand, kStart));
  duration wait = TimeUntilLinkFits(demand, kStart);
  demand.backlog -= wait;
  CHECK(FitsLink(demand, kStart));
}
