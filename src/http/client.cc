#include "http/client.h"

#include <algorithm>
#include <cstring>
#include <libwebsockets.h>

#include "base/status-class.h"
#include "http/header-reader.h"

namespace eelgrasstrack {

namespace detail {

namespace {

constexpr std::size_t kWriteChunkBytes = 32768;
constexpr int kConnectTimeoutSeconds = 5;
constexpr unsigned short kIdleTimeoutSeconds = 4;

std::string
NextVhostName()
{
  static std::uint64_t sNext = 0;
  return "client-" + std::to_string(sNext++);
}

} // namespace

/// One connection of an `http_client` and the call in progress on it, if any.
class http_channel : public std::enable_shared_from_this<http_channel>
{
public:
  http_channel(loop& aLoop, const endpoint& aTarget, std::size_t aMaxBody)
    : mLoop(aLoop)
    , mTarget(aTarget)
    , mMaxBody(aMaxBody)
  {
    std::string name = NextVhostName();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = Protocols();
    info.vhost_name = name.c_str();
    info.connect_timeout_secs = kConnectTimeoutSeconds;
    info.timeout_secs = kConnectTimeoutSeconds;
    mVhost = lws_create_vhost(aLoop.Context(), &info);
  }

  bool Busy() const { return static_cast<bool>(mDone); }

  void Start(http_request aRequest, duration aTimeout, http_callback aDone)
  {
    mRequest = std::move(aRequest);
    mResponse = {};
    mDone = std::move(aDone);
    mMayHaveSentBytes = false;
    mBodyWritten = 0;
    mExpectedLength = -1;
    std::uint64_t callId = ++mCallId;
    auto self = shared_from_this();
    mTimer = mLoop.RunAfter(aTimeout, [self, callId] {
      if (self->mCallId == callId) {
        self->TimeOut();
      }
    });
    // `lws_client_connect_via_info` writes to the buffer that libwebsockets is
    // reading from, so it must not be called inside a callback.
    mLoop.RunAfter(duration(0), [self, callId] {
      if (self->mCallId == callId) {
        self->Connect();
      }
    });
  }

  std::uint64_t CurrentCallId() const { return mCallId; }

  void Cancel()
  {
    mDone = nullptr;
    mLoop.Cancel(mTimer);
    ++mCallId;
    Close();
  }

  void Release()
  {
    Cancel();
    if (mVhost != nullptr) {
      lws_vhost_destroy(mVhost);
      mVhost = nullptr;
    }
  }

  int OnEvent(lws* aConnection, int aReason, void* aData, std::size_t aLength);

private:
  static const lws_protocols* Protocols();
  static int Callback(lws* aConnection,
                      lws_callback_reasons aReason,
                      void* aUser,
                      void* aData,
                      std::size_t aLength);

  /// User data of a libwebsockets connection. It keeps the channel alive until
  /// the connection is destroyed. `call_id` shows whether an event belongs to
  /// the current call or comes late, from an earlier one.
  struct binding
  {
    std::shared_ptr<http_channel> channel;
    std::uint64_t call_id;
  };

  void Connect()
  {
    std::string path = mRequest.path;
    if (!mRequest.query.empty()) {
      path += "?" + mRequest.query;
    }
    auto* bound = new binding{ shared_from_this(), mCallId };
    lws_client_connect_info info{};
    info.context = mLoop.Context();
    info.vhost = mVhost;
    info.address = mTarget.address.c_str();
    info.port = mTarget.port;
    info.path = path.c_str();
    // libwebsockets reuses a kept-alive connection only if `host` and `address`
    // are the same string, so `host` has no port.
    info.host = mTarget.address.c_str();
    info.origin = mTarget.address.c_str();
    info.method = mRequest.method.c_str();
    info.protocol = "http";
    info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.keep_warm_secs = kIdleTimeoutSeconds;
    info.alpn = "http/1.1";
    info.opaque_user_data = bound;
    mBinding = bound;
    mConnection = nullptr;
    lws* connection = lws_client_connect_via_info(&info);
    if (connection != nullptr) {
      mConnection = connection;
      return;
    }
    // libwebsockets has either destroyed the connection through the callback,
    // which freed `bound`, or failed before that. In the second case `mBinding`
    // still points to `bound`, which must be freed here.
    if (mBinding == bound) {
      mBinding = nullptr;
      delete bound;
    }
    FailLater(error_kind::upstream_unreachable,
              "connection could not be opened");
  }

  void FailLater(error_kind aKind, std::string aMessage)
  {
    auto self = shared_from_this();
    std::uint64_t callId = mCallId;
    mLoop.RunAfter(duration(0), [self, callId, aKind, aMessage] {
      if (self->mCallId == callId) {
        self->Finish(Fail(aKind, aMessage));
      }
    });
  }

  void TimeOut()
  {
    error failure =
      MakeError(error_kind::deadline_exceeded,
                ToString(mTarget) + " did not respond before the deadline");
    failure.execution_status =
      mMayHaveSentBytes ? execution::unknown : execution::not_run;
    Close();
    Finish(tl::unexpected<error>(std::move(failure)));
  }

