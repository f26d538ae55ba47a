#include <catch2/catch.hpp>

#include "routing/admission-queue.h"
#include "routing/request-key-table.h"
#include "routing/retry-policy.h"
#include "routing/route-table.h"
#include "routing/upstream-picker.h"

using namespace eelgrasstrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point kStart = time_point(std::chrono::hours(1));

class picker_fixture
{
public:
  picker_fixture()
    : picker("domain-0", Options(), 7)
  {
    for (int i = 0; i < 4; ++i) {
      candidates.push_back({ "node-" + std::to_string(i),
                             "domain-" + std::to_string(i % 2),
                             1,
                             10 });
    }
  }

  static picker_options Options()
  {
    picker_options options;
    options.slow_start = milliseconds(1);
    return options;
  }

  node_id PickAt(time_point aNow)
  {
    auto chosen = picker.Pick(candidates, {}, aNow);
    return chosen ? candidates[*chosen].node : "";
  }

  upstream_picker picker;
  std::vector<upstream_candidate> candidates;
};

} // namespace

TEST_CASE_METHOD(picker_fixture,
                 "UpstreamPicker_OwnDomainHasCapacity_PicksLocalUpstream",
                 "[picker]")
{
  // The first pick starts the slow start of 1 ms, which is over afterwards.
  PickAt(kStart);
  for (int i = 0; i < 100; ++i) {
    node_id node = PickAt(kStart + seconds(1 + i));
    bool local = node == "node-0" || node == "node-2";
    REQUIRE(local);
  }
}

TEST_CASE_METHOD(picker_fixture,
                 "UpstreamPicker_OwnDomainOverloaded_PicksOtherDomains",
                 "[picker]")
{
  PickAt(kStart);
  for (int i = 0; i < 9; ++i) {
    picker.RecordStart("node-0");
    picker.RecordStart("node-2");
  }
  bool other = false;
  for (int i = 0; i < 50; ++i) {
    node_id node = PickAt(kStart + seconds(1));
    other = other || node == "node-1" || node == "node-3";
  }
  REQUIRE(other);
}

TEST_CASE_METHOD(picker_fixture,
                 "UpstreamPicker_ConsecutiveFailures_EjectsTemporarily",
                 "[picker]")
{
  time_point now = kStart + seconds(1);
  for (int i = 0; i < 5; ++i) {
    picker.RecordStart("node-0");
    picker.RecordFinish("node-0", call_outcome::failed, now);
  }
  REQUIRE(picker.IsEjected("node-0", now));
  for (int i = 0; i < 50; ++i) {
    REQUIRE(PickAt(now) != "node-0");
  }
  REQUIRE(!picker.IsEjected("node-0", now + seconds(6)));
}

TEST_CASE_METHOD(picker_fixture,
                 "UpstreamPicker_MostUpstreamsFail_IgnoresEjections",
                 "[picker]")
{
  time_point now = kStart + seconds(1);
  for (const upstream_candidate& candidate : candidates) {
    for (int i = 0; i < 5; ++i) {
      picker.RecordFinish(candidate.node, call_outcome::failed, now);
    }
  }
  REQUIRE(!PickAt(now).empty());
}

TEST_CASE_METHOD(picker_fixture,
                 "UpstreamPicker_BusyUpstreamRefuses_IsNotEjected",
                 "[picker]")
{
  for (int i = 0; i < 50; ++i) {
    picker.RecordFinish("node-0", call_outcome::refused, kStart);
  }
  REQUIRE(!picker.IsEjected("node-0", kStart));
}

TEST_CASE("AdmissionQueue_SlotsFull_QueuesThenSheds", "[admission]")
{
  admission_queue queue({ 2, 1 });
  time_point deadline = kStart + seconds(10);
  REQUIRE(queue.Offer(1, "a", deadline, kStart).decision ==
          admission_decision::run);
  REQUIRE(queue.Offer(2, "b", deadline, kStart).decision ==
          admission_decision::run);
  REQUIRE(queue.Offer(3, "c", deadline, kStart).decision ==
          admission_decision::queued);
  REQUIRE(queue.Offer(4, "d", deadline, kStart).decision ==
          admission_decision::shed);
  queue.Finish("a", milliseconds(5));
  REQUIRE(queue.StartNext(kStart).run == 3);
  REQUIRE(queue.RunningCount() == 2);
}

TEST_CASE("AdmissionQueue_DeadlineCannotBeMet_ShedsAtOnce", "[admission]")
{
  admission_queue queue({ 1, 10 });
  REQUIRE(queue.Offer(1, "a", kStart + seconds(9), kStart).decision ==
          admission_decision::run);
  queue.Finish("a", milliseconds(100));
  queue.Offer(2, "a", kStart + seconds(9), kStart);
  REQUIRE(queue.Offer(3, "b", kStart + milliseconds(50), kStart).decision ==
          admission_decision::shed);
  REQUIRE(queue.Offer(4, "b", kStart + seconds(1), kStart).decision ==
          admission_decision::queued);
}

