#include <catch2/catch.hpp>

#include "quota/permit-lease.h"

using namespace eelgrasstrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class permit_lease_fixture
{
public:
  /// Demand at this rate for three seconds, with a permit for each request.
  void Demand(double aPerSecond)
  {
    duration gap(static_cast<std::int64_t>(1e6 / aPerSecond));
    for (time_point end = now + seconds(3); now < end; now += gap) {
      lease.RecordDemand(now);
    }
  }

  /// Asks for permits of a waiting request and gets this answer.
  unsigned Exchange(unsigned aGranted, duration aWait = duration(0))
  {
    unsigned asked = lease.CountToAsk(1, now);
    if (asked > 0) {
      lease.BeginAsk(asked, now);
      now += milliseconds(2);
      lease.HandleGrant(aGranted, aWait, now);
    }
    return asked;
  }

  unsigned UseAll()
  {
    unsigned used = 0;
    while (lease.TryUse(now)) {
      ++used;
    }
    return used;
  }

  time_point now{ seconds(100) };
  permit_lease lease{ { 100, 50, seconds(1) } };
};

} // namespace

// Guards against permits that lie unused: a node with a request now and then
// takes those of other nodes.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, rare requests, asks for one when one comes",
                 "[quota]")
{
  lease.RecordDemand(now);
  CHECK(lease.CountToAsk(0, now) == 0);
  CHECK(Exchange(1) == 1);
  CHECK(UseAll() == 1);
  CHECK(lease.CountToAsk(0, now) == 0);
}

// Guards against a wait for each request of a frequent organisation, and a
// message for each.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, frequent requests, asks ahead for less than a "
                 "second's demand",
                 "[quota]")
{
  Demand(50);
  unsigned ahead = lease.CountToAsk(0, now);
  CHECK(ahead >= 15);
  CHECK(ahead <= 50);
  CHECK(Exchange(1000) <= 51);
  CHECK(lease.CountToAsk(0, now) == 0); // enough for now
  for (int i = 0; i < 40 && lease.CountToAsk(0, now) == 0; ++i) {
    lease.TryUse(now);
  }
  CHECK(lease.CountToAsk(0, now) > 0); // before the lease is used up
  CHECK(lease.TryUse(now));
}

// Guards against QUOTA: permits collected over time are used all at once.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, permits older than their validity, can't be "
                 "used",
                 "[quota]")
{
  Demand(50);
  Exchange(30);
  now += milliseconds(999);
  CHECK_FALSE(lease.TryUse(now));
  lease.Return({ now - milliseconds(1) }, now);
  CHECK_FALSE(lease.TryUse(now));
}

// Guards against QUOTA: an owner that answers with more than was asked for.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, more granted than asked, counts what was asked",
                 "[quota]")
{
  lease.RecordDemand(now);
  CHECK(Exchange(1000) == 1);
  CHECK(UseAll() == 1);
}

// Guards against a lost permit: what is refused as not run counts against the
// organisation.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, permit returned in time, is used again",
                 "[quota]")
{
  lease.RecordDemand(now);
  Exchange(1);
  std::optional<quota_permit> permit = lease.TryUse(now);
  REQUIRE(permit);
  CHECK_FALSE(lease.TryUse(now));
  lease.Return(*permit, now);
  CHECK(lease.TryUse(now));
}

// Guards against OWNER-LOAD: each request of an organisation at its limit is a
// message to the owner.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, refused, asks again when the owner's time has "
                 "passed",
                 "[quota]")
{
  lease.RecordDemand(now);
  Exchange(0, milliseconds(300));
  CHECK(lease.IsHeld(now));
  CHECK(lease.CountToAsk(1, now) == 0);
  now += milliseconds(300);
  CHECK(lease.CountToAsk(1, now) > 0);
  Exchange(0, seconds(30));
  now += milliseconds(500);
  CHECK_FALSE(lease.IsHeld(now));
}

// Guards against callers that all come back at the same time.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, many refused, each is told a later time",
                 "[quota]")
{
  Demand(20);
  Exchange(1000);
  UseAll();
  Exchange(0, milliseconds(100));
  duration last = lease.RetryAfter(now);
  CHECK(last == milliseconds(100));
  for (int i = 0; i < 5; ++i) {
    duration next = lease.RetryAfter(now);
    CHECK(next > last);
    CHECK(next <= seconds(3));
    last = next;
  }
}

// Guards against QUOTA and REFUSED-BELOW while the owner is lost: all requests
// are admitted, or none.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, owner silent, admits one request in a window",
                 "[quota]")
{
  lease.RecordDemand(now);
  lease.BeginAsk(lease.CountToAsk(1, now), now);
  lease.HandleSilentOwner(true, now);
  CHECK(lease.IsOwnerSilent());
  CHECK(lease.CountToAsk(1, now) == 0);
  CHECK(lease.TryAllowance(seconds(5), now));
  CHECK_FALSE(lease.TryAllowance(seconds(5), now + milliseconds(4999)));
  CHECK(lease.TryAllowance(seconds(5), now + seconds(5)));
  lease.HandleNewOwner();
  CHECK_FALSE(lease.IsOwnerSilent());
  CHECK(lease.CountToAsk(1, now) == 1);
}

// Guards against QUOTA: a lowered limit holds only once the leases are used up.
TEST_CASE_METHOD(permit_lease_fixture,
                 "permit lease, limit lowered, drops permits in proportion",
                 "[quota]")
{
  Demand(50);
  Exchange(20);
  lease.SetTerms({ 10, 5, seconds(1) });
  CHECK(UseAll() <= 2);
}
