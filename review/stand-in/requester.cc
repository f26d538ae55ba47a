#include "requester.h"

#include <array>
#include <atomic>
#include <cinttypes>
#include <cstdio>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds kConnectTime{ 1000 };
/// Receive buffer of a requester that reads slowly.
constexpr int kSlowReceiveBuffer = 32768;

} // namespace

std::string
NewId()
{
  static const std::uint32_t run = std::random_device{}();
  static std::atomic<std::uint32_t> count{ 0 };
  std::array<char, 32> text{};
  std::snprintf(
    text.data(), text.size(), "%08" PRIx32 "%08" PRIx32, run, ++count);
  return text.data();
}

std::string
outcome::Text() const
{
  std::array<char, 32> seconds{};
  std::snprintf(seconds.data(), seconds.size(), "%.3f s", Seconds());
  std::string status = answer.Status() != 0 ? std::to_string(answer.Status())
                                            : std::string("no answer");
  return status + ", body of " + std::to_string(answer.body.size()) +
         " bytes, " + (answer.complete ? "complete" : "not complete") +
         (end.empty() ? "" : ", connection " + end) + ", after " +
         seconds.data();
}

namespace {

std::string
HeadOf(const ask& aAsk)
{
  std::string text =
    aAsk.method + " " + aAsk.path + " HTTP/1.1\r\nHost: hulo84.example\r\n";
  if (!aAsk.id.empty()) {
    text += "X-Eelgrasstrack-Request-Id: " + aAsk.id +
            "\r\nX-Eelgrasstrack-Timeout-Ms: " +
            std::to_string(aAsk.timeout.count()) + "\r\n";
  }
  if (!aAsk.body.empty() || aAsk.method != "GET") {
    text += "Content-Length: " + std::to_string(aAsk.body.size()) + "\r\n";
  }
  return text + "\r\n";
}

/// Sends a small request and reads its answer.
bool
AskFirst(int aSocket, message_reader& aReader, const ask& aAsk)
{
  ask first;
  first.path = aAsk.first_path;
  first.id = NewId();
  first.body = aAsk.first_body;
  first.method = first.body.empty() ? "GET" : "PUT";
  message answer;
  auto deadline = clock::now() + first.timeout;
  if (!SendAll(aSocket, HeadOf(first) + first.body) ||
      !aReader.ReadHead(answer, deadline)) {
    return false;
  }
  aReader.ReadBody(answer, true, deadline);
  return answer.complete && answer.Status() == 200;
}

} // namespace

outcome
Ask(const address& aAddress, const ask& aAsk)
{
  outcome result;
  result.sent = clock::now();
  int opened = Connect(aAddress,
                       std::min(kConnectTime, aAsk.timeout),
                       aAsk.read_rate > 0 ? kSlowReceiveBuffer : 0);
  if (opened < 0) {
    result.end = "refused";
    result.ended = clock::now();
    return result;
  }
  message_reader reader(opened);
  if (!aAsk.first_path.empty()) {
    result.kept = AskFirst(opened, reader, aAsk);
    result.sent = clock::now();
  }
  auto deadline = result.sent + aAsk.timeout;
  std::string text = HeadOf(aAsk);
  // The body is sent beside the reading, as an answer may come early.
  std::thread sender([&] {
    if (SendAll(opened, text)) {
      SendAll(opened, aAsk.body);
    }
  });
  if (aAsk.read_rate > 0) {
    auto next = clock::now();
    reader.BeforeRead([&aAsk, next](std::size_t aBytes) mutable {
      SleepUntil(next);
      next += std::chrono::microseconds(static_cast<std::int64_t>(
        1e6 * static_cast<double>(aBytes) / aAsk.read_rate));
    });
  }
  if (reader.ReadHead(result.answer, deadline)) {
    reader.ReadBody(result.answer, true, deadline);
  }
  result.ended = clock::now();
  result.end = reader.End();
  shutdown(opened, SHUT_RDWR);
  sender.join();
  close(opened);
  return result;
}

} // namespace review
