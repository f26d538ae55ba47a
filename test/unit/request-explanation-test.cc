#include <catch2/catch.hpp>
#include <sstream>

#include "diagnosis/request-explanation.h"

using namespace eelgrasstrack;

namespace {

/// Logs of three nodes, not in order of time.
class request_explanation_fixture
{
public:
  request_explanation_fixture()
  {
    Add(
      R"({"event":"answer_broken","node":"a","request":"q1","time_ms":5200})");
    Add(R"({"event":"host_lost","node":"a","time_ms":4900})");
    Add(R"({"event":"host_lost","node":"c","time_ms":4900})");
    Add(R"({"event":"host_lost","node":"a","time_ms":900})");
    Add(
      R"({"event":"attempt_failed","node":"a","request":"q1","time_ms":5100})");
    Add("  text of another program");
    Add(
      R"({"event":"instance_answer_broken","node":"b","request":"q1","time_ms":5000})");
    Add(R"({"event":"refused_full","node":"b","request":"q2","time_ms":5000})");
    Add(R"({"event":"attempt_failed","node":"b","request":"q3","time_ms":1})");
  }

  void Add(const std::string& aLine) { text += aLine + "\n"; }

  request_explanation Explain(const std::string& aRequest) const
  {
    std::istringstream lines(text);
    return ExplainRequest(ReadLog(lines).records, aRequest);
  }

  std::string text;
};

} // namespace

TEST_CASE_METHOD(
  request_explanation_fixture,
  "request explanation, records of two nodes, are in order of time",
  "[diagnosis]")
{
  request_explanation explanation = Explain("q1");
  REQUIRE(explanation.lines.size() == 3);
  CHECK(explanation.lines[0].node == "b");
  CHECK(explanation.lines[1].event == "attempt_failed");
  CHECK(explanation.lines[2].event == "answer_broken");
  CHECK(explanation.cause.find("502") != std::string::npos);
}

TEST_CASE_METHOD(
  request_explanation_fixture,
  "request explanation, host lost just before, is in the context",
  "[diagnosis]")
{
  request_explanation explanation = Explain("q1");
  REQUIRE(explanation.context.size() == 1);
  CHECK(explanation.context[0].node == "a");
  CHECK(explanation.context[0].time_ms == 4900);
}

TEST_CASE_METHOD(
  request_explanation_fixture,
  "request explanation, refused request, has the reason as cause",
  "[diagnosis]")
{
  CHECK(Explain("q2").cause.find("no instance had capacity") !=
        std::string::npos);
  Add(
    R"({"event":"refused_quarantined","node":"b","request":"q4","time_ms":1})");
  CHECK(Explain("q4").cause.find("crashes of instances") != std::string::npos);
  Add(R"({"event":"refused_quota","node":"b","request":"q5","time_ms":1})");
  CHECK(Explain("q5").cause.find("organisation") != std::string::npos);
}

TEST_CASE_METHOD(
  request_explanation_fixture,
  "request explanation, outcome or request not in the logs, is reported",
  "[diagnosis]")
{
  CHECK(Explain("q3").cause.find("not in these logs") != std::string::npos);
  CHECK(Explain("q9").cause.find("no record of this request") !=
        std::string::npos);
}

TEST_CASE_METHOD(request_explanation_fixture,
                 "request explanation, lines that are not records, are counted",
                 "[diagnosis]")
{
  std::istringstream lines(text);
  log_content content = ReadLog(lines);
  CHECK(content.records.size() == 8);
  CHECK(content.skipped == 1);
}
