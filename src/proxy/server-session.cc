#include "proxy/server-session.h"

#include <vector>

#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// A body up to this size is buffered before its request is handled, so that
/// the request can be retried. The rest of a longer body is streamed.
constexpr std::size_t kMaxBufferedBodyBytes = 256U << 10U;
/// Bytes of pipelined requests that are buffered while a request is in
/// progress; above that, reading is paused.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
/// Bytes of an answer that are collected before they are written to the
/// connection.
constexpr std::size_t kWriteBufferBytes = 32U << 10U;

} // namespace

result<void>
session_list::Listen(tcp_transport& aTransport,
                     const endpoint& aAddress,
                     request_server& aServer)
{
  return aTransport.Listen(
    aAddress,
    [this, &aTransport, &aServer](std::shared_ptr<connection> aConnection) {
      auto session = std::make_shared<server_session>(
        aConnection, aServer, *this, aTransport.Loop());
      Add(session);
      aConnection->SetObserver(session);
    });
}

void
session_list::Add(const std::shared_ptr<server_session>& aSession)
{
  mSessions.insert(aSession.get());
}

void
session_list::Remove(server_session* aSession)
{
  mSessions.erase(aSession);
}

void
session_list::Sweep(time_point aNow)
{
  std::vector<server_session*> sessions(mSessions.begin(), mSessions.end());
  for (server_session* session : sessions) {
    session->CheckTimeouts(aNow);
  }
}

std::size_t
session_list::BusyCount() const
{
  std::size_t busy = 0;
  for (const server_session* session : mSessions) {
    busy += session->IsBusy() ? 1 : 0;
  }
  return busy;
}

server_session::server_session(std::shared_ptr<connection> aConnection,
                               request_server& aServer,
                               session_list& aList,
                               loop& aLoop)
  : mConnection(std::move(aConnection))
  , mServer(aServer)
  , mList(aList)
  , mLoop(aLoop)
  , mIdleSince(aLoop.Now())
{
  mParser.SetHeadLimit(aServer.Limits().head_bytes);
}

void
server_session::OnReceived(std::string_view aBytes)
{
  std::shared_ptr<server_session> self = shared_from_this();
  result<void> fed = mParser.Feed(aBytes);
  if (!fed && !mBusy) {
    Reject(fed.error().kind == error_kind::too_large ? status::kFieldsTooLarge
                                                     : status::kBadRequest);
    return;
  }
  if (!fed) {
    OnEnded(close_reason::broken);
    mConnection->Close();
    return;
  }
  ProcessInput();
}

void
server_session::ProcessInput()
{
  if (!mParser.HeadReady()) {
    return;
  }
  std::string part = mParser.TakeBody();
  mBodyBytes += part.size();
  mBody += part;
  std::uint64_t limit = mServer.Limits().body_bytes;
  if (mBodyBytes > limit || mParser.BodyLength().value_or(0) > limit) {
    if (!mBusy) {
      Reject(status::kContentTooLarge);
      return;
    }
  }
  if (mBusy) {
    ForwardBody();
    return;
  }
  if (mParser.Done() || mBody.size() > kMaxBufferedBodyBytes) {
    BeginRequest();
    return;
  }
  SendContinueIfExpected();
}

void
server_session::SendContinueIfExpected()
{
  if (mContinueSent || FindField(mParser.Head().fields, "Expect") == nullptr) {
    return;
  }
  mContinueSent = true;
  mConnection->Send("HTTP/1.1 100 Continue\r\n\r\n");
}

void
server_session::BeginRequest()
{
  mBusy = true;
  mAnswerDone = false;
  mChunkedAnswer = false;
  mHeadOnly = mParser.Head().method == "HEAD";
  received_request request;
  request.head = mParser.Head();
  request.body = std::move(mBody);
  mBody.clear();
  request.body_complete = mParser.Done();
  request.body_length = mParser.BodyLength();
  if (request.body_complete && mParser.Chunked()) {
    request.body_length = request.body.size();
  }
  request.received = mLoop.Now();
  std::shared_ptr<request_handler> handler =
    mServer.Begin(std::move(request), shared_from_this());
  if (mBusy) {
    mHandler = std::move(handler);
  }
}

void
server_session::ForwardBody()
{
  if (!mBody.empty() ||
      (mParser.Done() && mHandler && mBodyBytes > kMaxBufferedBodyBytes)) {
    std::string part = std::move(mBody);
    mBody.clear();
    if (mHandler && mBodyBytes > kMaxBufferedBodyBytes) {
      mHandler->OnRequestBody(part, mParser.Done());
    }
  }
  if (mAnswerDone && mParser.Done()) {
    FinishRequest();
    return;
  }
  if (mParser.RemainingBytes() > kMaxReadAheadBytes && !mReadingPaused) {
    mReadingPaused = true;
    mConnection->PauseReading(true);
  }
}

void
server_session::Answer(int aStatus,
                       const header_fields& aFields,
                       std::string_view aBody)
{
  message_head head;
  head.status = aStatus;
  head.reason = ReasonOf(aStatus);
  head.fields = aFields;
  BeginAnswer(head, aBody.size());
  SendAnswerBody(aBody);
  EndAnswer();
}

