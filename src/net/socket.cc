#include "net/socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

/// Bytes that a connection reads in one iteration of the loop.
constexpr std::size_t kReadBytes = 65536;
constexpr int kListenBacklog = 512;
/// Connections that a listener accepts in one iteration of the loop.
constexpr int kMaxAcceptsPerTurn = 64;
/// Number of sent bytes in the send buffer above which they are erased.
constexpr std::size_t kCompactThresholdBytes = 65536;

/// An empty send buffer is kept up to this size, as there are thousands of idle
/// connections.
constexpr std::size_t kMaxUnusedBytes = 16U << 10U;
/// A peer that has read nothing for this long after `CloseAfterSending` does
/// not keep the connection. As long as an idle one may stay open by default.
constexpr duration kCloseTimeout = std::chrono::seconds(15);
/// Timer lag from which the process counts as behind with its work.
constexpr duration kOverloadLag = std::chrono::milliseconds(25);
/// TCP keep-alive probes detect peers that disappeared without a reset.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

/// An address as the socket functions take it.
struct socket_address
{
  sockaddr_storage storage{};
  socklen_t size = 0;

  int Family() const { return storage.ss_family; }
  const sockaddr* Get() const
  {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

socket_address
SocketAddress(const endpoint& aEndpoint)
{
  socket_address address;
  sockaddr_in v4{};
  sockaddr_in6 v6{};
  const char* text = aEndpoint.address.c_str();
  if (inet_pton(AF_INET, text, &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(aEndpoint.port);
    std::memcpy(&address.storage, &v4, sizeof v4);
    address.size = sizeof v4;
  } else if (inet_pton(AF_INET6, text, &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(aEndpoint.port);
    std::memcpy(&address.storage, &v6, sizeof v6);
    address.size = sizeof v6;
  }
  return address;
}

void
SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  if (setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof aValue) != 0) {
    LogEvent(log_level::debug,
             "socket_option_refused",
             { { "option", std::to_string(aName) },
               { "reason", std::strerror(errno) } });
  }
}

} // namespace

/// Dispatches events from libwebsockets to listeners and connections.
struct socket_dispatch
{
  static int Handle(lws* aSession,
                    lws_callback_reasons aReason,
                    void*,
                    void*,
                    std::size_t)
  {
    void* target = lws_get_opaque_user_data(aSession);
    if (target == nullptr) {
      return 0;
    }
    bool listening = lws_get_protocol(aSession)->id == kListenProtocol;
    if (listening) {
      return HandleListener(
        aReason, static_cast<listener_entry*>(target)->owner, target);
    }
    return HandleConnection(aReason, static_cast<connection*>(target));
  }

  struct listener_entry
  {
    tcp_transport* owner;
    tcp_transport::listener* entry;
  };

  static int HandleListener(lws_callback_reasons aReason,
                            tcp_transport* aOwner,
                            void* aTarget)
  {
    if (aReason == LWS_CALLBACK_RAW_RX_FILE) {
      aOwner->AcceptWaiting(*static_cast<listener_entry*>(aTarget)->entry);
    }
    if (aReason == LWS_CALLBACK_RAW_CLOSE_FILE) {
      delete static_cast<listener_entry*>(aTarget);
    }
    return 0;
  }

  static int HandleConnection(lws_callback_reasons aReason,
                              connection* aConnection)
  {
    switch (aReason) {
      case LWS_CALLBACK_RAW_RX_FILE:
        return aConnection->HandleReadable() ? 0 : -1;
      case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return aConnection->HandleWritable() ? 0 : -1;
      case LWS_CALLBACK_RAW_CLOSE_FILE:
        aConnection->HandleReleased();
        return 0;
      default:
        return 0;
    }
  }

