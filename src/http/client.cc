#include "http/client.h"

#include <algorithm>
#include <cctype>

#include "http/header-reader.h"

namespace eelgrasstrack {

namespace {

/// A connection that has been idle for longer is closed.
constexpr duration kIdleTimeout = std::chrono::seconds(4);
/// Limit for connecting and for the acknowledgement of sent bytes.
constexpr duration kUnacknowledgedTimeout = std::chrono::seconds(5);

/// Maximum size of a response's head. The server that passes the response on
/// sends 8 KiB, with the fields that the nodes add.
constexpr std::uint32_t kMaxHeadBytes = 7168;

/// Whether a request without a body announces its length, as servers expect of
/// these methods.
bool
AnnouncesBody(const http_request& aRequest)
{
  return !aRequest.body.empty() || aRequest.method == "POST" ||
         aRequest.method == "PUT" || aRequest.method == "PATCH";
}

std::string
RequestText(const endpoint& aTarget, const http_request& aRequest)
{
  message_head head;
  head.method = aRequest.method;
  head.target = aRequest.path;
  if (!aRequest.query.empty()) {
    head.target += "?" + aRequest.query;
  }
  std::string text;
  AppendRequestLine(text, head);
  AppendField(text, "Host", aTarget.address);
  for (const http_header& header : aRequest.headers) {
    AppendField(text, header.name, header.value);
  }
  if (AnnouncesBody(aRequest)) {
    AppendField(text, "Content-Length", std::to_string(aRequest.body.size()));
  }
  text += "\r\n";
  text += aRequest.body;
  return text;
}

std::string
LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

/// The supported header fields; those of the framing concern the connection.
http_headers
HeadersOf(const header_fields& aFields)
{
  http_headers headers;
  for (const header_field& field : aFields) {
    std::string name = LowerCase(field.name);
    if (detail::IsSupportedHeader(name) && !IsHopByHop(name, nullptr)) {
      headers.push_back({ std::move(name), field.value });
    }
  }
  return headers;
}

} // namespace

namespace detail {

/// One call in progress. The client and its channel, of which it is the
/// observer, keep it alive.
class client_call final
  : public http_call
  , public client_channel::observer
  , public std::enable_shared_from_this<client_call>
{
public:
  client_call(http_client& aClient, http_callback aDone)
    : mClient(aClient)
    , mDone(std::move(aDone))
  {
  }

  void Start(const http_request& aRequest, duration aTimeout)
  {
    mChannel = mClient.Acquire();
    if (!mChannel) {
      mTimer = Loop().RunAfter(duration(0), [self = shared_from_this()] {
        self->Fail(error_kind::upstream_unreachable,
                   execution::not_run,
                   "no file descriptor available");
      });
      return;
    }
    mTimer = Loop().RunAfter(aTimeout,
                             [self = shared_from_this()] { self->TimeOut(); });
    mChannel->Begin(RequestText(mClient.mTarget, aRequest),
                    shared_from_this(),
                    {},
                    { aRequest.method == "HEAD", true });
  }

  void Cancel() override
  {
    mDone = nullptr;
    if (!mEnded) {
      End(false);
    }
  }

  void OnAnswerHead(message_head& aHead,
                    std::optional<std::uint64_t> aLength) override
  {
    mResponse.status = aHead.status;
    mResponse.headers = HeadersOf(aHead.fields);
    if (aLength.value_or(0) > mClient.mOptions.max_body_bytes) {
      FailTooLarge();
    }
  }

  void OnAnswerBody(std::string_view aBytes) override
  {
    if (mResponse.body.size() + aBytes.size() >
        mClient.mOptions.max_body_bytes) {
      FailTooLarge();
      return;
    }
    mResponse.body.append(aBytes);
  }

  void OnAnswerEnd() override
  {
    // A response that arrives before the whole request was sent leaves the
    // connection unusable.
    Finish(std::move(mResponse), mChannel->Unsent() == 0);
  }

  void OnChannelFailed(const channel_failure& aFailure) override
  {
    Fail(aFailure.sent ? error_kind::upstream_broken
                       : error_kind::upstream_unreachable,
         aFailure.sent ? execution::unknown : execution::not_run,
         aFailure.reason);
  }

private:
  loop& Loop() { return mClient.mTransport.Loop(); }

  void TimeOut()
  {
    bool sent = mChannel && mChannel->Sent();
    // The kept connections may have fallen silent with this one.
    mClient.mIdle.Clear();
    Fail(error_kind::deadline_exceeded,
         sent ? execution::unknown : execution::not_run,
         "no response before the deadline");
  }

  void FailTooLarge()
  {
    Fail(error_kind::upstream_broken,
         execution::unknown,
         "response body exceeds the size limit");
  }

  void Fail(error_kind aKind, execution aExecution, const std::string& aMessage)
  {
    Finish(tl::unexpected<error>(error{
             aKind, ToString(mClient.mTarget) + ": " + aMessage, aExecution }),
           false);
  }

  void Finish(http_result aResult, bool aKeep)
  {
    if (mEnded) {
      return;
    }
    End(aKeep);
    http_callback done = std::move(mDone);
    mDone = nullptr;
    done(std::move(aResult));
  }

  void End(bool aKeep)
  {
    std::shared_ptr<client_call> self = shared_from_this();
    mEnded = true;
    mClient.mCalls.erase(self);
    Loop().Cancel(mTimer);
    std::shared_ptr<client_channel> channel = std::move(mChannel);
    mChannel.reset();
    if (channel && aKeep) {
      mClient.Release(std::move(channel));
    } else if (channel) {
      channel->Abort();
    }
  }

  /// Not used after the call has ended, as the client may be gone.
  http_client& mClient;
  http_callback mDone;
  http_response mResponse;
  std::shared_ptr<client_channel> mChannel;
  timer_id mTimer = 0;
  bool mEnded = false;
};

} // namespace detail

http_client::http_client(tcp_transport& aTransport,
                         endpoint aTarget,
                         http_client_options aOptions)
  : mTransport(aTransport)
  , mTarget(std::move(aTarget))
  , mOptions(aOptions)
  , mIdle(aOptions.max_connections)
{
}

http_client::~http_client()
{
  while (!mCalls.empty()) {
    std::shared_ptr<detail::client_call> call = *mCalls.begin();
    call->Cancel();
  }
  mTransport.Loop().Cancel(mIdleTimer);
  mIdle.Clear();
}

std::shared_ptr<http_call>
http_client::Start(http_request aRequest,
                   duration aTimeout,
                   http_callback aDone)
{
  if (mCalls.size() >= mOptions.max_connections) {
    mTransport.Loop().RunAfter(duration(0), [aDone = std::move(aDone)] {
      aDone(Fail(error_kind::overloaded,
                 "all connections to the target are in use"));
    });
    return nullptr;
  }
  auto call = std::make_shared<detail::client_call>(*this, std::move(aDone));
  mCalls.insert(call);
  call->Start(aRequest, aTimeout);
  return call;
}

std::shared_ptr<client_channel>
http_client::Acquire()
{
  if (std::shared_ptr<client_channel> channel =
        mIdle.Acquire(mTransport.Loop().Now())) {
    return channel;
  }
  connect_options options;
  options.unacknowledged_timeout = kUnacknowledgedTimeout;
  std::shared_ptr<client_channel> channel =
    client_channel::Open(mTransport, mTarget, options);
  if (channel) {
    channel->SetHeadLimit(kMaxHeadBytes);
  }
  return channel;
}

void
http_client::Release(std::shared_ptr<client_channel> aChannel)
{
  mIdle.Release(std::move(aChannel), mTransport.Loop().Now());
  if (mIdleTimer == 0) {
    ScheduleCloseIdle();
  }
}

void
http_client::ScheduleCloseIdle()
{
  mIdleTimer = mTransport.Loop().RunAfter(kIdleTimeout, [this] {
    mIdleTimer = 0;
    mIdle.CloseIdle(kIdleTimeout, mTransport.Loop().Now());
    if (!mIdle.Empty()) {
      ScheduleCloseIdle();
    }
  });
}

} // namespace eelgrasstrack