void
server_session::BeginAnswer(const message_head& aHead,
                            std::optional<std::uint64_t> aLength)
{
  bool bodyless =
    aHead.status == status::kNoContent || aHead.status == status::kNotModified;
  AppendStatusLine(mOutgoing, aHead.status, aHead.reason);
  for (const header_field& field : aHead.fields) {
    AppendField(mOutgoing, field.name, field.value);
  }
  mChunkedAnswer = !aLength && !bodyless;
  if (aLength && !bodyless) {
    AppendField(mOutgoing, "Content-Length", std::to_string(*aLength));
  } else if (mChunkedAnswer) {
    AppendField(mOutgoing, "Transfer-Encoding", "chunked");
  }
  // The unread rest of the request's body would be parsed as the next request.
  mCloseAfterAnswer =
    mServer.IsClosing() || !mParser.KeepAlive() || !mParser.Done();
  if (mCloseAfterAnswer) {
    AppendField(mOutgoing, "Connection", "close");
  }
  mOutgoing += "\r\n";
  if (mHeadOnly) {
    mChunkedAnswer = false;
  }
}

void
server_session::SendAnswerBody(std::string_view aBytes)
{
  if (mHeadOnly) {
    return;
  }
  if (mChunkedAnswer) {
    AppendChunk(mOutgoing, aBytes);
  } else {
    mOutgoing += aBytes;
  }
  if (mOutgoing.size() > kWriteBufferBytes) {
    mConnection->Send(mOutgoing);
    mOutgoing.clear();
  }
}

void
server_session::EndAnswer()
{
  std::shared_ptr<server_session> self = shared_from_this();
  if (mChunkedAnswer) {
    mOutgoing += kLastChunk;
  }
  mConnection->Send(mOutgoing);
  mOutgoing.clear();
  mAnswerDone = true;
  mHandler.reset();
  if (mCloseAfterAnswer) {
    mBusy = false;
    RemoveFromList();
    mConnection->CloseAfterSending();
    return;
  }
  FinishRequest();
}

void
server_session::FinishRequest()
{
  mBusy = false;
  mHandler.reset();
  mBody.clear();
  mBodyBytes = 0;
  mContinueSent = false;
  mIdleSince = mLoop.Now();
  mParser.SetHeadLimit(mServer.Limits().head_bytes);
  if (mReadingPaused) {
    mReadingPaused = false;
    mConnection->PauseReading(false);
  }
  bool hasMore = mParser.RemainingBytes() > 0;
  result<void> next = mParser.Next();
  if (!next) {
    Reject(status::kBadRequest);
    return;
  }
  if (hasMore) {
    // Deferred, so that the next request does not start inside the call that
    // ended this answer.
    mLoop.RunAfter(duration(0), [self = shared_from_this()] {
      if (!self->mBusy && !self->mConnection->Closed()) {
        self->ProcessInput();
      }
    });
  }
}

void
server_session::AbortAnswer()
{
  std::shared_ptr<server_session> self = shared_from_this();
  mOutgoing.clear();
  mHandler.reset();
  mBusy = false;
  RemoveFromList();
  mConnection->CloseAfterSending();
}

void
server_session::Reject(int aStatus)
{
  std::shared_ptr<server_session> self = shared_from_this();
  std::string text;
  AppendStatusLine(text, aStatus, ReasonOf(aStatus));
  AppendField(text, "Content-Length", "0");
  AppendField(text, "Connection", "close");
  text += "\r\n";
  mConnection->Send(text);
  RemoveFromList();
  mConnection->CloseAfterSending();
}

void
server_session::OnSent()
{
  if (mHandler) {
    std::shared_ptr<request_handler> handler = mHandler;
    handler->OnAnswerSent();
  }
}

void
server_session::OnEnded(close_reason)
{
  std::shared_ptr<server_session> self = shared_from_this();
  RemoveFromList();
  mBusy = false;
  std::shared_ptr<request_handler> handler = std::move(mHandler);
  mHandler.reset();
  if (handler) {
    handler->OnClientDisconnected();
  }
}

void
server_session::RemoveFromList()
{
  mList.Remove(this);
}

void
server_session::CloseIfIdle()
{
  std::shared_ptr<server_session> self = shared_from_this();
  if (mBusy || mParser.Started()) {
    return;
  }
  RemoveFromList();
  mConnection->Close();
}

void
server_session::CheckTimeouts(time_point aNow)
{
  std::shared_ptr<server_session> self = shared_from_this();
  if (mBusy) {
    return;
  }
  traffic_limits limits = mServer.Limits();
  if (!mParser.Started()) {
    if (aNow - mIdleSince > limits.idle_timeout) {
      CloseIfIdle();
    }
    return;
  }
  if (!mParser.HeadReady() && aNow - mIdleSince > limits.head_timeout) {
    Reject(status::kRequestTimeout);
  }
}

} // namespace eelgrasstrack
