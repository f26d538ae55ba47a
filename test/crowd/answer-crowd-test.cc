#include <catch2/catch.hpp>

#include "crowd/crowd-fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// As many as an instance of the deployments accepts connections.
constexpr unsigned kSlots = 110;
/// Requests at each instance that keep their slots; the others are left for
/// ordinary requests.
constexpr unsigned kKeptSlots = 100;
/// Callers whose whole answers are more than the memory of the test's settings
/// (64 MB).
constexpr std::size_t kSlowCallers = 400;
constexpr std::size_t kAnswerBytes = 250'000;
constexpr std::size_t kPartBytes = 65536;
/// Bodies of the largest accepted size, less one byte, at the ports for
/// heartbeats and other nodes: more than the memory of the test's settings.
constexpr std::size_t kServiceCalls = 40;
constexpr std::size_t kServiceBodyBytes = (8U << 20U) - 1;
/// Hosts whose nodes answer control messages with bytes without end.
constexpr std::size_t kFaultyHosts = 40;
/// Time in which bytes without end are sent.
constexpr seconds kSendTime{ 3 };

const std::string kPart(kPartBytes, 'x');
const std::string kChunkedField = "Transfer-Encoding: chunked\r\n";
/// One chunk of `kPartBytes`.
const std::string kChunk = "10000\r\n" + kPart + "\r\n";
const std::string kEndlessBody =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Lines of a head that are short, so that they take much more memory as
/// fields. Below the limit for the bytes of a head.
std::string
ManyFields()
{
  constexpr std::size_t kHeadBytes = 60'000;
  std::string lines;
  while (lines.size() < kHeadBytes) {
    lines += "a:\r\n";
  }
  return lines;
}

crowd_options
WithAnswer(const std::string& aStart, const std::string& aFilling)
{
  crowd_options options;
  options.slots = kSlots;
  options.upload_answer = faulty_bytes{ aStart, aFilling };
  return options;
}

std::string
Request()
{
  return crowd_fixture::Head("/upload/", "");
}

std::string
ServiceCall(const std::string& aLine)
{
  return aLine + " HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n" +
         std::string(kServiceBodyBytes, '[');
}

} // namespace

// Guards against a node that keeps what instances send without end while the
// callers do not read.
TEST_CASE_METHOD(crowd_fixture,
                 "instances, bodies without end, callers read nothing, node "
                 "stays within its memory and serves",
                 "[crowd][endless-body]")
{
  SECTION("in chunks")
  {
    Start(WithAnswer(kChunkedField + "\r\n", kChunk));
  }
  SECTION("without a length")
  {
    Start(WithAnswer("\r\n", kPart));
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    OpenSlowCrowd(i, kKeptSlots, Request());
  }
  RunFor(kSendTime);
  CheckNodes("bodies without end, not read");
}

// Guards against a node that keeps what it has passed on.
TEST_CASE_METHOD(crowd_fixture,
                 "instances, bodies without end, callers read them, node "
                 "stays within its memory and serves",
                 "[crowd][endless-read]")
{
  constexpr std::size_t kReaders = 20;
  Start(WithAnswer(kChunkedField + "\r\n", kChunk));
  for (std::size_t i = 0; i < kReaders; ++i) {
    crowd_client_ptr reader = Connect(i % kNodes);
    reader->drops = true;
    reader->link->Send(Request());
    mCrowd.push_back(reader);
  }
  RunFor(kSendTime);
  CheckNodes("bodies without end, read");
}

// Guards against a sum of answers without a bound that callers do not read.
TEST_CASE_METHOD(crowd_fixture,
                 "callers, read nothing of whole answers, node stays within "
                 "its memory and serves",
                 "[crowd][slow-readers]")
{
  const std::string body(kAnswerBytes, 'b');
  Start(WithAnswer(
    "Content-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n" + body, ""));
  SECTION("connections are kept")
  {
    OpenSlowCrowd(0, kSlowCallers, Request());
  }
  SECTION("connections close after the answer")
  {
    for (std::size_t i = 0; i < kSlowCallers; ++i) {
      OpenSlowCrowd(
        0, 1, crowd_fixture::Head("/upload/", "Connection: close\r\n"));
    }
  }
  RunFor(kSendTime);
  CheckNodes("whole answers, not read");
}

// Guards against heads that are kept without a bound, or as fields that take
// far more memory than their bytes.
TEST_CASE_METHOD(crowd_fixture,
                 "instances, heads without end or of many fields, node stays "
                 "within its memory and serves",
                 "[crowd][heads]")
{
  SECTION("without end")
  {
    Start(WithAnswer("X: ", kPart));
  }
  SECTION("one byte short")
  {
    Start(WithAnswer("X: " + std::string(60'000, 'x') + "\r\n", ""));
  }
  SECTION("many fields")
  {
    Start(WithAnswer(ManyFields() + "Content-Length: 10\r\n\r\n", ""));
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    OpenCrowd(i, kKeptSlots, Request());
  }
  RunFor(kSendTime);
  CheckNodes("heads");
}

// Guards against bytes of other processes that are kept without a bound at the
// ports for heartbeats, readiness and messages of nodes.
TEST_CASE_METHOD(crowd_fixture,
                 "service ports, bodies one byte short, node stays within its "
                 "memory and serves",
                 "[crowd][service-ports]")
{
  Start({});
  SECTION("heartbeats")
  {
    OpenCrowdAt(
      mNodes[0].heartbeats, kServiceCalls, ServiceCall("PUT /instances/i-0"));
  }
  SECTION("messages of nodes")
  {
    OpenCrowdAt(
      mNodes[0].control, kServiceCalls, ServiceCall("POST /v1/gossip"));
  }
  SECTION("readiness")
  {
    OpenCrowdAt(mNodes[0].ready, kServiceCalls, ServiceCall("GET /ready"));
  }
  WaitUntilSent();
  CheckNodes("bodies at service ports");
}

// Guards against answers of the store without end that are kept.
TEST_CASE_METHOD(crowd_fixture,
                 "store, bodies without end, node stays within its memory and "
                 "serves",
                 "[crowd][store]")
{
  Start({});
  MoveStore(ServeFaultyBytes({ kEndlessBody, kChunk }));
  RunFor(2 * kSendTime);
  CHECK(FaultyConnections() > 0);
  CheckNodes("store");
}

// Guards against answers of other nodes without end that are kept.
TEST_CASE_METHOD(crowd_fixture,
                 "other nodes, bodies without end, node stays within its "
                 "memory and serves",
                 "[crowd][nodes]")
{
  crowd_options options;
  options.faulty_hosts = kFaultyHosts;
  options.host_answer = { kEndlessBody, kChunk };
  Start(options);
  RunFor(2 * kSendTime);
  CHECK(FaultyConnections() > 0);
  CheckNodes("other nodes");
}
