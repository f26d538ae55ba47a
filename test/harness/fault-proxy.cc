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
SocketAddress(const endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

void
DisableNagle(int aSocket)
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
  sockaddr_in address = SocketAddress(mListen);
  bool failed =
    bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0 ||
    listen(mListener, 128) != 0;
  if (failed) {
    throw std::runtime_error("fault proxy: cannot listen on " +
                             ToString(mListen));
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
      // A closed end of a silent connection would be reported without end.
      watched.push_back(
        { each.requests.source_closed ? -1 : each.requests.source_fd,
          POLLIN,
          0 });
      watched.push_back(
        { each.answers.source_closed ? -1 : each.answers.source_fd,
          POLLIN,
          0 });
    }
    poll(watched.data(), watched.size(), kPollMs);
    if ((watched[0].revents & POLLIN) != 0) {
      Accept();
    }
    if (mSilenceOpen.exchange(false)) {
      SilenceConnections();
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
    bool disconnectAll = mDisconnectAll.exchange(false);
    for (auto each = mConnections.begin(); each != mConnections.end();) {
      Flush(*each, each->requests, false);
      Flush(*each, each->answers, true);
      bool closed =
        (each->requests.source_closed &&
         each->requests.pending_chunks.empty()) ||
        (each->answers.source_closed && each->answers.pending_chunks.empty());
      bool finished = disconnectAll || each->broken || closed;
      // The other end is not told.
      if (each->silent) {
        finished = disconnectAll;
      }
      if (finished) {
        Close(*each);
        each = mConnections.erase(each);
      } else {
        ++each;
      }
    }
  }
}

void
fault_proxy::SilenceConnections()
{
  for (connection& each : mConnections) {
    each.silent = true;
    each.requests.pending_chunks.clear();
    each.answers.pending_chunks.clear();
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
  sockaddr_in address = SocketAddress(mTarget);
  if (connect(to, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(from);
    close(to);
    return;
  }
  DisableNagle(from);
  DisableNagle(to);
  ++mAccepted;
  connection accepted;
  accepted.requests.source_fd = from;
  accepted.requests.destination_fd = to;
  accepted.answers.source_fd = to;
  accepted.answers.destination_fd = from;
  mConnections.push_back(std::move(accepted));
}

void
fault_proxy::Read(connection& aConnection, direction& aDirection, bool aAnswers)
{
  std::string bytes(kReadBytes, '\0');
  ssize_t length =
    recv(aDirection.source_fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (length == 0) {
    aDirection.source_closed = true;
    return;
  }
  if (length < 0) {
    aConnection.broken = errno != EAGAIN && errno != EINTR;
    return;
  }
  if (aConnection.silent || faults.drop_all ||
      (aAnswers && faults.drop_answers)) {
    return;
  }
  bytes.resize(static_cast<std::size_t>(length));
  aDirection.pending_chunks.push_back(
    { NowMs() + faults.delay_ms, std::move(bytes) });
}

void
fault_proxy::Flush(connection& aConnection,
                   direction& aDirection,
                   bool aAnswers)
{
  long limit = aAnswers ? faults.disconnect_after_answer_bytes.load()
                        : faults.disconnect_after_request_bytes.load();
  while (!aDirection.pending_chunks.empty() &&
         aDirection.pending_chunks.front().due_ms <= NowMs()) {
    std::string& bytes = aDirection.pending_chunks.front().bytes;
    std::size_t allowed = bytes.size();
    if (limit >= 0) {
      allowed = static_cast<std::size_t>(std::clamp<long>(
        limit - aDirection.forwarded_bytes, 0, static_cast<long>(allowed)));
    }
    ssize_t sent = send(aDirection.destination_fd,
                        bytes.data(),
                        allowed,
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      aConnection.broken = aConnection.broken || errno != EAGAIN;
      return;
    }
    aDirection.forwarded_bytes += sent;
    if (limit >= 0 && aDirection.forwarded_bytes >= limit) {
      aConnection.broken = true;
      return;
    }
    bytes.erase(0, static_cast<std::size_t>(sent));
    if (!bytes.empty()) {
      return;
    }
    aDirection.pending_chunks.pop_front();
  }
}

void
fault_proxy::Close(connection& aConnection)
{
  close(aConnection.requests.source_fd);
  close(aConnection.answers.source_fd);
}

} // namespace eelgrasstrack::harness
