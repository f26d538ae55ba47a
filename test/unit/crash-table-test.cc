#include <catch2/catch.hpp>

#include "proxy/crash-table.h"

using namespace eelgrasstrack;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr request_fingerprint kRequest = 7;
constexpr request_fingerprint kOther = 8;
constexpr std::uint32_t kQuarantineCrashes = 3;

class crash_table_fixture
{
public:
  crash_table_fixture() { AdvanceTime(seconds(1000)); }

  void AdvanceTime(duration aTime) { now += aTime; }

  /// Records the crash of an instance that began to run the request when the
  /// crashes before were known.
  static void CrashBeside(crash_table& aTable,
                          request_fingerprint aRequest,
                          time_point aNow)
  {
    aTable.RecordCrash({ { aRequest, aTable.Find(aRequest) } }, aNow);
  }

  void Quarantine(request_fingerprint aRequest)
  {
    for (std::uint32_t i = 0; i < kQuarantineCrashes; ++i) {
      CrashBeside(table, aRequest, now);
    }
  }

  void CopyTo(crash_table& aOther)
  {
    for (const crash_record& record : table.Records()) {
      (void)aOther.Merge(record, now);
    }
  }

  time_point now{};
  crash_table table;
  crash_table other_node;
};

} // namespace

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, three crashes in a row, quarantines the request",
                 "[crash-table]")
{
  CrashBeside(table, kRequest, now);
  CrashBeside(table, kRequest, now);
  CHECK(table.IsSuspect(kRequest));
  CHECK_FALSE(table.IsQuarantined(kRequest));
  CrashBeside(table, kRequest, now);
  CHECK(table.IsQuarantined(kRequest));
  CHECK_FALSE(table.IsSuspect(kOther));
}

// Guards against taking a frequent request for the cause when many instances
// stop at the same moment, for example at the end of a rollout.
TEST_CASE_METHOD(
  crash_table_fixture,
  "crash table, many instances crash at once, count as one crash",
  "[crash-table]")
{
  crash_count known = table.Find(kRequest);
  for (int instance = 0; instance < 10; ++instance) {
    table.RecordCrash({ { kRequest, known } }, now);
  }
  CHECK(table.Find(kRequest).crashes == 1);
}

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, answer between crashes, voids those before it",
                 "[crash-table]")
{
  CrashBeside(table, kRequest, now);
  CrashBeside(table, kRequest, now);
  table.RecordAnswer(kRequest, now);
  CHECK_FALSE(table.IsSuspect(kRequest));
  CrashBeside(table, kRequest, now);
  CrashBeside(table, kRequest, now);
  CHECK_FALSE(table.IsQuarantined(kRequest));
}

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, crash of a run from before an answer, does not "
                 "count",
                 "[crash-table]")
{
  crash_count known = table.Find(kRequest);
  CrashBeside(table, kRequest, now);
  table.RecordAnswer(kRequest, now);
  table.RecordCrash({ { kRequest, known } }, now);
  CHECK_FALSE(table.IsSuspect(kRequest));
}

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, merged in any order, is the same on both nodes",
                 "[crash-table]")
{
  crash_record first{ kRequest, { 0, 1 }, now };
  crash_record answered{ kRequest, { 1, 0 }, now };
  crash_record again{ kRequest, { 1, 2 }, now };
  for (const crash_record& record : { first, answered, again, first }) {
    (void)table.Merge(record, now);
  }
  for (const crash_record& record : { again, first, answered }) {
    (void)other_node.Merge(record, now);
  }
  CHECK(table.Find(kRequest) == crash_count{ 1, 2 });
  CHECK(other_node.Find(kRequest) == table.Find(kRequest));
  CHECK(other_node.Digest() == table.Digest());
}

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, merged into an empty one, quarantines there",
                 "[crash-table]")
{
  Quarantine(kRequest);
  CHECK(other_node.Digest() != table.Digest());
  CopyTo(other_node);
  CHECK(other_node.IsQuarantined(kRequest));
  CHECK(other_node.Digest() == table.Digest());
}

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, ten minutes later, sends the request on again",
                 "[crash-table]")
{
  Quarantine(kRequest);
  CHECK(table.QuarantineLeft(kRequest, now) == minutes(10));
  AdvanceTime(minutes(10) - seconds(1));
  table.RemoveExpired(now);
  CHECK(table.IsQuarantined(kRequest));
  AdvanceTime(seconds(1));
  CopyTo(other_node);
  CHECK(other_node.Empty());
  table.RemoveExpired(now);
  CHECK(table.Empty());
}

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, many requests beside crashes, stays bounded and "
                 "keeps the quarantined one",
                 "[crash-table]")
{
  Quarantine(kRequest);
  constexpr request_fingerprint kRequests = 5000;
  for (request_fingerprint each = 100; each < 100 + kRequests; ++each) {
    AdvanceTime(std::chrono::milliseconds(1));
    CrashBeside(table, each, now);
  }
  constexpr std::size_t kMaxRecords = 512;
  CHECK(table.Records().size() == kMaxRecords);
  CHECK(table.IsQuarantined(kRequest));
  CHECK(table.IsSuspect(100 + kRequests - 1));
}

TEST_CASE_METHOD(crash_table_fixture,
                 "crash table, own evidence, is reported once",
                 "[crash-table]")
{
  std::vector<crash_record> reported;
  table.OnChange([&reported](const std::vector<crash_record>& aRecords) {
    reported.insert(reported.end(), aRecords.begin(), aRecords.end());
  });
  crash_count known = table.Find(kRequest);
  table.RecordCrash({ { kRequest, known }, { kOther, known } }, now);
  table.RecordCrash({ { kRequest, known } }, now);
  CHECK(reported.size() == 2);
  table.RecordAnswer(kOther, now);
  table.RecordAnswer(kOther, now);
  CHECK(reported.size() == 3);
}

TEST_CASE("request fingerprint, same request with another id, is the same",
          "[crash-table]")
{
  message_head head;
  head.method = "GET";
  head.target = "/a?b=1";
  head.fields = { { "Host", "h.example" }, { "X-Request-Id", "1" } };
  request_fingerprint first = FingerprintOf(head, "orders", "body");
  head.fields = { { "X-Request-Id", "2" }, { "host", "H.example:80" } };
  CHECK(FingerprintOf(head, "orders", "body") == first);
  CHECK(FingerprintOf(head, "orders", "other") != first);
  CHECK(FingerprintOf(head, "stock", "body") != first);
  head.target = "/a?b=2";
  CHECK(FingerprintOf(head, "orders", "body") != first);
}

TEST_CASE("request fingerprint, bytes move between parts, differs",
          "[crash-table]")
{
  message_head head;
  head.target = "/ab";
  request_fingerprint first = FingerprintOf(head, "c", "d");
  head.target = "/a";
  CHECK(FingerprintOf(head, "bc", "d") != first);
  head.target = "/ab";
  CHECK(FingerprintOf(head, "", "cd") != first);
}

// Guards against two fingerprints of one request: the first hop may have read
// more of a long body than the last hop.
TEST_CASE("request fingerprint, long body partly read, is the same",
          "[crash-table]")
{
  message_head head;
  std::string body((256U << 10U) + 1, 'x');
  request_fingerprint first = FingerprintOf(head, "c", body);
  CHECK(FingerprintOf(head, "c", body + "rest") == first);
}
