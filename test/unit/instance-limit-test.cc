#include <catch2/catch.hpp>

#include "harness/service-mesh.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// Requests per second that a limited instance takes.
constexpr double kLimit = 5;
constexpr const char* kLimitText = "5";

/// Requests that a limited instance may get within a time: the published bound
/// of one and a half times its limit, and 5.
double
AllowedRequests(duration aTime)
{
  constexpr double kAllowedFactor = 1.5;
  constexpr double kAllowedExtra = 5;
  double seconds = std::chrono::duration<double>(aTime).count();
  return kAllowedFactor * kLimit * seconds + kAllowedExtra;
}

class limit_fixture : public service_mesh
{
public:
  /// Sends requests for this time. Returns the number of those that were
  /// served.
  unsigned SendFor(duration aTime)
  {
    unsigned served = 0;
    time_point end = world.Loop().Now() + aTime;
    while (world.Loop().Now() < end) {
      served += SendNext() ? 1 : 0;
    }
    return served;
  }
};

} // namespace

// Guards against LIMIT: an instance that has named a limit gets more requests
// from all hosts together than it takes.
TEST_CASE_METHOD(
  limit_fixture,
  "instance limit, named by all instances, is kept by the sum of "
  "all hosts",
  "[instance-limit]")
{
  world.Behaviour(first).request_limit = kLimitText;
  world.Behaviour(second).request_limit = kLimitText;
  (void)SendFor(milliseconds(100)); // every front host hears of the limits
  unsigned before = world.RunCount(first);
  constexpr duration kTime = milliseconds(1500);
  (void)SendFor(kTime);
  CHECK(world.RunCount(first) - before <= AllowedRequests(kTime));
}

// Guards against LIMIT after a restart: the node beside a limited instance
// starts again and forgets the limit that others have heard.
TEST_CASE_METHOD(limit_fixture,
                 "instance limit, node beside the instance restarts, is kept",
                 "[instance-limit]")
{
  world.Behaviour(first).request_limit = kLimitText;
  world.Behaviour(second).request_limit = kLimitText;
  (void)SendFor(milliseconds(100));
  unsigned before = world.RunCount(first);
  world.RestartNode(first);
  world.Announce(first, instance_state::ready);
  world.RunFor(milliseconds(100));
  constexpr duration kTime = milliseconds(1000);
  (void)SendFor(kTime);
  CHECK(world.RunCount(first) - before <=
        AllowedRequests(kTime + milliseconds(100)));
}

// Guards against a limit that outlives its cause: the instance no longer names
// it and gets no more requests than before.
TEST_CASE_METHOD(limit_fixture,
                 "instance limit, no longer named, ends with the next answer",
                 "[instance-limit]")
{
  world.Behaviour(first).request_limit = kLimitText;
  world.Behaviour(second).request_limit = kLimitText;
  (void)SendFor(milliseconds(100));
  world.Behaviour(first).request_limit.clear();
  world.Behaviour(second).request_limit.clear();
  (void)SendFor(milliseconds(500)); // at least one request reaches each
  unsigned before = world.RunCount(first) + world.RunCount(second);
  unsigned served = SendFor(milliseconds(200));
  unsigned runs = world.RunCount(first) + world.RunCount(second) - before;
  CHECK(runs == served);
  CHECK(runs > 2 * AllowedRequests(milliseconds(200)));
}

TEST_CASE_METHOD(limit_fixture,
                 "instance limit, named by one instance, the other one serves "
                 "the rest",
                 "[instance-limit]")
{
  world.Behaviour(first).request_limit = kLimitText;
  (void)SendFor(milliseconds(100));
  unsigned before = world.RunCount(first);
  constexpr int kRequests = 200;
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(first) - before < kRequests / 2);
}

TEST_CASE_METHOD(limit_fixture,
                 "instance limit, malformed, leaves the limit that was named "
                 "before",
                 "[instance-limit]")
{
  world.Behaviour(first).request_limit = kLimitText;
  world.Behaviour(second).request_limit = kLimitText;
  (void)SendFor(milliseconds(100));
  world.Behaviour(first).request_limit = "lots";
  world.Behaviour(second).request_limit = "lots";
  (void)SendFor(milliseconds(300));
  unsigned before = world.RunCount(first);
  constexpr duration kTime = milliseconds(500);
  (void)SendFor(kTime);
  CHECK(world.RunCount(first) - before <= AllowedRequests(kTime));
}