TEST_CASE("AdmissionQueue_FilledByOneCaller_AdmitsAnotherCaller", "[admission]")
{
  admission_queue queue({ 1, 4 });
  time_point deadline = kStart + seconds(10);
  for (admission_id id = 1; id <= 5; ++id) {
    queue.Offer(id, "greedy", deadline, kStart);
  }
  admission_outcome outcome = queue.Offer(6, "other", deadline, kStart);
  REQUIRE(outcome.decision == admission_decision::queued);
  REQUIRE(outcome.evicted == std::vector<admission_id>{ 5 });
  queue.Finish("greedy", milliseconds(1));
  REQUIRE(queue.StartNext(kStart).run.has_value());
}

TEST_CASE("RequestKeyTable_SameKeyWithinWindow_IsHeldUntilReleased",
          "[duplicates]")
{
  using status = request_key_table::claim_status;
  request_key_table table({ seconds(60), 3 });
  REQUIRE(table.Claim("a", 0, kStart) == status::claimed);
  REQUIRE(table.Claim("a", 0, kStart + seconds(59)) == status::already_claimed);
  table.Release("a", 0);
  REQUIRE(table.Claim("a", 0, kStart + seconds(59)) == status::claimed);
  REQUIRE(table.Claim("a", 0, kStart + seconds(100)) ==
          status::already_claimed);
  REQUIRE(table.Claim("a", 0, kStart + seconds(120)) == status::claimed);
  table.Claim("b", 0, kStart + seconds(120));
  table.Claim("c", 0, kStart + seconds(120));
  REQUIRE(table.Claim("d", 0, kStart + seconds(120)) == status::full);
}

TEST_CASE("RequestKeyTable_KeyOfAnotherSession_IsRefusedAndKept",
          "[duplicates]")
{
  using status = request_key_table::claim_status;
  request_key_table table({ seconds(60), 3 });
  REQUIRE(table.Claim("a", 1, kStart) == status::claimed);
  REQUIRE(table.Claim("a", 2, kStart) == status::claimed_by_other);
  table.Release("a", 2);
  REQUIRE(table.Claim("a", 2, kStart) == status::claimed_by_other);
  table.Release("a", 1);
  REQUIRE(table.Claim("a", 2, kStart) == status::claimed);
}

TEST_CASE("RetryPolicy_UnrepeatableMayHaveRun_IsNotRetried", "[retry]")
{
  failed_attempt attempt;
  attempt.kind = error_kind::upstream_broken;
  attempt.time_left = seconds(1);
  REQUIRE(!MayRetry(attempt, retry_options{}));
  attempt.repeatable = true;
  REQUIRE(MayRetry(attempt, retry_options{}));
  attempt.repeatable = false;
  attempt.execution_status = execution::not_run;
  REQUIRE(MayRetry(attempt, retry_options{}));
  attempt.time_left = milliseconds(1);
  REQUIRE(!MayRetry(attempt, retry_options{}));
}

TEST_CASE("RetryBudget_AllCallsFail_RetriesStayATenthOfCalls", "[retry]")
{
  retry_budget budget((retry_options()));
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordFirstAttempt();
    retries += budget.TryAcquireRetry() ? 1 : 0;
    retries += budget.TryAcquireRetry() ? 1 : 0;
  }
  REQUIRE(retries <= 105);
}

TEST_CASE("AdaptiveThrottle_ServiceRefusesAll_RejectsMostCalls", "[retry]")
{
  adaptive_throttle throttle(3);
  int admitted = 0;
  for (int i = 0; i < 2000; ++i) {
    admitted += throttle.TryAdmit(kStart + milliseconds(i)) ? 1 : 0;
  }
  REQUIRE(admitted < 400);
}

TEST_CASE("RouteTable_SeveralMatch_LongestPrefixWins", "[routes]")
{
  document_map documents;
  documents["service/a"] = R"({"kind":"service","name":"a","version":"v1"})";
  documents["routes/r"] =
    R"({"kind":"routes","name":"r","routes":[
      {"name":"all","path_prefix":"/","service":"a"},
      {"name":"shifts","path_prefix":"/shifts","service":"a"},
      {"name":"book","path_prefix":"/shifts","methods":["POST"],"service":"a"}]})";
  snapshot_ptr snapshot = *BuildSnapshot(1, documents);
  REQUIRE(MatchRoute(*snapshot, "GET", "", "/shifts/7")->name == "shifts");
  REQUIRE(MatchRoute(*snapshot, "POST", "", "/shifts")->name == "book");
  REQUIRE(MatchRoute(*snapshot, "GET", "", "/shiftsandmore")->name == "all");
}