  void Close()
  {
    if (mConnection != nullptr) {
      lws_set_timeout(mConnection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
      mConnection = nullptr;
    }
  }

  void Finish(http_result aResult)
  {
    if (!mDone) {
      return;
    }
    mLoop.Cancel(mTimer);
    ++mCallId;
    http_callback done = std::move(mDone);
    mDone = nullptr;
    mConnection = nullptr;
    done(std::move(aResult));
  }

  void FailCall(std::string aMessage)
  {
    error failure = mMayHaveSentBytes
                      ? MakeError(error_kind::upstream_broken, aMessage)
                      : MakeError(error_kind::upstream_unreachable, aMessage);
    Finish(tl::unexpected<error>(std::move(failure)));
  }

  int AppendHeaders(lws* aConnection,
                    unsigned char** aPosition,
                    std::size_t aRoom);
  int WriteBody(lws* aConnection);
  int ReceiveHead(lws* aConnection);
  int ReceiveBody(std::string_view aBytes);
  int Complete(lws* aConnection);

  loop& mLoop;
  endpoint mTarget;
  std::size_t mMaxBody;
  lws_vhost* mVhost = nullptr;
  lws* mConnection = nullptr;
  binding* mBinding = nullptr;
  http_request mRequest;
  http_response mResponse;
  http_callback mDone;
  timer_id mTimer = 0;
  std::uint64_t mCallId = 0;
  std::size_t mBodyWritten = 0;
  std::int64_t mExpectedLength = -1;
  bool mMayHaveSentBytes = false;
};

namespace {

/// Handle of one call. `Cancel` does nothing once the call has ended.
class channel_call final : public http_call
{
public:
  explicit channel_call(std::shared_ptr<http_channel> aChannel)
    : mChannel(std::move(aChannel))
    , mCall(mChannel->CurrentCallId())
  {
  }

