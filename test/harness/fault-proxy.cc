#include "harness/fault-proxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace eelgrasstrack::harness {

namespace {

constexpr int kPollMs = 1;
constexpr std::size_t kReadBytes = 65536;

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

sockaddr_in
AddressOf(const endpoint& aPlace)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPlace.port);
  inet_pton(AF_INET, aPlace.address.c_str(), &address.sin_addr);
  return address;
}

void
SendAtOnce(int aSocket)
{
  int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

} // namespace

fault_proxy::fault_proxy(endpoint aListen, endpoint aTarget)
  : mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
{
  mListener = socket(AF_INET, SOCK_STREAM, 0);
  int yes = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = AddressOf(mListen);
  bool failed =
    bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0 ||
    listen(mListener, 128) != 0;
  if (failed) {
    throw std::runtime_error("the proxy can't listen on " + TextOf(mListen));
  }
  mThread = std::thread([this] { Run(); });
}

fault_proxy::~fault_proxy()
{
  mStop = true;
  mThread.join();
  for (connection& each : mConnections) {
    Close(each);
  }
  close(mListener);
}

void
fault_proxy::Run()
{
  while (!mStop) {
    std::vector<pollfd> watched{ { mListener, POLLIN, 0 } };
    for (connection& each : mConnections) {
      watched.push_back({ each.requests.from, POLLIN, 0 });
      watched.push_back({ each.answers.from, POLLIN, 0 });
    }
    poll(watched.data(), watched.size(), kPollMs);
    if ((watched[0].revents & POLLIN) != 0) {
      Accept();
    }
    std::size_t index = 1;
    for (connection& each : mConnections) {
      if (index + 1 >= watched.size()) {
        break;
      }
      if (watched[index++].revents != 0) {
        Read(each, each.requests, false);
      }
      if (watched[index++].revents != 0) {
        Read(each, each.answers, true);
      }
    }
    bool cutAll = mCutAll.exchange(false);
    for (auto each = mConnections.begin(); each != mConnections.end();) {
      Flush(*each, each->requests, false);
      Flush(*each, each->answers, true);
      bool over = each->broken || cutAll ||
                  (each->requests.ended && each->requests.waiting.empty()) ||
                  (each->answers.ended && each->answers.waiting.empty());
      if (over) {
        Close(*each);
        each = mConnections.erase(each);
      } else {
        ++each;
      }
    }
  }
}

void
fault_proxy::Accept()
{
  int from = accept(mListener, nullptr, nullptr);
  if (from < 0) {
    return;
  }
  if (faults.refuse) {
    close(from);
    return;
  }
  int to = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = AddressOf(mTarget);
  if (connect(to, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(from);
    close(to);
    return;
  }
  SendAtOnce(from);
  SendAtOnce(to);
  ++mAccepted;
  connection fresh;
  fresh.requests.from = from;
  fresh.requests.to = to;
  fresh.answers.from = to;
  fresh.answers.to = from;
  mConnections.push_back(std::move(fresh));
}

void
fault_proxy::Read(connection& aConnection, half& aHalf, bool aAnswers)
{
  std::string bytes(kReadBytes, '\0');
  ssize_t length = recv(aHalf.from, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (length == 0) {
    aHalf.ended = true;
    return;
  }
  if (length < 0) {
    aConnection.broken = errno != EAGAIN && errno != EINTR;
    return;
  }
  if (faults.silent || (aAnswers && faults.lose_answers)) {
    return;
  }
  bytes.resize(static_cast<std::size_t>(length));
  aHalf.waiting.push_back({ NowMs() + faults.delay_ms, std::move(bytes) });
}

void
fault_proxy::Flush(connection& aConnection, half& aHalf, bool aAnswers)
{
  long limit = aAnswers ? faults.cut_after_answer_bytes.load()
                        : faults.cut_after_request_bytes.load();
  while (!aHalf.waiting.empty() && aHalf.waiting.front().due_ms <= NowMs()) {
    std::string& bytes = aHalf.waiting.front().bytes;
    std::size_t allowed = bytes.size();
    if (limit >= 0) {
      allowed = static_cast<std::size_t>(
        std::clamp<long>(limit - aHalf.passed, 0, static_cast<long>(allowed)));
    }
    ssize_t sent =
      send(aHalf.to, bytes.data(), allowed, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      aConnection.broken = aConnection.broken || errno != EAGAIN;
      return;
    }
    aHalf.passed += sent;
    if (limit >= 0 && aHalf.passed >= limit) {
      aConnection.broken = true;
      return;
    }
    bytes.erase(0, static_cast<std::size_t>(sent));
    if (!bytes.empty()) {
      return;
    }
    aHalf.waiting.pop_front();
  }
}

void
fault_proxy::Close(connection& aConnection)
{
  close(aConnection.requests.from);
  close(aConnection.answers.from);
}

} // namespace eelgrasstrack::harness
