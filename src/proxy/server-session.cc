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
/// Maximum number of pipelined requests of a connection that are handled at the
/// same time, so that one client does not take the place of many.
constexpr std::size_t kMaxPipelinedRequests = 8;
/// No further pipelined request starts while more bytes of answers wait for an
/// earlier answer.
constexpr std::size_t kMaxHeldAnswerBytes = 64U << 10U;

} // namespace

result<void>
session_list::Listen(tcp_transport& aTransport,
                     const endpoint& aAddress,
                     request_server& aServer,
                     link_pacer* aPacer)
{
  return aTransport.Listen(
    aAddress,
    [this, &aTransport, &aServer, aPacer](
      std::shared_ptr<connection> aConnection) {
      auto session = std::make_shared<server_session>(
        aConnection, aServer, *this, aTransport.Loop(), aPacer);
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
                               loop& aLoop,
                               link_pacer* aPacer)
  : mConnection(std::move(aConnection))
  , mServer(aServer)
  , mList(aList)
  , mLoop(aLoop)
  , mPacer(aPacer)
  , mIdleSince(aLoop.Now())
{
  mParser.SetHeadLimit(aServer.Limits().head_bytes);
}

void
server_session::OnReceived(std::string_view aBytes)
{
  std::shared_ptr<server_session> self = shared_from_this();
  if (mRejectStatus != 0) {
    return; // nothing after invalid input can be understood
  }
  result<void> fed = mParser.Feed(aBytes);
  if (!fed) {
    HandleInvalidInput(fed.error().kind == error_kind::too_large
                         ? status::kFieldsTooLarge
                         : status::kBadRequest);
    return;
  }
  ProcessInput();
}

void
server_session::ProcessInput()
{
  while (mRejectStatus == 0 && mParser.HeadReady()) {
    bool complete = false;
    if (mReceiving) {
      complete = ForwardBody();
    } else if (MayBegin()) {
      complete = BeginRequest();
    }
    if (!complete || mLastBegun || !ParseNext()) {
      break;
    }
  }
  UpdateReading();
}

bool
server_session::MayBegin()
{
  if (mLastBegun || mConnection->Closed()) {
    return false;
  }
  if (mExchanges.empty()) {
    return true;
  }
  // A request that waits for earlier answers counts as not read by the client
  // if the connection closes before its turn. Only safe methods may run anyway.
  const message_head& head = mParser.Head();
  bool safe = head.method == "GET" || head.method == "HEAD";
  std::size_t held = 0;
  for (const auto& exchange : mExchanges) {
    held += exchange->mOutgoing.size();
  }
  return safe && mParser.Done() && mExchanges.size() < kMaxPipelinedRequests &&
         held <= kMaxHeldAnswerBytes;
}

bool
server_session::BeginRequest()
{
  mBody += mParser.TakeBody();
  mBodyBytes = mBody.size();
  std::uint64_t limit = mServer.Limits().body_bytes;
  if (mBodyBytes > limit || mParser.BodyLength().value_or(0) > limit) {
    HandleInvalidInput(status::kContentTooLarge);
    return false;
  }
  if (!mParser.Done() && mBody.size() <= kMaxBufferedBodyBytes) {
    SendContinueIfExpected();
    return false;
  }
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
  server_exchange::request_properties properties;
  properties.head_only = request.head.method == "HEAD";
  properties.keep_alive = mParser.KeepAlive();
  mLastBegun = !properties.keep_alive;
  auto exchange =
    std::make_shared<server_exchange>(shared_from_this(), properties);
  mExchanges.push_back(exchange);
  bool complete = request.body_complete;
  if (!complete) {
    mReceiving = exchange;
  }
  std::shared_ptr<request_handler> handler =
    mServer.Begin(std::move(request), exchange);
  if (!exchange->mDone) {
    exchange->mHandler = std::move(handler);
  }
  return complete;
}

bool
server_session::ForwardBody()
{
  std::string part = mParser.TakeBody();
  mBodyBytes += part.size();
  if (mBodyBytes > mServer.Limits().body_bytes) {
    HandleInvalidInput(status::kContentTooLarge);
    return false;
  }
  std::shared_ptr<server_exchange> exchange = mReceiving;
  bool complete = mParser.Done();
  if (complete) {
    mReceiving.reset();
  }
  if (exchange->mHandler && (complete || !part.empty())) {
    std::shared_ptr<request_handler> handler = exchange->mHandler;
    handler->OnRequestBody(part, complete);
  }
  return complete;
}

void
server_session::HandleInvalidInput(int aStatus)
{
  mRejectStatus = aStatus;
  if (mReceiving) {
    // The request in progress can't be completed.
    std::shared_ptr<server_exchange> receiving = std::move(mReceiving);
    mReceiving.reset();
    bool answering = receiving->mBegun;
    CancelAll();
    if (answering) {
      RemoveFromList();
      CloseNow();
      return;
    }
  }
  if (mExchanges.empty()) {
    Reject(aStatus);
  }
}

void
server_session::SendContinueIfExpected()
{
  if (mContinueSent || !mExchanges.empty() ||
      FindField(mParser.Head().fields, "Expect") == nullptr) {
    return;
  }
  mContinueSent = true;
  Send("HTTP/1.1 100 Continue\r\n\r\n");
}

bool
server_session::ParseNext()
{
  mBody.clear();
  mBodyBytes = 0;
  mContinueSent = false;
  mIdleSince = mLoop.Now();
  mParser.SetHeadLimit(mServer.Limits().head_bytes);
  if (!mParser.Next()) {
    HandleInvalidInput(status::kBadRequest);
    return false;
  }
  return true;
}

void
server_session::UpdateReading()
{
  std::size_t waiting = mReceiving ? 0 : mParser.BodyBytes();
  bool pause =
    IsBusy() && mParser.RemainingBytes() + waiting > kMaxReadAheadBytes;
  if (pause != mReadAheadPaused && !mConnection->Closed()) {
    mReadAheadPaused = pause;
    mConnection->PauseReading(mReadAheadPaused || mBodyPaused);
  }
}

void
server_session::PauseBody(bool aPaused)
{
  mBodyPaused = aPaused;
  mConnection->PauseReading(mReadAheadPaused || mBodyPaused);
}

bool
server_session::IsFirst(const server_exchange& aExchange) const
{
  return !mExchanges.empty() && mExchanges.front().get() == &aExchange;
}

bool
server_session::ClosesAfter(const server_exchange& aExchange)
{
  bool isLast = !mExchanges.empty() && mExchanges.back().get() == &aExchange;
  // The unread rest of a body would be parsed as the next request.
  bool unread = mReceiving.get() == &aExchange;
  bool closes = isLast && (unread || mServer.IsClosing() ||
                           !aExchange.mProperties.keep_alive);
  mLastBegun = mLastBegun || closes;
  return closes;
}

void
server_session::SendFinishedAnswers()
{
  std::shared_ptr<server_session> self = shared_from_this();
  while (!mExchanges.empty()) {
    std::shared_ptr<server_exchange> first = mExchanges.front();
    first->Flush();
    if (!first->mDone) {
      return;
    }
    mExchanges.pop_front();
    if (first->mCloseAfter) {
      CancelAll();
      RemoveFromList();
      CloseAfterSending();
      return;
    }
    ScheduleInput();
  }
  mIdleSince = mLoop.Now();
  if (mRejectStatus != 0) {
    Reject(mRejectStatus);
  }
}

void
server_session::ScheduleInput()
{
  if (mInputScheduled || !mParser.Started()) {
    return;
  }
  mInputScheduled = true;
  mLoop.RunAfter(duration(0), [self = shared_from_this()] {
    self->mInputScheduled = false;
    if (!self->mConnection->Closed()) {
      self->ProcessInput();
    }
  });
}

void
server_session::AbortFrom(server_exchange& aExchange)
{
  std::shared_ptr<server_session> self = shared_from_this();
  aExchange.mOutgoing.clear();
  mLastBegun = true;
  if (!IsFirst(aExchange)) {
    // Earlier answers are sent first, then the connection is closed.
    aExchange.mDone = true;
    aExchange.mCloseAfter = true;
    return;
  }
  CancelAll();
  RemoveFromList();
  CloseAfterSending();
}

void
server_session::CancelAll()
{
  std::deque<std::shared_ptr<server_exchange>> exchanges =
    std::move(mExchanges);
  mExchanges.clear();
  mReceiving.reset();
  for (const auto& exchange : exchanges) {
    std::shared_ptr<request_handler> handler = std::move(exchange->mHandler);
    exchange->mHandler.reset();
    if (handler) {
      handler->OnClientDisconnected();
    }
  }
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
  Send(text);
  RemoveFromList();
  CloseAfterSending();
}

void
server_session::OnSent()
{
  if (mExchanges.empty()) {
    return;
  }
  std::shared_ptr<request_handler> handler = mExchanges.front()->mHandler;
  if (handler) {
    handler->OnAnswerSent();
  }
}

void
server_session::OnEnded(close_reason)
{
  std::shared_ptr<server_session> self = shared_from_this();
  RemoveFromList();
  if (mPacer != nullptr) {
    mPacer->Drop(*mConnection);
  }
  mLastBegun = true;
  CancelAll();
}

void
server_session::Send(std::string_view aBytes)
{
  if (mPacer != nullptr) {
    mPacer->Send(mConnection, aBytes);
  } else {
    mConnection->Send(aBytes);
  }
}

std::size_t
server_session::Unsent() const
{
  std::size_t pending = mPacer != nullptr ? mPacer->Pending(*mConnection) : 0;
  return mConnection->Unsent() + pending;
}

void
server_session::CloseAfterSending()
{
  if (mPacer != nullptr) {
    mPacer->SendAll(*mConnection);
  }
  mConnection->CloseAfterSending();
}

void
server_session::CloseNow()
{
  if (mPacer != nullptr) {
    mPacer->Drop(*mConnection);
  }
  mConnection->Close();
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
  if (IsBusy() || mParser.Started()) {
    return;
  }
  RemoveFromList();
  CloseNow();
}

void
server_session::CheckTimeouts(time_point aNow)
{
  std::shared_ptr<server_session> self = shared_from_this();
  if (IsBusy()) {
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