  void Cancel() override
  {
    if (mChannel->CurrentCallId() == mCall) {
      mChannel->Cancel();
    }
  }

private:
  std::shared_ptr<http_channel> mChannel;
  std::uint64_t mCall;
};

} // namespace

const lws_protocols*
http_channel::Protocols()
{
  static const lws_protocols sProtocols[] = {
    { "http", Callback, 0, 0, 0, nullptr, 0 },
    { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
  };
  return sProtocols;
}

int
http_channel::Callback(lws* aConnection,
                       lws_callback_reasons aReason,
                       void*,
                       void* aData,
                       std::size_t aLength)
{
  auto* bound = aConnection ? static_cast<http_channel::binding*>(
                                lws_get_opaque_user_data(aConnection))
                            : nullptr;
  if (bound == nullptr) {
    return 0;
  }
  if (aReason == LWS_CALLBACK_WSI_DESTROY) {
    lws_set_opaque_user_data(aConnection, nullptr);
    std::shared_ptr<http_channel> channel = bound->channel;
    if (channel->mBinding == bound) {
      channel->mBinding = nullptr;
    }
    if (channel->mCallId == bound->call_id) {
      channel->mConnection = nullptr;
      channel->FailCall("connection closed before the response was complete");
    }
    delete bound;
    return 0;
  }
  if (bound->channel->mCallId != bound->call_id) {
    // A late event of a call that has ended. Events that would send a request
    // or read a response close the connection; others are ignored, so that a
    // completed transaction can finish normally.
    return aReason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
               aReason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP
             ? -1
             : 0;
  }
  std::shared_ptr<http_channel> channel = bound->channel;
  return channel->OnEvent(aConnection, aReason, aData, aLength);
}

int
http_channel::OnEvent(lws* aConnection,
                      int aReason,
                      void* aData,
                      std::size_t aLength)
{
  switch (aReason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      mConnection = aConnection;
      return AppendHeaders(
        aConnection, static_cast<unsigned char**>(aData), aLength);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return WriteBody(aConnection);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return ReceiveHead(aConnection);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
      char buffer[LWS_PRE + kWriteChunkBytes];
      char* start = buffer + LWS_PRE;
      int length = static_cast<int>(kWriteChunkBytes);
      return lws_http_client_read(aConnection, &start, &length) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return ReceiveBody({ static_cast<const char*>(aData), aLength });
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      return Complete(aConnection);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      FailCall(aData != nullptr
                 ? std::string(static_cast<const char*>(aData), aLength)
                 : "connection failed");
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      FailCall("connection closed before the response was complete");
      return 0;
    default:
      return 0;
  }
}

int
http_channel::AppendHeaders(lws* aConnection,
                            unsigned char** aPosition,
                            std::size_t aRoom)
{
  if (mMayHaveSentBytes) {
    // libwebsockets is retrying on a new connection. The request must not be
    // sent twice.
    FailCall("connection closed before a response arrived");
    return -1;
  }
  unsigned char* end = *aPosition + aRoom;
  http_headers headers = mRequest.headers;
  if (!mRequest.body.empty() || mRequest.method == "POST" ||
      mRequest.method == "PUT" || mRequest.method == "PATCH") {
    headers.push_back(
      { "content-length", std::to_string(mRequest.body.size()) });
  }
  for (const http_header& header : headers) {
    std::string name = header.name + ":";
    if (lws_add_http_header_by_name(
          aConnection,
          reinterpret_cast<const unsigned char*>(name.c_str()),
          reinterpret_cast<const unsigned char*>(header.value.data()),
          static_cast<int>(header.value.size()),
          aPosition,
          end) != 0) {
      FailCall("request headers exceed the header buffer");
      return -1;
    }
  }
  // From here on libwebsockets may write the request to the socket.
  mMayHaveSentBytes = true;
  if (!mRequest.body.empty()) {
    lws_client_http_body_pending(aConnection, 1);
    lws_callback_on_writable(aConnection);
  }
  return 0;
}

int
http_channel::WriteBody(lws* aConnection)
{
  std::size_t left = mRequest.body.size() - mBodyWritten;
  if (left == 0) {
    return 0;
  }
  std::size_t length = std::min(left, kWriteChunkBytes);
  unsigned char buffer[LWS_PRE + kWriteChunkBytes];
  std::memcpy(buffer + LWS_PRE, mRequest.body.data() + mBodyWritten, length);
  bool last = length == left;
  int written = lws_write(aConnection,
                          buffer + LWS_PRE,
                          length,
                          last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
  if (written < static_cast<int>(length)) {
    return -1;
  }
  mBodyWritten += length;
  if (last) {
    lws_client_http_body_pending(aConnection, 0);
  } else {
    lws_callback_on_writable(aConnection);
  }
  return 0;
}

int
http_channel::ReceiveHead(lws* aConnection)
{
  mResponse.status = ReadStatus(aConnection);
  if (!status::IsFinal(mResponse.status)) {
    // libwebsockets can't skip an interim response: it takes what follows for
    // a body.
    FailCall("response has no valid final status");
    return -1;
  }
  mResponse.headers = ReadHeaders(aConnection);
  mExpectedLength = ReadContentLength(aConnection);
  if (mExpectedLength > static_cast<std::int64_t>(mMaxBody)) {
    FailCall("response body exceeds the size limit");
    return -1;
  }
  return 0;
}

int
http_channel::ReceiveBody(std::string_view aBytes)
{
  if (mResponse.body.size() + aBytes.size() > mMaxBody) {
    FailCall("response body exceeds the size limit");
    return -1;
  }
  mResponse.body.append(aBytes);
  return 0;
}

int
http_channel::Complete(lws* aConnection)
{
  std::int64_t received = static_cast<std::int64_t>(mResponse.body.size());
  bool chunked = !HeaderValue(mResponse.headers, "transfer-encoding").empty();
  bool complete = chunked || (mExpectedLength >= 0 ? received == mExpectedLength
                                                   : mResponse.status == 204 ||
                                                       mResponse.status == 304);
  bool requestSent = mBodyWritten == mRequest.body.size();
  if (!complete && mRequest.method != "HEAD") {
    FailCall("response body is incomplete");
    return -1;
  }
  (void)aConnection;
  Finish(std::move(mResponse));
  // A response that arrives before the whole request was sent leaves the
  // connection unusable.
  return requestSent ? 0 : -1;
}

} // namespace detail

http_client::http_client(loop& aLoop,
                         endpoint aTarget,
                         http_client_options aOptions)
  : mLoop(aLoop)
  , mTarget(std::move(aTarget))
  , mOptions(aOptions)
{
}

http_client::~http_client()
{
  for (const auto& channel : mChannels) {
    channel->Release();
  }
}

std::shared_ptr<http_call>
http_client::Start(http_request aRequest,
                   duration aTimeout,
                   http_callback aDone)
{
  auto idle =
    std::find_if(mChannels.begin(), mChannels.end(), [](const auto& aChannel) {
      return !aChannel->Busy();
    });
  if (idle == mChannels.end() && mChannels.size() >= mOptions.max_connections) {
    auto fail = [aDone] {
      aDone(Fail(error_kind::overloaded,
                 "all connections to the target are in use"));
    };
    mLoop.RunAfter(duration(0), fail);
    return nullptr;
  }
  if (idle == mChannels.end()) {
    mChannels.push_back(std::make_shared<detail::http_channel>(
      mLoop, mTarget, mOptions.max_body_bytes));
    idle = std::prev(mChannels.end());
  }
  (*idle)->Start(std::move(aRequest), aTimeout, std::move(aDone));
  return std::make_shared<detail::channel_call>(*idle);
}

unsigned
http_client::BusyConnections() const
{
  return static_cast<unsigned>(
    std::count_if(mChannels.begin(), mChannels.end(), [](const auto& aChannel) {
      return aChannel->Busy();
    }));
}

} // namespace eelgrasstrack
