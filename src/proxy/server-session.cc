#include "proxy/server-session.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
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
/// A body makes progress if at least this many bytes arrive within the time
/// limit; fewer count as none.
constexpr std::size_t kMinProgressBytes = 4096;
/// The part of the memory for answers that is left to those that are sent
/// whole: answers that are streamed pause below it.
constexpr std::size_t kWholeAnswerPart = 4;
/// An answer may wait with this part of what is left of the memory for streamed
/// ones, so that the sum stays below the limit for any number of them.
constexpr std::size_t kStreamPart = 8;
/// Minimum time between two searches for bodies that stall or, after one that
/// found none, for idle connections. Each of them visits all sessions.
constexpr duration kEndStalledPeriod = std::chrono::milliseconds(100);
/// One part in this many of the connections is closed at a time when too many
/// are open, so that the search for them is rare.
constexpr std::size_t kClosedPart = 32;

/// Bytes to allocate for a body of which `aBytes` have arrived. At most what is
/// known to follow, so that an announced length alone costs nothing.
std::size_t
BodyCapacity(std::size_t aBytes, const std::optional<std::uint64_t>& aLength)
{
  std::size_t grown = aBytes + aBytes / 2;
  if (aLength && *aLength >= aBytes && *aLength < grown) {
    return static_cast<std::size_t>(*aLength);
  }
  return grown;
}

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
      Accept(std::make_shared<server_session>(
               aConnection, aServer, *this, aTransport.Loop(), aPacer),
             aConnection);
    });
}