  static constexpr unsigned kListenProtocol = 1;
  static constexpr unsigned kConnectionProtocol = 2;
};

namespace {

constexpr const char* kListenName = "listener";
constexpr const char* kConnectionName = "connection";

const std::array<lws_protocols, 3> kProtocols{ {
  { kListenName,
    socket_dispatch::Handle,
    0,
    0,
    socket_dispatch::kListenProtocol,
    nullptr,
    0 },
  { kConnectionName,
    socket_dispatch::Handle,
    0,
    0,
    socket_dispatch::kConnectionProtocol,
    nullptr,
    0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
} };

lws*
AdoptDescriptor(lws_vhost* aVhost, int aDescriptor, const char* aProtocol)
{
  lws_sock_file_fd_type descriptor;
  descriptor.filefd = aDescriptor;
  return lws_adopt_descriptor_vhost(
    aVhost, LWS_ADOPT_RAW_FILE_DESC, descriptor, aProtocol, nullptr);
}

} // namespace

connection::connection(tcp_transport& aTransport,
                       int aDescriptor,
                       bool aConnected)
  : mTransport(aTransport)
  , mDescriptor(aDescriptor)
  , mConnected(aConnected)
  , mAccepted(aConnected)
{
}

connection::~connection()
{
  if (mDescriptor >= 0 && mSession == nullptr) {
    close(mDescriptor);
  }
}

void
connection::SetObserver(std::shared_ptr<observer> aObserver)
{
  mObserver = std::move(aObserver);
}

void
connection::Adopt()
{
  mSession = AdoptDescriptor(mTransport.mVhost, mDescriptor, kConnectionName);
  if (mSession == nullptr) {
    mDescriptor = -1; // libwebsockets has closed it
    return;
  }
  lws_set_opaque_user_data(mSession, this);
  mSelf = shared_from_this();
  mTransport.mOpenConnections.insert(this);
  if (!mConnected) {
    RequestWritable();
  }
}

void
connection::Send(std::string_view aBytes)
{
  if (Closed() || mSendFailed || aBytes.empty()) {
    return;
  }
  mOutgoing.append(aBytes);
  if (mConnected && !mWritableRequested) {
    Flush();
  }
}

bool
connection::Flush()
{
  while (Unsent() > 0) {
    ssize_t sent = send(mDescriptor,
                        mOutgoing.data() + mSentOffset,
                        Unsent(),
                        MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      RequestWritable();
      return true;
    }
    if (sent < 0) {
      // The read path reports the end, after the bytes that arrived before it.
      // The kernel reports the error once, so recv() may see an end in order.
      mSendFailed = true;
      mOutgoing.clear();
      mSentOffset = 0;
      return false;
    }
    mSentBytes += static_cast<std::uint64_t>(sent);
    mSentOffset += static_cast<std::size_t>(sent);
    if (mSentOffset > kCompactThresholdBytes) {
      mOutgoing.erase(0, mSentOffset);
      mSentOffset = 0;
    }
  }
  mOutgoing.clear();
  mSentOffset = 0;
  if (mOutgoing.capacity() > kMaxUnusedBytes) {
    std::string().swap(mOutgoing);
  }
  return true;
}

std::size_t
connection::QueueMemory() const
{
  return mOutgoing.capacity() > kMaxUnusedBytes ? mOutgoing.capacity()
                                                : Unsent();
}

void
connection::CloseAfterSending()
{
  std::shared_ptr<connection> self = shared_from_this();
  mObserver.reset();
  if (Closed() || Unsent() == 0) {
    Close();
    return;
  }
  mCloseWhenSent = true;
  CloseUnlessSending();
}

void
connection::CloseUnlessSending()
{
  mTransport.mLoop.RunAfter(kCloseTimeout,
                            [weak = weak_from_this(), unsent = Unsent()] {
                              std::shared_ptr<connection> self = weak.lock();
                              if (!self || self->Closed()) {
                                return;
                              }
                              if (self->Unsent() == unsent) {
                                self->Release();
                                return;
                              }
                              self->CloseUnlessSending();
                            });
}

void
connection::Close()
{
  std::shared_ptr<connection> self = shared_from_this();
  mObserver.reset();
  Release();
}

void
connection::Release()
{
  if (Closed()) {
    return;
  }
  mDescriptor = -1;
  if (mSession != nullptr && !mInCallback) {
    // libwebsockets closes the descriptor and calls `HandleReleased`.
    lws_set_timeout(mSession, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  }
}

void
connection::PauseReading(bool aPaused)
{
  if (!Closed()) {
    lws_rx_flow_control(mSession, aPaused ? 0 : 1);
  }
}

void
connection::RequestWritable()
{
  if (mWritableRequested || Closed()) {
    return;
  }
  mWritableRequested = true;
  if (!mInCallback) {
    lws_callback_on_writable(mSession);
    return;
  }
  // libwebsockets clears a request made inside the writable callback when the
  // callback returns.
  mTransport.mLoop.RunAfter(duration(0), [self = shared_from_this()] {
    if (!self->Closed()) {
      lws_callback_on_writable(self->mSession);
    }
  });
}

/// Returns whether the peer of an accepted connection has closed it. Checked
/// only when the loop lags: a request may then be read long after the peer has
/// closed the connection, and such a request must not run.
bool
connection::PeerHasClosed() const
{
  if (!mAccepted || mTransport.mLoop.Lag() < kOverloadLag) {
    return false;
  }
  char next = 0;
  return recv(mDescriptor, &next, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
}

bool
connection::HandleReadable()
{
  std::shared_ptr<connection> self = shared_from_this();
  mInCallback = true;
  ReadOnce();
  mInCallback = false;
  return !Closed();
}

/// Reads once. What is left is read in the next iteration of the loop, after
/// the timers and the other connections: a peer may send faster than its bytes
/// can be processed.
void
connection::ReadOnce()
{
  static std::array<char, kReadBytes> buffer;
  ssize_t received = 0;
  do {
    received = recv(mDescriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
  } while (received < 0 && errno == EINTR);
  if (received > 0) {
    Deliver(
      std::string_view(buffer.data(), static_cast<std::size_t>(received)));
    return;
  }
  if (received == 0) {
    End(mSendFailed ? close_reason::broken : close_reason::closed_by_peer);
    return;
  }
  if (errno != EAGAIN && errno != EWOULDBLOCK) {
    End(mConnected ? close_reason::broken : close_reason::connect_failed);
  }
}

void
connection::Deliver(std::string_view aBytes)
{
  std::shared_ptr<observer> target = mObserver;
  if (!target) {
    return;
  }
  bool isAllThatArrived = aBytes.size() < kReadBytes;
  if (isAllThatArrived && PeerHasClosed()) {
    End(close_reason::closed_by_peer);
    return;
  }
  target->OnReceived(aBytes);
}

bool
connection::HandleWritable()
{
  std::shared_ptr<connection> self = shared_from_this();
  mInCallback = true;
  mWritableRequested = false;
  if (!mConnected) {
    int problem = 0;
    socklen_t size = sizeof problem;
    getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &problem, &size);
    if (problem != 0) {
      End(close_reason::connect_failed);
      mInCallback = false;
      return false;
    }
    mConnected = true;
    std::shared_ptr<observer> target = mObserver;
    if (target) {
      target->OnConnected();
    }
  }
  if (!Closed() && Flush() && Unsent() == 0) {
    if (mCloseWhenSent) {
      Release();
    } else if (std::shared_ptr<observer> target = mObserver) {
      target->OnSent();
    }
  }
  mInCallback = false;
  return !Closed();
}

void
connection::End(close_reason aReason)
{
  std::shared_ptr<observer> target = std::move(mObserver);
  mObserver.reset();
  Release();
  if (target) {
    target->OnEnded(aReason);
  }
}

void
connection::HandleReleased()
{
  std::shared_ptr<connection> self = std::move(mSelf);
  mTransport.mOpenConnections.erase(this);
  lws_set_opaque_user_data(mSession, nullptr);
  bool unexpected = !Closed();
  mSession = nullptr;
  if (unexpected) {
    mDescriptor = -1;
    End(mConnected ? close_reason::broken : close_reason::connect_failed);
  }
}

tcp_transport::tcp_transport(loop& aLoop)
  : mLoop(aLoop)
{
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.vhost_name = "sockets";
  info.protocols = kProtocols.data();
  mVhost = lws_create_vhost(aLoop.Context(), &info);
  if (mVhost == nullptr) {
    throw std::runtime_error(
      "cannot create the vhost for TCP sockets: lws_create_vhost failed");
  }
}

tcp_transport::~tcp_transport()
{
  // The objects that the observers refer to may already be destroyed, so the
  // connections are closed without events.
  std::vector<connection*> open(mOpenConnections.begin(),
                                mOpenConnections.end());
  for (connection* each : open) {
    each->Close();
  }
  for (const auto& each : mListeners) {
    lws_set_timeout(each->session, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  }
}

result<void>
tcp_transport::Listen(const endpoint& aEndpoint, accept_handler aHandler)
{
  socket_address address = SocketAddress(aEndpoint);
  int descriptor =
    socket(address.Family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return Fail(error_kind::internal,
                "cannot create a listening socket: no file descriptor");
  }
  SetOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(descriptor, address.Get(), address.size) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    std::string reason = std::strerror(errno);
    close(descriptor);
    return Fail(error_kind::internal,
                "cannot listen on " + ToString(aEndpoint) + ": " + reason);
  }
  lws* session = AdoptDescriptor(mVhost, descriptor, kListenName);
  if (session == nullptr) {
    return Fail(error_kind::internal,
                "cannot register a listening socket with the event loop");
  }
  mListeners.push_back(std::make_unique<listener>(
    listener{ descriptor, std::move(aHandler), session }));
  lws_set_opaque_user_data(
    session,
    new socket_dispatch::listener_entry{ this, mListeners.back().get() });
  return {};
}

void
tcp_transport::AcceptWaiting(listener& aListener)
{
  for (int accepts = 0; accepts < kMaxAcceptsPerTurn; ++accepts) {
    int descriptor = accept4(
      aListener.descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    auto accepted = std::make_shared<connection>(*this, descriptor, true);
    accepted->Adopt();
    if (!accepted->Closed()) {
      aListener.handler(accepted);
    }
  }
}

std::shared_ptr<connection>
tcp_transport::RefusedConnection()
{
  constexpr int kNoDescriptor = -1;
  auto refused = std::make_shared<connection>(*this, kNoDescriptor, false);
  mLoop.RunAfter(duration(0),
                 [refused] { refused->End(close_reason::connect_failed); });
  return refused;
}

std::shared_ptr<connection>
tcp_transport::Connect(const endpoint& aEndpoint,
                       const connect_options& aOptions)
{
  socket_address address = SocketAddress(aEndpoint);
  int descriptor =
    socket(address.Family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return nullptr;
  }
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(Milliseconds(aOptions.unacknowledged_timeout)));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  int outcome = connect(descriptor, address.Get(), address.size);
  if (outcome != 0 && errno == ECONNREFUSED) {
    close(descriptor);
    return RefusedConnection();
  }
  if (outcome != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return nullptr;
  }
  auto opened = std::make_shared<connection>(*this, descriptor, false);
  opened->Adopt();
  return opened->Closed() ? nullptr : opened;
}

} // namespace eelgrasstrack
