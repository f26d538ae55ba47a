#include "harness/raw-server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasstrack::test {

namespace {

constexpr int kBacklog = 512;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kReadBytes = 65536;

void
SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof aValue);
}

/// Reads up to the end of a head, byte by byte, so that the body stays unread.
/// Returns an empty text at the end of the connection.
std::string
ReadHead(int aDescriptor)
{
  std::string head;
  while (!head.ends_with(kHeadEnd)) {
    char next = 0;
    ssize_t received = recv(aDescriptor, &next, 1, 0);
    if (received < 0 && errno == EINTR) {
      continue;
    }
    if (received <= 0) {
      return {};
    }
    head += next;
  }
  return head;
}

void
ReadUntilEnd(int aDescriptor)
{
  std::array<char, kReadBytes> buffer;
  while (recv(aDescriptor, buffer.data(), buffer.size(), 0) > 0) {
  }
}

void
ResetOnClose(int aDescriptor)
{
  linger now{ 1, 0 };
  setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace

std::string
raw_exchange::Field(const std::string& aName) const
{
  std::string start = "\r\n" + aName + ": ";
  std::size_t at = mRequestHead.find(start);
  if (at == std::string::npos) {
    return {};
  }
  at += start.size();
  return mRequestHead.substr(at, mRequestHead.find("\r\n", at) - at);
}

bool
raw_exchange::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    ssize_t sent =
      send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
raw_exchange::Drop(std::size_t aBytes) const
{
  std::array<char, kReadBytes> buffer;
  while (aBytes > 0) {
    ssize_t received =
      recv(mDescriptor, buffer.data(), std::min(aBytes, buffer.size()), 0);
    if (received <= 0) {
      return false;
    }
    aBytes -= static_cast<std::size_t>(received);
  }
  return true;
}

raw_server::raw_server(const endpoint& aAddress, request_handler aHandler)
  : mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  , mHandler(std::move(aHandler))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.address.c_str(), &address.sin_addr);
  SetOption(mListener, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(mListener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(mListener, kBacklog) != 0) {
    throw std::runtime_error("raw server: cannot listen on " +
                             ToString(aAddress));
  }
  mAcceptor = std::thread([this] { Accept(); });
}

raw_server::~raw_server()
{
  mStopping = true;
  shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  close(mListener);
  {
    std::lock_guard<std::mutex> guard(mLock);
    for (int descriptor : mOpen) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
raw_server::Accept()
{
  while (!mStopping) {
    int descriptor = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    ++mConnections;
    SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    std::lock_guard<std::mutex> guard(mLock);
    mOpen.push_back(descriptor);
    mThreads.emplace_back([this, descriptor] { Serve(descriptor); });
  }
}

void
raw_server::Serve(int aDescriptor)
{
  server_end end = server_end::keep;
  while (end == server_end::keep) {
    std::string head = ReadHead(aDescriptor);
    if (head.empty()) {
      break;
    }
    raw_exchange exchange(aDescriptor, std::move(head));
    end = mHandler(exchange);
  }
  if (end == server_end::half_close) {
    shutdown(aDescriptor, SHUT_WR);
    ReadUntilEnd(aDescriptor);
  } else if (end == server_end::reset) {
    ResetOnClose(aDescriptor);
  }
  std::lock_guard<std::mutex> guard(mLock);
  std::erase(mOpen, aDescriptor);
  close(aDescriptor);
}

} // namespace eelgrasstrack::test
