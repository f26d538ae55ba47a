#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 16384;

sockaddr_in
SocketAddress(const address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.ip.c_str(), &result.sin_addr);
  return result;
}

bool
CanBind(const address& aAddress)
{
  int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name = SocketAddress(aAddress);
  bool free = bind(probe, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
  close(probe);
  return free;
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aByte) {
    return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte + 32) : aByte;
  });
  return aText;
}

int
MillisecondsUntil(clock::time_point aTime)
{
  auto left =
    std::chrono::duration_cast<milliseconds>(aTime - clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(left, 0));
}

} // namespace

void
SleepUntil(clock::time_point aTime)
{
  std::this_thread::sleep_until(aTime);
}

void
SleepFor(milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

std::uint16_t
FreePort(const std::string& aPrefix, unsigned aCount)
{
  static std::mt19937 random{ std::random_device{}() };
  // Below the range from which the kernel takes ports of outgoing connections.
  std::uniform_int_distribution<int> ports(12000, 30000);
  while (true) {
    auto port = static_cast<std::uint16_t>(ports(random));
    bool free = true;
    for (unsigned i = 1; i <= aCount && free; ++i) {
      free = CanBind({ aPrefix + std::to_string(i), port });
    }
    if (free) {
      return port;
    }
  }
}

int
Listen(const address& aAddress)
{
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in name = SocketAddress(aAddress);
  if (bind(listener, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

int
Connect(const address& aAddress, milliseconds aTimeout, int aReceiveBuffer)
{
  int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(
      opened, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  int on = 1;
  setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in name = SocketAddress(aAddress);
  int outcome =
    connect(opened, reinterpret_cast<sockaddr*>(&name), sizeof name);
  if (outcome != 0 && errno == EINPROGRESS) {
    pollfd wait{ opened, POLLOUT, 0 };
    int problem = ETIMEDOUT;
    socklen_t size = sizeof problem;
    if (poll(&wait, 1, static_cast<int>(aTimeout.count())) == 1) {
      getsockopt(opened, SOL_SOCKET, SO_ERROR, &problem, &size);
    }
    outcome = problem == 0 ? 0 : -1;
  }
  if (outcome != 0) {
    close(opened);
    return -1;
  }
  return opened;
}

bool
SendAll(int aSocket, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    ssize_t sent = send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      pollfd wait{ aSocket, POLLOUT, 0 };
      constexpr int kMaxWaitMs = 20000;
      if (poll(&wait, 1, kMaxWaitMs) != 1) {
        return false;
      }
      continue;
    }
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string
message::Field(const std::string& aName) const
{
  auto found = fields.find(Lower(aName));
  return found == fields.end() ? "" : found->second;
}

int
message::Status() const
{
  constexpr std::size_t kCodeStart = 9;
  bool isResponse = start_line.rfind("HTTP/1.", 0) == 0;
  return isResponse && start_line.size() > kCodeStart
           ? std::atoi(start_line.c_str() + kCodeStart)
           : 0;
}

std::string
message::Method() const
{
  return start_line.substr(0, start_line.find(' '));
}

std::string
message::Target() const
{
  std::size_t first = start_line.find(' ');
  std::size_t second = start_line.find(' ', first + 1);
  return start_line.substr(first + 1, second - first - 1);
}

bool
message_reader::Fill(clock::time_point aDeadline)
{
  pollfd wait{ mSocket, POLLIN, 0 };
  int ready = poll(&wait, 1, MillisecondsUntil(aDeadline));
  if (ready != 1) {
    mEnd = "timeout";
    return false;
  }
  std::array<char, kReadBytes> bytes{};
  if (mBeforeRead) {
    mBeforeRead(bytes.size());
  }
  ssize_t received = recv(mSocket, bytes.data(), bytes.size(), 0);
  if (received <= 0) {
    mEnd = received == 0 ? "closed" : "reset";
    return false;
  }
  mBuffer.append(bytes.data(), static_cast<std::size_t>(received));
  return true;
}

bool
message_reader::ReadLine(std::string& aLine, clock::time_point aDeadline)
{
  std::size_t end = mBuffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aDeadline)) {
      return false;
    }
    end = mBuffer.find("\r\n");
  }
  aLine = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return true;
}

bool
message_reader::ReadHead(message& aMessage, clock::time_point aDeadline)
{
  aMessage = {};
  if (!ReadLine(aMessage.start_line, aDeadline)) {
    return false;
  }
  std::string line;
  while (ReadLine(line, aDeadline)) {
    if (line.empty()) {
      return true;
    }
    std::size_t colon = line.find(':');
    std::size_t value = line.find_first_not_of(' ', colon + 1);
    aMessage.fields[Lower(line.substr(0, colon))] =
      value == std::string::npos ? "" : line.substr(value);
  }
  return false;
}

bool
message_reader::ReadExactly(std::string& aBody,
                            std::size_t aCount,
                            clock::time_point aDeadline)
{
  while (aCount > 0) {
    if (mBuffer.empty() && !Fill(aDeadline)) {
      return false;
    }
    std::size_t part = std::min(aCount, mBuffer.size());
    aBody.append(mBuffer, 0, part);
    mBuffer.erase(0, part);
    aCount -= part;
  }
  return true;
}

void
message_reader::ReadBody(message& aMessage,
                         bool aResponse,
                         clock::time_point aDeadline)
{
  if (Lower(aMessage.Field("transfer-encoding")) == "chunked") {
    std::string line;
    while (ReadLine(line, aDeadline)) {
      constexpr int kHexadecimal = 16;
      std::size_t size = std::strtoul(line.c_str(), nullptr, kHexadecimal);
      if (!ReadExactly(aMessage.body, size, aDeadline) ||
          !ReadLine(line, aDeadline)) {
        return;
      }
      if (size == 0) {
        aMessage.complete = true;
        return;
      }
    }
    return;
  }
  std::string length = aMessage.Field("content-length");
  if (!length.empty() || !aResponse) {
    aMessage.complete = ReadExactly(
      aMessage.body, std::strtoul(length.c_str(), nullptr, 10), aDeadline);
    return;
  }
  aMessage.unframed = true;
  aMessage.body.append(mBuffer);
  mBuffer.clear();
  while (Fill(aDeadline)) {
    aMessage.body.append(mBuffer);
    mBuffer.clear();
  }
  aMessage.complete = mEnd == "closed";
}

} // namespace review
