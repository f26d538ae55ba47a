#include "wire/client-channel.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/status-class.h"

namespace eelgrasstrack {

namespace {

constexpr std::string_view kKeepAliveTimeout = "timeout=";
/// Fraction of the server's announced idle timeout for which a connection is
/// reused, so that no request is sent while the server closes the connection.
constexpr double kIdleTimeoutFraction = 0.6;
/// Longer announced idle timeouts are taken for this one: one day.
constexpr double kMaxIdleSeconds = 86'400;
/// Bytes of unwanted bodies that are read in one exchange to keep the
/// connection.
constexpr std::size_t kMaxDroppedBytes = 64U << 10U;
/// Interim answers to one request that are skipped. A server that sends more
/// would hold the request until its deadline.
constexpr unsigned kMaxInterimAnswers = 8;

} // namespace

client_channel::client_channel(tcp_transport& aTransport)
  : mTransport(aTransport)
{
}

std::shared_ptr<client_channel>
client_channel::Open(tcp_transport& aTransport,
                     const endpoint& aEndpoint,
                     const connect_options& aOptions)
{
  auto channel = std::make_shared<client_channel>(aTransport);
  channel->mConnection = aTransport.Connect(aEndpoint, aOptions);
  if (!channel->mConnection) {
    return nullptr;
  }
  channel->mConnection->SetObserver(channel);
  channel->mIdleSince = aTransport.Loop().Now();
  return channel;
}

void
client_channel::Begin(std::string_view aBytes,
                      std::shared_ptr<observer> aObserver,
                      answer_identity aIdentity,
                      request_properties aProperties)
{
  mObserver = std::move(aObserver);
  mIdentity = std::move(aIdentity);
  mProperties = aProperties;
  mHeadDelivered = false;
  mDropsBody = false;
  mDroppedBytes = 0;
  mInterimCount = 0;
  mInExchange = true;
  if (mProperties.head_only) {
    mParser.ExpectNoBody();
  }
  if (mConnection) {
    mConnection->Send(aBytes);
  }
}

void
client_channel::SendBody(std::string_view aBytes, bool aLast)
{
  mProperties.complete = mProperties.complete || aLast;
  if (mConnection) {
    mConnection->Send(aBytes);
  }
}

void
client_channel::Abort()
{
  mObserver.reset();
  mKeepOpen = false;
  if (mConnection) {
    mConnection->Close();
  }
}

void
client_channel::PauseReading(bool aPaused)
{
  if (mConnection) {
    mConnection->PauseReading(aPaused);
  }
}

std::size_t
client_channel::Unsent() const
{
  return mConnection ? mConnection->Unsent() : 0;
}

bool
client_channel::Reusable(time_point aNow) const
{
  return IsOpen() && mKeepOpen && !mInExchange && aNow < mReusableUntil;
}

void
client_channel::OnSent()
{
  if (mObserver) {
    mObserver->OnRequestSent();
  }
}

void
client_channel::OnReceived(std::string_view aBytes)
{
  if (!mInExchange) {
    // After unsolicited bytes, answers on this connection can't be matched to
    // requests any more.
    mKeepOpen = false;
    mConnection->Close();
    return;
  }
  result<void> fed = mParser.Feed(aBytes);
  ReadAnswers();
  if (!fed && mInExchange) {
    FailInvalid(fed.error());
  }
}

void
client_channel::ReadAnswers()
{
  while (mInExchange && ReadAnswer()) {
  }
}

bool
client_channel::ReadAnswer()
{
  if (!mParser.HeadReady()) {
    return false;
  }
  if (!mHeadDelivered && !mSkippingAnswer && !ProcessHead()) {
    return false;
  }
  std::string part = mParser.TakeBody();
  if (mSkippingAnswer || mDropsBody) {
    mDroppedBytes += part.size();
    if (mDroppedBytes > kMaxDroppedBytes) {
      EndLongBody();
      return false;
    }
  } else if (!part.empty() && mObserver) {
    std::shared_ptr<observer> target = mObserver;
    target->OnAnswerBody(part);
  }
  if (!mInExchange || !mParser.Done()) {
    return false;
  }
  if (mSkippingAnswer) {
    mSkippingAnswer = false;
    if (result<void> next = mParser.Next(mProperties.head_only); !next) {
      FailInvalid(next.error());
      return false;
    }
    return true;
  }
  FinishExchange();
  return false;
}

bool
client_channel::ProcessHead()
{
  message_head& head = mParser.Head();
  if (status::IsInterim(head.status)) {
    return SkipInterimAnswer();
  }
  if (!status::IsFinal(head.status)) {
    FailInvalid({ error_kind::invalid_argument,
                  "status " + std::to_string(head.status) });
    return false;
  }
  if (!mIdentity.field.empty()) {
    const std::string* echoed = FindField(head.fields, mIdentity.field);
    if (echoed != nullptr && *echoed != mIdentity.value) {
      mSkippingAnswer = true;
      mKeepOpen = false;
      return true;
    }
  }
  RecordIdleTimeout(head.fields);
  mHeadDelivered = true;
  std::shared_ptr<observer> target = mObserver;
  if (target) {
    target->OnAnswerHead(head, mParser.BodyLength());
  }
  return mInExchange;
}

bool
client_channel::SkipInterimAnswer()
{
  ++mInterimCount;
  if (mInterimCount > kMaxInterimAnswers) {
    FailInvalid({ error_kind::invalid_argument,
                  "more than " + std::to_string(kMaxInterimAnswers) +
                    " interim answers" });
    return false;
  }
  mSkippingAnswer = true;
  return true;
}

void
client_channel::EndLongBody()
{
  if (mSkippingAnswer) {
    FailInvalid({ error_kind::too_large, "long body for another request" });
    return;
  }
  mKeepOpen = false;
  FinishExchange();
}

void
client_channel::RecordIdleTimeout(const header_fields& aFields)
{
  const std::string* value = FindField(aFields, "Keep-Alive");
  if (value == nullptr) {
    return;
  }
  std::size_t at = value->find(kKeepAliveTimeout);
  if (at == std::string::npos) {
    return;
  }
  double seconds = 0;
  const char* first = value->data() + at + kKeepAliveTimeout.size();
  std::from_chars(first, value->data() + value->size(), seconds);
  if (!std::isfinite(seconds) || seconds < 0) {
    seconds = 0; // a malformed time: not used again
  }
  seconds = std::min(seconds, kMaxIdleSeconds);
  constexpr double kMicroseconds = 1e6;
  mReusableUntil = mTransport.Loop().Now() +
                   duration(static_cast<std::int64_t>(
                     seconds * kIdleTimeoutFraction * kMicroseconds));
}

void
client_channel::FinishExchange()
{
  // A server that answers early reads on for the rest of the body, where the
  // next request would follow.
  bool reusable = mProperties.complete && mParser.RemainingBytes() == 0 &&
                  mParser.KeepAlive();
  mKeepOpen = mKeepOpen && reusable;
  mInExchange = false;
  mUsedBefore = true;
  mIdleSince = mTransport.Loop().Now();
  if (mKeepOpen) {
    (void)mParser.Next(); // can't fail without remaining bytes
  } else if (mConnection) {
    mConnection->Close();
  }
  std::shared_ptr<observer> target = std::move(mObserver);
  mObserver.reset();
  if (target) {
    target->OnAnswerEnd();
  }
}

void
client_channel::OnEnded(close_reason aEnd)
{
  mKeepOpen = false;
  if (!mInExchange) {
    return;
  }
  if (aEnd == close_reason::closed_by_peer && mHeadDelivered &&
      !mSkippingAnswer && mParser.FeedEnd() && mParser.Done()) {
    FinishExchange();
    return;
  }
  channel_failure failure;
  failure.end = aEnd;
  failure.connection_ended = true;
  failure.reason = "connection ended before the answer was complete";
  Fail(std::move(failure));
}

void
client_channel::FailInvalid(const error& aProblem)
{
  channel_failure failure;
  failure.reason = "invalid answer: " + aProblem.message;
  Fail(std::move(failure));
}

void
client_channel::Fail(channel_failure aFailure)
{
  aFailure.sent = mConnection && mConnection->HasSentBytes();
  aFailure.answered = mHeadDelivered;
  mInExchange = false;
  mKeepOpen = false;
  std::shared_ptr<observer> target = std::move(mObserver);
  mObserver.reset();
  if (mConnection) {
    mConnection->Close();
  }
  if (target) {
    target->OnChannelFailed(aFailure);
  }
}

} // namespace eelgrasstrack
