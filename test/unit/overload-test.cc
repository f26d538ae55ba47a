#include <catch2/catch.hpp>

#include "harness/run-entries.h"
#include "proxy/run-queue.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point kStart = time_point(std::chrono::hours(1));

/// An instance with eight slots that all run pages of one second. A slot query
/// takes 150 ms.
class overload_fixture
{
public:
  static constexpr unsigned kSlots = 8;
  run_queue queue{ kSlots };

  overload_fixture()
  {
    for (int i = 0; i < 50; ++i) {
      queue.Finish("page", seconds(1));
    }
    for (int i = 0; i < 10; ++i) {
      queue.Finish("slots", milliseconds(150));
    }
    for (run_id id = 1; id <= kSlots; ++id) {
      REQUIRE(queue.Admit(Page(id), kStart).decision == run_decision::run);
    }
  }

  static run_entry Page(run_id aId)
  {
    run_entry page = MakeRunEntry(kStart, aId, 1, seconds(5));
    page.key = "page";
    page.deadline = kStart + seconds(15);
    return page;
  }

  static run_entry SlotQuery(run_id aId, duration aTimeLeft)
  {
    run_entry query = MakeRunEntry(kStart, aId, 1, aTimeLeft);
    query.key = "slots";
    query.deadline = kStart + seconds(3);
    return query;
  }

  /// Frees a slot after a page and returns the request that starts.
  run_id StartAfterPage(time_point aNow)
  {
    queue.Finish("page", seconds(1));
    run_queue::next_run next = queue.StartNext(aNow);
    REQUIRE(next.run);
    return *next.run;
  }
};

} // namespace

// The load of a burst of long pages beside short urgent queries of the same
// priority. Guards against the short ones waiting behind pages whose soft
// deadline comes earlier since they have waited longer.
TEST_CASE_METHOD(overload_fixture,
                 "overload, short request beside long ones, goes first",
                 "[overload]")
{
  run_entry old = Page(20);
  old.soft_deadline = kStart + milliseconds(2000);
  REQUIRE(queue.Admit(old, kStart).decision == run_decision::wait);
  REQUIRE(queue.Admit(SlotQuery(21, milliseconds(2500)), kStart).decision ==
          run_decision::wait);
  CHECK(StartAfterPage(kStart) == 21);
  CHECK(StartAfterPage(kStart) == 20);
}

// Guards against a short request of lower priority going before a longer one.
TEST_CASE_METHOD(overload_fixture,
                 "overload, short request of lower priority, goes last",
                 "[overload]")
{
  REQUIRE(queue.Admit(Page(20), kStart).decision == run_decision::wait);
  run_entry query = SlotQuery(21, milliseconds(2500));
  query.priority = 2;
  REQUIRE(queue.Admit(query, kStart).decision == run_decision::wait);
  CHECK(StartAfterPage(kStart) == 20);
}

// The load of twice the capacity. Guards against requests that wait for an
// answer that will be late while others could have been in time.
TEST_CASE_METHOD(
  overload_fixture,
  "overload, twice the capacity, those that wait will be in time",
  "[overload]")
{
  run_id id = 100;
  unsigned waiting = 0;
  for (int i = 0; i < 100; ++i) {
    waiting +=
      queue.Admit(Page(id++), kStart).decision == run_decision::wait ? 1 : 0;
  }
  // Eight slots start eight pages a second, and a page must start within 4 s to
  // be in time, so at most 32 wait.
  CHECK(waiting <= 32);
  CHECK(waiting >= 16);
}