void
session_list::Accept(const std::shared_ptr<server_session>& aSession,
                     const std::shared_ptr<connection>& aConnection)
{
  if (mSessions.size() >= mLimits.max_connections) {
    CloseLongestIdle(aSession->IdleSince());
  }
  if (mSessions.size() >= mLimits.max_connections) {
    ++mCounts.closed_for_others;
    aConnection->Close();
    return;
  }
  Add(aSession);
  aConnection->SetObserver(aSession);
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

std::vector<std::shared_ptr<server_session>>
session_list::Sessions() const
{
  std::vector<std::shared_ptr<server_session>> sessions;
  sessions.reserve(mSessions.size());
  for (server_session* session : mSessions) {
    sessions.push_back(session->shared_from_this());
  }
  return sessions;
}

void
session_list::Sweep(time_point aNow)
{
  for (const auto& session : Sessions()) {
    session->CheckTimeouts(aNow);
  }
  if (!AnswersFull(aNow)) {
    std::erase_if(mClosing, [](closing_connection& aClosing) {
      aClosing.held.Force(aClosing.target->QueueMemory());
      return aClosing.target->Closed();
    });
  }
  LogCounts();
}

void
session_list::LogCounts()
{
  if (mCounts == mLoggedCounts) {
    return;
  }
  LogEvent(
    log_level::warning,
    "clients_limited",
    { { "refused_memory",
        std::to_string(mCounts.refused_memory - mLoggedCounts.refused_memory) },
      { "stalled", std::to_string(mCounts.stalled - mLoggedCounts.stalled) },
      { "closed_for_others",
        std::to_string(mCounts.closed_for_others -
                       mLoggedCounts.closed_for_others) },
      { "connections", std::to_string(mSessions.size()) },
      { "body_bytes",
        std::to_string(mBudget != nullptr ? mBudget->HeldBytes() : 0) } });
  mLoggedCounts = mCounts;
}

body_reservation
session_list::NewReservation() const
{
  return mBudget != nullptr ? body_reservation(*mBudget) : body_reservation();
}

void
session_list::EndStalledBodies(time_point aNow, const server_session& aFor)
{
  if (aNow - mStalledEndedAt < kEndStalledPeriod) {
    return;
  }
  mStalledEndedAt = aNow;
  for (const auto& session : Sessions()) {
    if (session.get() != &aFor) {
      session->EndIfStalled(aNow, mLimits.stall_time_when_full);
    }
  }
}

body_reservation
session_list::NewAnswerReservation() const
{
  return mAnswers != nullptr ? body_reservation(*mAnswers) : body_reservation();
}

std::size_t
session_list::MaxUnsent() const
{
  if (mAnswers == nullptr) {
    return std::numeric_limits<std::size_t>::max();
  }
  std::size_t limit = mAnswers->Limit() - mAnswers->Limit() / kWholeAnswerPart;
  std::size_t held = mAnswers->HeldBytes();
  return held < limit ? (limit - held) / kStreamPart : 0;
}

bool
session_list::AnswersFull(time_point aNow)
{
  if (mAnswers == nullptr || !mAnswers->IsFull()) {
    return false;
  }
  if (aNow - mStalledAnswersEndedAt >= kEndStalledPeriod) {
    EndStalledAnswers(aNow);
  }
  return mAnswers->IsFull();
}

void
session_list::EndStalledAnswers(time_point aNow)
{
  mStalledAnswersEndedAt = aNow;
  for (const auto& session : Sessions()) {
    session->EndIfAnswerStalled(aNow, mLimits.stall_time_when_full);
  }
  EndStalledClosing(aNow);
}

void
session_list::EndStalledClosing(time_point aNow)
{
  for (closing_connection& closing : mClosing) {
    std::uint64_t sent = closing.target->SentBytes();
    if (sent - closing.sent_bytes >= kMinProgressBytes) {
      closing.sent_bytes = sent;
      closing.moved_at = aNow;
    } else if (aNow - closing.moved_at > mLimits.stall_time_when_full) {
      ++mCounts.stalled;
      closing.target->Close();
    }
    closing.held.Force(closing.target->QueueMemory());
  }
  std::erase_if(mClosing, [](const closing_connection& aClosing) {
    return aClosing.target->Closed();
  });
}

void
session_list::AddClosing(const std::shared_ptr<connection>& aConnection,
                         time_point aNow)
{
  if (mAnswers == nullptr || aConnection->Closed()) {
    return;
  }
  closing_connection closing;
  closing.target = aConnection;
  closing.held = NewAnswerReservation();
  closing.held.Force(aConnection->QueueMemory());
  closing.sent_bytes = aConnection->SentBytes();
  closing.moved_at = aNow;
  mClosing.push_back(std::move(closing));
}

void
session_list::CloseLongestIdle(time_point aNow)
{
  if (aNow - mNoneClosableAt < kEndStalledPeriod) {
    return;
  }
  std::vector<std::shared_ptr<server_session>> closable = Sessions();
  std::erase_if(closable, [](const auto& aSession) {
    return !aSession->MayCloseForOthers();
  });
  if (closable.empty()) {
    mNoneClosableAt = aNow;
    return;
  }
  std::size_t count =
    std::min(closable.size(), mLimits.max_connections / kClosedPart + 1);
  auto end = closable.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(closable.begin(),
                    end,
                    closable.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft->IdleSince() < aRight->IdleSince();
                    });
  std::for_each(closable.begin(), end, [this](const auto& aSession) {
    ++mCounts.closed_for_others;
    aSession->CloseForOthers();
  });
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
  , mHeld(aList.NewReservation())
  , mInputHeld(aList.NewReservation())
  , mAnswersHeld(aList.NewAnswerReservation())
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
  RecordProgress(aBytes.size());
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
  AccountInput();
  UpdateReading();
  if (std::exchange(mRequestIsNew, false) && mParser.Started()) {
    // Only a request that is not complete needs the time.
    RestartProgress();
    mRequestSince = mProgressAt;
  }
}

void
server_session::RecordProgress(std::size_t aBytes)
{
  if (!mParser.Started()) {
    mRequestIsNew = true;
    return;
  }
  mProgressBytes += aBytes;
  if (mProgressBytes >= kMinProgressBytes) {
    RestartProgress();
  }
}

void
server_session::RestartProgress()
{
  mProgressAt = mLoop.Now();
  mProgressBytes = 0;
}

bool
server_session::Reserve(body_reservation& aReservation, std::size_t aBytes)
{
  if (aReservation.Resize(aBytes)) {
    return true;
  }
  mList.EndStalledBodies(mLoop.Now(), *this);
  return aReservation.Resize(aBytes);
}

