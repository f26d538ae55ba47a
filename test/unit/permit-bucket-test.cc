#include <catch2/catch.hpp>

#include "quota/permit-bucket.h"

using namespace eelgrasstrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

organisation
Limited(double aRate, double aBurst)
{
  organisation limited;
  limited.name = "bakery";
  limited.requests_per_second = aRate;
  limited.burst = aBurst;
  return limited;
}

class permit_bucket_fixture
{
public:
  time_point now{ seconds(100) };
  /// A bucket of 10 permits with 10 more each second.
  permit_bucket bucket{ { 10, 10, seconds(1) }, now };
};

} // namespace

// Guards against QUOTA: permits that were granted before a window and are used
// in it come on top of the window's own.
TEST_CASE("quota terms, any limit, worst case of one owner stays in the bound",
          "[quota]")
{
  const quota_bounds bounds;
  for (double rate : { 0.1, 1.0, 4.0, 50.0, 800.0, 20000.0 }) {
    for (double burstSeconds : { 0.0, 0.2, 1.0, 5.0 }) {
      organisation limited = Limited(rate, rate * burstSeconds);
      quota_terms terms = TermsOf(limited, bounds);
      double validity = std::chrono::duration<double>(terms.validity).count();
      double worst = terms.depth + rate * (5 + validity);
      INFO(rate << " per second, burst " << limited.burst);
      CHECK(worst <= (rate * 5 + limited.burst) * 1.1 + 20);
      CHECK(terms.depth >= 1);
      CHECK(terms.validity <= seconds(1));
      CHECK(terms.validity >= milliseconds(250));
    }
  }
}

// Guards against QUOTA: each start of an owner grants the burst again.
TEST_CASE_METHOD(permit_bucket_fixture,
                 "permit bucket, new, is empty and fills at its rate",
                 "[quota]")
{
  CHECK(bucket.Take("a", 5, now).count == 0);
  now += milliseconds(300);
  CHECK(bucket.Take("a", 5, now).count == 3);
  now += seconds(60);
  CHECK(bucket.Take("a", 100, now).count == 10);
}

// Guards against a time in Retry-After at which the next request is refused
// again, since others were told the same.
TEST_CASE_METHOD(permit_bucket_fixture,
                 "permit bucket, many refused, each is told a later time",
                 "[quota]")
{
  permit_grant first = bucket.Take("a", 1, now);
  CHECK(first.count == 0);
  CHECK(first.wait == milliseconds(100));
  permit_grant second = bucket.Take("b", 1, now);
  CHECK(second.wait == milliseconds(200));
  now += milliseconds(100);
  CHECK(bucket.Take("a", 1, now).count == 1);
  now += milliseconds(100);
  CHECK(bucket.Take("b", 1, now).count == 1);
}

// Guards against OWNER-LOAD: nodes of an organisation far above its limit ask
// for each request.
TEST_CASE_METHOD(
  permit_bucket_fixture,
  "permit bucket, far above the limit, waits stay below the time "
  "to fill",
  "[quota]")
{
  for (int i = 0; i < 100; ++i) {
    bucket.Take("node-" + std::to_string(i), 50, now);
  }
  permit_grant grant = bucket.Take("a", 50, now);
  CHECK(grant.wait >= milliseconds(500));
  CHECK(grant.wait <= milliseconds(700));
}

// Guards against lost permits: the only node that asks comes back after the
// bucket has overflown.
TEST_CASE_METHOD(
  permit_bucket_fixture,
  "permit bucket, one node far above the limit, comes back before "
  "the bucket is full",
  "[quota]")
{
  bucket.SetTerms({ 10, 2, seconds(1) }, now);
  unsigned granted = 0;
  time_point end = now + seconds(10);
  while (now < end) {
    permit_grant grant = bucket.Take("a", 30, now);
    granted += grant.count;
    now += std::min<duration>(grant.wait, milliseconds(500));
  }
  CHECK(granted >= 95);
  CHECK(granted <= 102);
}

// Guards against a count that overflows with a limit that is as good as none.
TEST_CASE_METHOD(permit_bucket_fixture,
                 "permit bucket, very high limit, grants what is asked for",
                 "[quota]")
{
  bucket.SetTerms({ 1e15, 1e15, seconds(1) }, now);
  now += seconds(10);
  CHECK(bucket.Take("a", 4'000'000'000U, now).count == 4'000'000'000U);
}

// Guards against QUOTA: a lowered limit holds only after the saved permits.
TEST_CASE_METHOD(permit_bucket_fixture,
                 "permit bucket, limit lowered, drops permits beyond its depth",
                 "[quota]")
{
  now += seconds(60);
  bucket.SetTerms({ 1, 2, seconds(1) }, now);
  CHECK(bucket.Take("a", 100, now).count == 2);
  now += seconds(1);
  CHECK(bucket.Take("a", 100, now).count == 1);
}

// Guards against QUOTA: both parts of a partitioned fleet grant the whole
// limit.
TEST_CASE_METHOD(
  permit_bucket_fixture,
  "permit bucket, part of the hosts reachable, fills by that part",
  "[quota]")
{
  bucket.SetShare(0.3, now);
  now += seconds(2);
  CHECK(bucket.Take("a", 100, now).count == 6);
  bucket.SetShare(0, now);
  now += seconds(60);
  permit_grant none = bucket.Take("a", 1, now);
  CHECK(none.count == 0);
  CHECK(none.wait > seconds(1));
}
