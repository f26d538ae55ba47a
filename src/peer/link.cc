#include "peer/link.h"

#include <cstring>
#include <libwebsockets.h>
#include <stdexcept>

#include "base/hash.h"
#include "base/log.h"

namespace eelgrasstrack {

namespace {

constexpr int kHandshakeTimeoutSeconds = 5;

int
PeerCallback(lws* aConnection,
             lws_callback_reasons aReason,
             void*,
             void* aData,
             std::size_t aLength)
{
  lws_vhost* vhost = aConnection ? lws_get_vhost(aConnection) : nullptr;
  auto* transport =
    vhost ? static_cast<peer_transport*>(lws_get_vhost_user(vhost)) : nullptr;
  if (transport == nullptr) {
    return 0;
  }
  return transport->OnEvent(aConnection, aReason, aData, aLength);
}

constexpr std::size_t kReceiveBufferBytes = 65536;

const lws_protocols kProtocols[] = {
  { "eelgrasstrack-peer", PeerCallback, 0, kReceiveBufferBytes, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

} // namespace

peer_link::peer_link(peer_transport& aTransport, bool aOutgoing)
  : mTransport(aTransport)
  , mOutgoing(aOutgoing)
{
}

void
peer_link::SendControl(std::string aFrame)
{
  Enqueue(mControlQueue, std::move(aFrame));
}

void
peer_link::SendBulk(std::string aFrame)
{
  Enqueue(mBulkQueue, std::move(aFrame));
}

void
peer_link::Enqueue(std::deque<std::string>& aQueue, std::string aFrame)
{
  if (mClosing) {
    return;
  }
  mQueuedBytes += aFrame.size();
  aQueue.push_back(std::move(aFrame));
  RequestWrite();
}

void
peer_link::SendFirst(std::string aFrame)
{
  if (mClosing) {
    return;
  }
  mQueuedBytes += aFrame.size();
  mControlQueue.push_front(std::move(aFrame));
  RequestWrite();
}

void
peer_link::RequestWrite()
{
  if (mOpen && mConnection != nullptr) {
    lws_callback_on_writable(mConnection);
  }
}

void
peer_link::Close()
{
  mClosing = true;
  if (mConnection != nullptr) {
    lws_set_timeout(mConnection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

peer_transport::peer_transport(loop& aLoop,
                               peer_link_observer& aObserver,
                               peer_transport_options aOptions)
  : mLoop(aLoop)
  , mObserver(aObserver)
  , mOptions(std::move(aOptions))
{
  std::string name = "peer-" + ToString(mOptions.listen);
  lws_context_creation_info info{};
  info.port = mOptions.listen.port;
  info.iface = mOptions.listen.address.c_str();
  info.protocols = kProtocols;
  info.vhost_name = name.c_str();
  info.user = this;
  info.timeout_secs = kHandshakeTimeoutSeconds;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  if (IsIpv4(mOptions.listen)) {
    // Otherwise libwebsockets binds an IPv4 address on every interface.
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  }
  mServerVhost = lws_create_vhost(mLoop.Context(), &info);
  if (mServerVhost == nullptr) {
    throw std::runtime_error("peer transport: cannot listen on " +
                             ToString(mOptions.listen));
  }
  std::string clientName = name + "-out";
  lws_context_creation_info client{};
  client.port = CONTEXT_PORT_NO_LISTEN;
  client.protocols = kProtocols;
  client.vhost_name = clientName.c_str();
  client.user = this;
  client.connect_timeout_secs = kHandshakeTimeoutSeconds;
  client.timeout_secs = kHandshakeTimeoutSeconds;
  mClientVhost = lws_create_vhost(mLoop.Context(), &client);
}

std::shared_ptr<peer_link>
peer_transport::Connect(const endpoint& aTarget)
{
  auto link = std::make_shared<peer_link>(*this, true);
  // `lws_client_connect_via_info` writes to the buffer that libwebsockets is
  // reading from. Called inside a callback, it would corrupt the frames that
  // follow the one being handled.
  mLoop.RunAfter(duration(0),
                 [this, link, aTarget] { OpenLink(link, aTarget); });
  return link;
}

void
peer_transport::OpenLink(const std::shared_ptr<peer_link>& aLink,
                         const endpoint& aTarget)
{
  if (aLink->mClosing) {
    mObserver.OnLinkDown(aLink);
    return;
  }
  std::string host = ToString(aTarget);
  lws_client_connect_info info{};
  info.context = mLoop.Context();
  info.vhost = mClientVhost;
  info.address = aTarget.address.c_str();
  info.port = aTarget.port;
  info.path = "/";
  info.host = host.c_str();
  info.origin = host.c_str();
  info.protocol = kProtocols[0].name;
  info.local_protocol_name = kProtocols[0].name;
  lws* connection = lws_client_connect_via_info(&info);
  if (connection == nullptr) {
    aLink->mClosing = true;
    mObserver.OnLinkDown(aLink);
    return;
  }
  aLink->mConnection = connection;
  mLinks[connection] = aLink;
}

int
peer_transport::OnEvent(lws* aConnection,
                        int aReason,
                        void* aData,
                        std::size_t aLength)
{
  switch (aReason) {
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
      return SecretMatches(aConnection) ? 0 : -1;
    case LWS_CALLBACK_HTTP:
      return -1;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return AppendSecret(
        static_cast<unsigned char**>(aData), aLength, aConnection);
    case LWS_CALLBACK_ESTABLISHED:
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
      HandleOpened(aConnection);
      return 0;
    case LWS_CALLBACK_RECEIVE:
    case LWS_CALLBACK_CLIENT_RECEIVE:
      return Receive(aConnection, { static_cast<const char*>(aData), aLength });
    case LWS_CALLBACK_SERVER_WRITEABLE:
    case LWS_CALLBACK_CLIENT_WRITEABLE:
      return Write(aConnection);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED:
    case LWS_CALLBACK_CLIENT_CLOSED:
    case LWS_CALLBACK_WSI_DESTROY:
      HandleClosed(aConnection);
      return 0;
    default:
      return 0;
  }
}

bool
peer_transport::SecretMatches(lws* aConnection) const
{
  char value[512];
  int length = lws_hdr_copy(
    aConnection, value, sizeof(value), WSI_TOKEN_HTTP_AUTHORIZATION);
  std::string_view given(value,
                         length > 0 ? static_cast<std::size_t>(length) : 0);
  bool matches = EqualInConstantTime(given, "Bearer " + mOptions.secret);
  if (!matches) {
    LogEvent(log_level::warning, "peer_rejected", { { "reason", "secret" } });
  }
  return matches;
}

int
peer_transport::AppendSecret(unsigned char** aPosition,
                             std::size_t aCapacity,
                             lws* aConnection)
{
  std::string value = "Bearer " + mOptions.secret;
  return lws_add_http_header_by_token(
           aConnection,
           WSI_TOKEN_HTTP_AUTHORIZATION,
           reinterpret_cast<const unsigned char*>(value.data()),
           static_cast<int>(value.size()),
           aPosition,
           *aPosition + aCapacity) != 0
           ? -1
           : 0;
}

std::shared_ptr<peer_link>
peer_transport::FindLink(lws* aConnection)
{
  auto found = mLinks.find(aConnection);
  return found == mLinks.end() ? nullptr : found->second;
}

void
peer_transport::HandleOpened(lws* aConnection)
{
  std::shared_ptr<peer_link> link = FindLink(aConnection);
  if (link == nullptr) {
    link = std::make_shared<peer_link>(*this, false);
    link->mConnection = aConnection;
    mLinks[aConnection] = link;
  }
  link->mOpen = true;
  mObserver.OnLinkUp(link);
  if (!link->mControlQueue.empty() || !link->mBulkQueue.empty()) {
    lws_callback_on_writable(aConnection);
  }
}

void
peer_transport::HandleClosed(lws* aConnection)
{
  std::shared_ptr<peer_link> link = FindLink(aConnection);
  if (link == nullptr) {
    return;
  }
  mLinks.erase(aConnection);
  link->mConnection = nullptr;
  link->mOpen = false;
  link->mClosing = true;
  mObserver.OnLinkDown(link);
}

int
peer_transport::Write(lws* aConnection)
{
  std::shared_ptr<peer_link> link = FindLink(aConnection);
  if (link == nullptr || link->mClosing) {
    return -1;
  }
  std::deque<std::string>& queue =
    link->mControlQueue.empty() ? link->mBulkQueue : link->mControlQueue;
  if (queue.empty()) {
    return 0;
  }
  std::string frame = std::move(queue.front());
  queue.pop_front();
  link->mQueuedBytes -= frame.size();
  std::string buffer(LWS_PRE, '\0');
  buffer += frame;
  int written =
    lws_write(aConnection,
              reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE,
              frame.size(),
              LWS_WRITE_BINARY);
  if (written < static_cast<int>(frame.size())) {
    return -1;
  }
  if (!link->mControlQueue.empty() || !link->mBulkQueue.empty()) {
    lws_callback_on_writable(aConnection);
  }
  return 0;
}

int
peer_transport::Receive(lws* aConnection, std::string_view aBytes)
{
  std::shared_ptr<peer_link> link = FindLink(aConnection);
  if (link == nullptr || link->mClosing) {
    return -1;
  }
  if (link->mReceived.size() + aBytes.size() > mOptions.max_frame_bytes) {
    LogEvent(
      log_level::warning, "peer_frame_too_large", { { "node", link->node } });
    return -1;
  }
  link->mReceived.append(aBytes);
  if (lws_is_final_fragment(aConnection) == 0 ||
      lws_remaining_packet_payload(aConnection) > 0) {
    return 0;
  }
  std::string frame = std::move(link->mReceived);
  link->mReceived.clear();
  mObserver.OnFrame(link, frame);
  return link->mClosing ? -1 : 0;
}

} // namespace eelgrasstrack
