#include "harness/silence.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace eelgrasstrack::test {

namespace {

/// A TCP socket of this process.
struct tcp_socket
{
  int descriptor = -1;
  std::uint16_t local_port = 0;
  /// 0 for a listener.
  std::uint16_t peer_port = 0;
};

[[noreturn]] void
ThrowErrno(const char* aCall)
{
  throw std::system_error(errno, std::generic_category(), aCall);
}

std::uint16_t
PortOf(int aDescriptor, int (*aName)(int, sockaddr*, socklen_t*))
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  bool known =
    aName(aDescriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
    address.sin_family == AF_INET;
  return known ? ntohs(address.sin_port) : std::uint16_t{ 0 };
}

std::vector<int>
OpenDescriptors()
{
  std::vector<int> descriptors;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    descriptors.push_back(std::stoi(entry.path().filename().string()));
  }
  return descriptors;
}

/// All listeners and established connections over IPv4.
std::vector<tcp_socket>
OpenSockets()
{
  std::vector<tcp_socket> sockets;
  for (int descriptor : OpenDescriptors()) {
    tcp_socket found;
    found.descriptor = descriptor;
    found.local_port = PortOf(descriptor, getsockname);
    found.peer_port = PortOf(descriptor, getpeername);
    if (found.local_port != 0) {
      sockets.push_back(found);
    }
  }
  return sockets;
}

void
SetDropsPackets(int aDescriptor, bool aDrops)
{
  int unused = 0;
  if (!aDrops) {
    // Fails if there is no filter.
    (void)setsockopt(
      aDescriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    return;
  }
  std::array<sock_filter, 1> accept_nothing{ { BPF_STMT(BPF_RET | BPF_K, 0) } };
  sock_fprog program{ accept_nothing.size(), accept_nothing.data() };
  if (setsockopt(
        aDescriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) !=
      0) {
    ThrowErrno("SO_ATTACH_FILTER");
  }
}

} // namespace

connection_silencer::~connection_silencer()
{
  for (int sink : mSinks) {
    close(sink);
  }
}

std::size_t
connection_silencer::Silence(const std::set<std::uint16_t>& aPorts,
                             silence_kind aKind)
{
  std::size_t ends = 0;
  for (const tcp_socket& each : OpenSockets()) {
    bool chosen = each.peer_port != 0 && (aPorts.contains(each.local_port) ||
                                          aPorts.contains(each.peer_port));
    if (!chosen) {
      continue;
    }
    ++ends;
    if (aKind == silence_kind::stalled) {
      Stall(each.descriptor);
    } else {
      SetDropsPackets(each.descriptor, true);
    }
  }
  return ends;
}

void
connection_silencer::SetCutOff(std::uint16_t aPort, bool aCutOff)
{
  for (const tcp_socket& each : OpenSockets()) {
    if (each.local_port == aPort || each.peer_port == aPort) {
      SetDropsPackets(each.descriptor, aCutOff);
    }
  }
}

void
connection_silencer::Stall(int aDescriptor)
{
  std::array<int, 2> pair{};
  if (socketpair(
        AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair.data()) !=
      0) {
    ThrowErrno("socketpair");
  }
  mSinks.push_back(pair[1]);
  if (dup3(pair[0], aDescriptor, O_CLOEXEC) < 0) {
    ThrowErrno("dup3");
  }
  close(pair[0]);
}

} // namespace eelgrasstrack::test
