#include "http/server.h"

#include <algorithm>
#include <cstring>
#include <libwebsockets.h>
#include <stdexcept>

#include "http/header-reader.h"

namespace eelgrasstrack {

namespace {

constexpr std::size_t kWriteChunkBytes = 32768;
constexpr std::size_t kMaxHeadBytes = 8192;

int
ServerCallback(lws* aConnection,
               lws_callback_reasons aReason,
               void*,
               void* aData,
               std::size_t aLength)
{
  lws_vhost* vhost = aConnection ? lws_get_vhost(aConnection) : nullptr;
  auto* server =
    vhost ? static_cast<http_server*>(lws_get_vhost_user(vhost)) : nullptr;
  if (server == nullptr) {
    return 0;
  }
  return server->OnEvent(aConnection, aReason, aData, aLength);
}

const lws_protocols kProtocols[] = {
  { "http", ServerCallback, 0, 0, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

bool
BodyAllowed(std::string_view aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

std::string
RequestMethod(lws* aConnection)
{
  struct method_token
  {
    lws_token_indexes token;
    const char* name;
  };
  constexpr method_token kMethods[] = {
    { WSI_TOKEN_GET_URI, "GET" },         { WSI_TOKEN_POST_URI, "POST" },
    { WSI_TOKEN_PUT_URI, "PUT" },         { WSI_TOKEN_DELETE_URI, "DELETE" },
    { WSI_TOKEN_PATCH_URI, "PATCH" },     { WSI_TOKEN_HEAD_URI, "HEAD" },
    { WSI_TOKEN_OPTIONS_URI, "OPTIONS" },
  };
  for (const method_token& method : kMethods) {
    if (lws_hdr_total_length(aConnection, method.token) > 0) {
      return method.name;
    }
  }
  return "";
}

} // namespace

http_exchange::http_exchange(http_server& aServer, lws* aConnection)
  : mServer(aServer)
  , mConnection(aConnection)
{
}

void
http_exchange::Respond(http_response aResponse)
{
  if (mAnswered || mConnection == nullptr) {
    return;
  }
  mAnswered = true;
  mOnAbandoned = nullptr;
  mResponse = std::move(aResponse);
  mServer.RequestWrite(mConnection);
}

void
http_exchange::OnAbandoned(std::function<void()> aTask)
{
  mOnAbandoned = std::move(aTask);
}

http_server::http_server(loop& aLoop,
                         http_handler& aHandler,
                         http_server_options aOptions)
  : mHandler(aHandler)
  , mOptions(std::move(aOptions))
{
  std::string name = "http-" + ToString(mOptions.listen);
  lws_context_creation_info info{};
  info.port = mOptions.listen.port;
  info.iface = mOptions.listen.address.c_str();
  info.protocols = kProtocols;
  info.vhost_name = name.c_str();
  info.user = this;
  info.timeout_secs = static_cast<unsigned>(mOptions.receive_timeout_s);
  info.keepalive_timeout = mOptions.keepalive_timeout_s;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  if (IsIpv4(mOptions.listen)) {
    // Otherwise libwebsockets binds an IPv4 address on every interface.
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  }
  mVhost = lws_create_vhost(aLoop.Context(), &info);
  if (mVhost == nullptr) {
    throw std::runtime_error("HTTP server: cannot listen on " +
                             ToString(mOptions.listen));
  }
}

std::size_t
http_server::ExchangesInProgress() const
{
  return static_cast<std::size_t>(
    std::count_if(mExchanges.begin(), mExchanges.end(), [](const auto& aEntry) {
      return aEntry.second->mDispatched;
    }));
}

int
http_server::OnEvent(lws* aConnection,
                     int aReason,
                     void* aData,
                     std::size_t aLength)
{
  std::string_view bytes(static_cast<const char*>(aData), aData ? aLength : 0);
  switch (aReason) {
    case LWS_CALLBACK_HTTP:
      return BeginRequest(aConnection, bytes);
    case LWS_CALLBACK_HTTP_BODY:
      return ReceiveBody(aConnection, bytes);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      return Dispatch(aConnection);
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return Write(aConnection);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      RemoveExchange(aConnection);
      return 0;
    default:
      return 0;
  }
}

void
http_server::RequestWrite(lws* aConnection)
{
  lws_callback_on_writable(aConnection);
}

int
http_server::BeginRequest(lws* aConnection, std::string_view aPath)
{
  auto exchange = std::make_shared<http_exchange>(*this, aConnection);
  mExchanges[aConnection] = exchange;
  http_request& request = exchange->mRequest;
  request.method = RequestMethod(aConnection);
  request.path = std::string(aPath);
  request.headers = detail::ReadHeaders(aConnection);
  char address[64] = "";
  lws_get_peer_simple(aConnection, address, sizeof(address));
  request.remote_address = address;
  char part[1024];
  for (int i = 0;
       lws_hdr_copy_fragment(
         aConnection, part, sizeof(part), WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
       ++i) {
    request.query += request.query.empty() ? "" : "&";
    request.query += part;
  }
  std::int64_t length = detail::ReadContentLength(aConnection);
  if (!HeaderValue(request.headers, "transfer-encoding").empty()) {
    return RejectRequest(
      *exchange,
      411,
      "transfer-encoding is not supported; send content-length");
  }
  exchange->mExpectedLength = std::max<std::int64_t>(length, 0);
  if (exchange->mExpectedLength >
      static_cast<std::int64_t>(mOptions.max_body_bytes)) {
    return RejectRequest(*exchange, 413, "request body exceeds the size limit");
  }
  if (exchange->mExpectedLength > 0 && BodyAllowed(request.method)) {
    return 0;
  }
  return Dispatch(aConnection);
}

int
http_server::RejectRequest(http_exchange& aExchange,
                           int aStatus,
                           std::string_view aReason)
{
  aExchange.mCloseAfterResponse = true;
  aExchange.mDispatched = true;
  http_response response;
  response.status = aStatus;
  response.headers.push_back({ "content-type", "text/plain" });
  response.headers.push_back({ "connection", "close" });
  response.body = std::string(aReason) + "\n";
  aExchange.Respond(std::move(response));
  return 0;
}

int
http_server::ReceiveBody(lws* aConnection, std::string_view aBytes)
{
  auto found = mExchanges.find(aConnection);
  if (found == mExchanges.end() || found->second->mDispatched) {
    return 0;
  }
  http_request& request = found->second->mRequest;
  if (request.body.size() + aBytes.size() > mOptions.max_body_bytes) {
    return -1;
  }
  request.body.append(aBytes);
  return 0;
}

int
http_server::Dispatch(lws* aConnection)
{
  auto found = mExchanges.find(aConnection);
  if (found == mExchanges.end() || found->second->mDispatched) {
    return 0;
  }
  std::shared_ptr<http_exchange> exchange = found->second;
  lws_set_timeout(aConnection, NO_PENDING_TIMEOUT, 0);
  exchange->mDispatched = true;
  mHandler.Handle(exchange);
  return 0;
}

int
http_server::Write(lws* aConnection)
{
  auto found = mExchanges.find(aConnection);
  if (found == mExchanges.end() || !found->second->mAnswered) {
    return 0;
  }
  std::shared_ptr<http_exchange> exchange = found->second;
  if (!exchange->mHeadersWritten) {
    return WriteHead(aConnection, *exchange);
  }
  return WriteBody(aConnection, *exchange);
}

int
http_server::WriteHead(lws* aConnection, http_exchange& aExchange)
{
  unsigned char buffer[LWS_PRE + kMaxHeadBytes];
  unsigned char* start = buffer + LWS_PRE;
  unsigned char* position = start;
  unsigned char* end = buffer + sizeof(buffer) - 1;
  const http_response& response = aExchange.mResponse;
  if (lws_add_http_header_status(
        aConnection, static_cast<unsigned>(response.status), &position, end) !=
      0) {
    return -1;
  }
  for (const http_header& header : response.headers) {
    std::string name = header.name + ":";
    if (lws_add_http_header_by_name(
          aConnection,
          reinterpret_cast<const unsigned char*>(name.c_str()),
          reinterpret_cast<const unsigned char*>(header.value.data()),
          static_cast<int>(header.value.size()),
          &position,
          end) != 0) {
      return -1;
    }
  }
  if (lws_add_http_header_content_length(
        aConnection, response.body.size(), &position, end) != 0 ||
      lws_finalize_write_http_header(aConnection, start, &position, end) != 0) {
    return -1;
  }
  aExchange.mHeadersWritten = true;
  if (response.body.empty() || aExchange.mRequest.method == "HEAD") {
    aExchange.mBodyBytesWritten = response.body.size();
    return WriteBody(aConnection, aExchange);
  }
  RequestWrite(aConnection);
  return 0;
}

int
http_server::WriteBody(lws* aConnection, http_exchange& aExchange)
{
  const std::string& body = aExchange.mResponse.body;
  if (aExchange.mBodyBytesWritten < body.size()) {
    std::size_t length =
      std::min(kWriteChunkBytes, body.size() - aExchange.mBodyBytesWritten);
    unsigned char buffer[LWS_PRE + kWriteChunkBytes];
    std::memcpy(
      buffer + LWS_PRE, body.data() + aExchange.mBodyBytesWritten, length);
    bool last = aExchange.mBodyBytesWritten + length == body.size();
    int written = lws_write(aConnection,
                            buffer + LWS_PRE,
                            length,
                            last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < static_cast<int>(length)) {
      return -1;
    }
    aExchange.mBodyBytesWritten += length;
    if (!last) {
      RequestWrite(aConnection);
      return 0;
    }
  }
  bool close = aExchange.mCloseAfterResponse || !mKeepAlive;
  RemoveExchange(aConnection);
  if (close) {
    return -1;
  }
  return lws_http_transaction_completed(aConnection) != 0 ? -1 : 0;
}

void
http_server::RemoveExchange(lws* aConnection)
{
  auto found = mExchanges.find(aConnection);
  if (found == mExchanges.end()) {
    return;
  }
  std::shared_ptr<http_exchange> exchange = found->second;
  mExchanges.erase(found);
  exchange->mConnection = nullptr;
  if (!exchange->mAnswered && exchange->mOnAbandoned) {
    std::function<void()> abandoned = std::move(exchange->mOnAbandoned);
    exchange->mOnAbandoned = nullptr;
    abandoned();
  }
}

} // namespace eelgrasstrack