void
server_session::AccountInput()
{
  if (mReceiving || mRejectStatus != 0 || mConnection->Closed()) {
    return; // an upload is read no faster than it is sent on
  }
  if (!Reserve(mInputHeld, mParser.HeldBytes())) {
    RefuseForMemory();
  }
}

void
server_session::RefuseForMemory()
{
  ++mList.mCounts.refused_memory;
  HandleInvalidInput(status::kUnavailable);
}

void
server_session::DropInput()
{
  std::string().swap(mBody);
  mHeld.Release();
  mParser = message_parser(message_kind::request);
  mInputHeld.Release();
}

bool
server_session::MayBegin()
{
  if (mLastBegun || mConnection->Closed()) {
    return false;
  }
  if (std::size_t unsent = mConnection->Unsent();
      unsent > std::min(kMaxHeldAnswerBytes, MaxUnsent())) {
    return false; // the client does not read the answers
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
  mBodyBytes = mBody.size() + mParser.BodyBytes();
  std::uint64_t limit = mServer.Limits().body_bytes;
  if (mBodyBytes > limit || mParser.BodyLength().value_or(0) > limit) {
    HandleInvalidInput(status::kContentTooLarge);
    return false;
  }
  if (!KeepBody()) {
    RefuseForMemory();
    return false;
  }
  if (!mParser.Done() && mBody.size() <= kMaxBufferedBodyBytes) {
    SendContinueIfExpected();
    return false;
  }
  if (mList.AnswersFull(mLoop.Now())) {
    RefuseForMemory();
    return false;
  }
  received_request request;
  request.head = mParser.Head();
  request.body = std::move(mBody);
  mBody.clear();
  if (mHeld.Bytes() > 0) {
    request.held = mHeld.Take();
  }
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
server_session::KeepBody()
{
  std::string part = mParser.TakeBody();
  if (part.empty()) {
    return true;
  }
  if (mBody.empty() && mParser.Done()) {
    mBody = std::move(part);
    return Reserve(mHeld, mBody.size());
  }
  std::size_t needed = mBody.size() + part.size();
  if (needed > mBody.capacity()) {
    std::size_t capacity = BodyCapacity(needed, mParser.BodyLength());
    if (!Reserve(mHeld, capacity)) {
      return false;
    }
    std::string larger;
    larger.reserve(capacity);
    larger += mBody;
    mBody.swap(larger);
  }
  mBody += part;
  return true;
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
  DropInput();
  if (mReceiving) {
    // The request in progress can't be completed.
    std::shared_ptr<server_exchange> receiving = std::move(mReceiving);
    mReceiving.reset();
    bool answering = receiving->mBegun;
    if (receiving->mHandler && receiving->mHandler->MayHaveRun()) {
      // 413 would promise that it has not run.
      mRejectStatus = status::kBadRequest;
    }
    CancelAll();
    if (answering) {
      RemoveFromList();
      CloseNow();
      return;
    }
  }
  if (mExchanges.empty()) {
    Reject(mRejectStatus);
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
  mRequestSince = mIdleSince;
  mProgressAt = mIdleSince;
  mProgressBytes = 0;
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
  bool pause = mParser.RemainingBytes() + waiting > kMaxReadAheadBytes &&
               (IsBusy() || mConnection->Unsent() > kMaxHeldAnswerBytes);
  if (pause != mReadAheadPaused && !mConnection->Closed()) {
    mReadAheadPaused = pause;
    mConnection->PauseReading(mReadAheadPaused || mBodyPaused);
  }
}

void
server_session::PauseBody(bool aPaused)
{
  mBodyPaused = aPaused;
  RestartProgress(); // while it is paused, the client is not the cause
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
      if (first->mHandler && Unsent() == 0) {
        // All bytes were taken at once, so that no event follows.
        std::shared_ptr<request_handler> handler = first->mHandler;
        handler->OnAnswerSent();
      }
      AccountAnswers();
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
  AccountAnswers();
  RestartProgress();
  mIdleSince = mProgressAt;
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
  for (const header_field& field : mServer.RefusalFields(aStatus)) {
    AppendField(text, field.name, field.value);
  }
  text += "\r\n";
  Send(text);
  DropInput();
  RemoveFromList();
  CloseAfterSending();
}

void
server_session::AccountAnswers()
{
  std::size_t bytes = mConnection->QueueMemory();
  for (const auto& exchange : mExchanges) {
    bytes += exchange->mOutgoing.size();
  }
  mAnswersHeld.Force(bytes);
}

void
server_session::EndIfAnswerStalled(time_point aNow, duration aLimit)
{
  if (mConnection->Closed() || mConnection->Unsent() == 0) {
    mAnswerTakenAt.reset();
    return;
  }
  std::uint64_t taken = mConnection->SentBytes();
  if (!mAnswerTakenAt || taken - mTakenBytes >= kMinProgressBytes) {
    mAnswerTakenAt = aNow;
    mTakenBytes = taken;
    return;
  }
  if (aNow - *mAnswerTakenAt <= aLimit) {
    return;
  }
  std::shared_ptr<server_session> self = shared_from_this();
  ++mList.mCounts.stalled;
  CancelAll();
  RemoveFromList();
  CloseNow();
  mAnswersHeld.Release();
}

void
server_session::OnSent()
{
  mAnswerTakenAt.reset();
  AccountAnswers();
  if (mExchanges.empty()) {
    ScheduleInput(); // what waited because the answers were not read
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
  mAnswerMoved = true;
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
  mAnswersHeld.Release();
  mList.AddClosing(mConnection, mLoop.Now());
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
server_session::CloseForOthers()
{
  if (mParser.Started()) {
    Reject(status::kRequestTimeout);
  } else {
    CloseIfIdle();
  }
}

void
server_session::EndIfStalled(time_point aNow, duration aLimit)
{
  std::shared_ptr<server_session> self = shared_from_this();
  if (mBodyPaused || mReadAheadPaused || mAnswerMoved) {
    // The client is not the cause of the delay, or the answer moves.
    mAnswerMoved = false;
    RestartProgress();
    return;
  }
  if (mConnection->Closed() || aNow - mProgressAt <= aLimit) {
    return;
  }
  if (mReceiving) {
    EndStalledUpload();
  } else if (!IsBusy() && mParser.HeadReady() && Unsent() == 0) {
    ++mList.mCounts.stalled;
    Reject(status::kRequestTimeout);
  }
}

void
server_session::EndStalledUpload()
{
  ++mList.mCounts.stalled;
  std::shared_ptr<server_exchange> exchange = mReceiving;
  std::shared_ptr<request_handler> handler = exchange->mHandler;
  if (handler && !exchange->mBegun) {
    handler->OnBodyStalled();
  }
  if (!exchange->mDone) {
    CancelAll();
    RemoveFromList();
    CloseNow();
  }
}

void
server_session::CheckTimeouts(time_point aNow)
{
  std::shared_ptr<server_session> self = shared_from_this();
  if (mReceiving) {
    EndIfStalled(aNow, mList.Limits().stall_time);
    return;
  }
  if (IsBusy()) {
    return;
  }
  traffic_limits limits = mServer.Limits();
  if (std::size_t unsent = Unsent(); unsent > 0) {
    // An answer that the client still reads keeps the connection.
    if (unsent != std::exchange(mCheckedUnsent, unsent)) {
      mIdleSince = aNow;
    }
    if (aNow - mIdleSince > limits.idle_timeout) {
      RemoveFromList();
      CloseNow();
    }
    return;
  }
  if (!mParser.Started()) {
    if (aNow - mIdleSince > limits.idle_timeout) {
      CloseIfIdle();
    }
    return;
  }
  if (mParser.HeadReady()) {
    EndIfStalled(aNow, mList.Limits().stall_time);
  } else if (aNow - mRequestSince > limits.head_timeout) {
    Reject(status::kRequestTimeout);
  }
}

} // namespace eelgrasstrack
