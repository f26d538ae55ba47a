#include <catch2/catch.hpp>

#include "crowd/crowd-fixture.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Clients of a crowd whose bodies are collected before their requests start.
/// Times `kBodyBytes`, more than the memory of the test's settings (64 MB).
constexpr std::size_t kCrowd = 400;
constexpr std::size_t kBodyBytes = 250'000;
const std::string kLengthField =
  "Content-Length: " + std::to_string(kBodyBytes) + "\r\n";
const std::string kChunkedField = "Transfer-Encoding: chunked\r\n";
/// A body that lacks its last byte.
const std::string kShortBody(kBodyBytes - 1, 'x');
/// Hexadecimal size line of one chunk of `kBodyBytes`.
const std::string kChunkLine = "3d090\r\n";

std::string
OneByteChunks(std::size_t aCount)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += "1\r\nx\r\n";
  }
  return text;
}

} // namespace

// Guards against a sum of collected bodies without a bound (measured on the
// unchanged program: 510 MB for 1,600 of them).
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, bodies of legal size one byte short, node stays "
                 "within its memory and serves",
                 "[crowd][length]")
{
  Start({});
  OpenCrowd(
    0, kCrowd, crowd_fixture::Head("/small/", kLengthField) + kShortBody);
  WaitUntilSent();
  CheckNodes("length, whole");
}

// Guards against a bound that holds only for bodies that arrive at once.
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, bodies one byte short that arrive piece by piece, "
                 "node stays within its memory and serves",
                 "[crowd][pieces]")
{
  Start({});
  OpenCrowd(0, kCrowd, crowd_fixture::Head("/small/", kLengthField));
  SendInParts(kShortBody, kBodyBytes / 10);
  WaitUntilSent();
  CheckNodes("length, in pieces");
}

// Guards against nodes that serve only because another one is free.
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, bodies one byte short at all nodes, each stays "
                 "within its memory and serves",
                 "[crowd][all-nodes]")
{
  Start({});
  for (std::size_t i = 0; i < kNodes; ++i) {
    OpenCrowd(
      i, kCrowd, crowd_fixture::Head("/small/", kLengthField) + kShortBody);
  }
  WaitUntilSent();
  CheckNodes("length, all nodes");
}

// Guards against a bound that relies on a stated length.
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, one large chunk one byte short, node stays within "
                 "its memory and serves",
                 "[crowd][one-chunk]")
{
  Start({});
  std::string head = crowd_fixture::Head("/small/", kChunkedField) + kChunkLine;
  SECTION("whole")
  {
    OpenCrowd(0, kCrowd, head + kShortBody);
    WaitUntilSent();
    CheckNodes("one chunk, whole");
  }
  SECTION("piece by piece")
  {
    OpenCrowd(0, kCrowd, head);
    SendInParts(kShortBody, kBodyBytes / 10);
    WaitUntilSent();
    CheckNodes("one chunk, in pieces");
  }
}

// Guards against memory for each connection far above the bytes of its body
// (measured on the unchanged program: 109 MB for 800 bodies of 30 KB).
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, chunks of one byte, node stays within its memory and "
                 "serves",
                 "[crowd][small-chunks]")
{
  constexpr std::size_t kClients = 700;
  constexpr std::size_t kChunks = 30'000;
  Start({});
  OpenCrowd(0,
            kClients,
            crowd_fixture::Head("/small/", kChunkedField) +
              OneByteChunks(kChunks));
  WaitUntilSent();
  CheckNodes("chunks of one byte");
}

// Guards against reading, or passing to instances, what is over the limit.
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, bodies far over the limit, node stays within its "
                 "memory and serves",
                 "[crowd][over-limit]")
{
  constexpr std::size_t kClients = 60;
  crowd_options options;
  options.max_body_bytes = 4U << 20U;
  Start(options);
  SECTION("announced")
  {
    OpenCrowd(
      0,
      kClients,
      crowd_fixture::Head("/upload/", "Content-Length: 8000000000\r\n") +
        kShortBody);
    WaitUntilSent();
    CheckNodes("over the limit, announced");
  }
  SECTION("in chunks without end")
  {
    constexpr int kParts = 40;
    OpenCrowd(0, kClients, crowd_fixture::Head("/upload/", kChunkedField));
    std::string chunk = kChunkLine + kShortBody + "x\r\n";
    for (int i = 0; i < kParts; ++i) {
      SendToOpen(chunk);
      RunFor(milliseconds(30));
    }
    CheckNodes("over the limit, chunks");
  }
}

// Guards against descriptors that connections without a request use up.
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, connections without a whole head, node has "
                 "descriptors for others",
                 "[crowd][no-head]")
{
  constexpr std::size_t kClients = 400;
  crowd_options options;
  options.max_descriptors = 500;
  Start(options);
  SECTION("nothing is sent")
  {
    OpenCrowd(0, kClients, "");
    RunFor(milliseconds(300));
    CheckNodes("connections that send nothing");
  }
  SECTION("heads byte by byte")
  {
    OpenCrowd(0, kClients, "G");
    for (char each : std::string("ET /small/ HTTP/1.1\r\nX: ")) {
      SendToOpen(std::string(1, each));
      RunFor(milliseconds(20));
    }
    CheckNodes("heads byte by byte");
  }
}

// Guards against uploads that stand still and keep the slots of all instances
// (measured on the unchanged program: 60 of them, no response at another node
// in 3 s).
TEST_CASE_METHOD(crowd_fixture,
                 "crowd, large uploads that stand still, other requests still "
                 "reach the instances",
                 "[crowd][uploads]")
{
  constexpr std::size_t kUploads = 60;
  crowd_options options;
  SECTION("instance beside the crowded node")
  {
    options.only_instance = 0;
  }
  SECTION("instance beside another node")
  {
    options.only_instance = 1;
  }
  Start(options);
  OpenCrowd(0,
            kUploads,
            crowd_fixture::Head("/upload/", "Content-Length: 67108864\r\n") +
              std::string(1'000'000, 'x'));
  WaitUntilSent();
  CheckNodes("uploads that stand still");
}

// Guards against limits that a single large body within the pages' limit meets.
TEST_CASE_METHOD(crowd_fixture,
                 "no crowd, one body of 64 MB, arrives whole",
                 "[crowd][single]")
{
  constexpr std::size_t kLargest = 64U << 20U;
  constexpr std::size_t kPart = 1U << 20U;
  Start({});
  const std::string part(kPart, 'x');
  crowd_client_ptr client = Connect(0);
  SECTION("with a length")
  {
    client->link->Send(crowd_fixture::Head(
      "/upload/", "Content-Length: " + std::to_string(kLargest) + "\r\n"));
    for (std::size_t sent = 0; sent < kLargest; sent += kPart) {
      client->link->Send(part);
    }
  }
  SECTION("in chunks")
  {
    client->link->Send(crowd_fixture::Head("/upload/", kChunkedField));
    for (std::size_t sent = 0; sent < kLargest; sent += kPart) {
      client->link->Send("100000\r\n" + part + "\r\n");
    }
    client->link->Send("0\r\n\r\n");
  }
  RunUntil(seconds(30), [&] {
    return client->ended || client->received.find(';') != std::string::npos;
  });
  CHECK(client->received.find("bytes=67108864;") != std::string::npos);
  CheckNodes("single body of 64 MB");
}
