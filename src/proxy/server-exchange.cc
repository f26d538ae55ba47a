#include "proxy/server-exchange.h"

#include "proxy/server-session.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// Bytes of an answer that are collected before they are given to the
/// connection.
constexpr std::size_t kWriteBufferBytes = 32U << 10U;

} // namespace

server_exchange::server_exchange(std::shared_ptr<server_session> aSession,
                                 request_properties aProperties)
  : mSession(std::move(aSession))
  , mProperties(aProperties)
{
}

void
server_exchange::Answer(int aStatus,
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
server_exchange::BeginAnswer(const message_head& aHead,
                             std::optional<std::uint64_t> aLength)
{
  bool bodyless =
    aHead.status == status::kNoContent || aHead.status == status::kNotModified;
  mBegun = true;
  AppendStatusLine(mOutgoing, aHead.status, aHead.reason);
  for (const header_field& field : aHead.fields) {
    AppendField(mOutgoing, field.name, field.value);
  }
  mChunked = !aLength && !bodyless;
  if (aLength && !bodyless) {
    AppendField(mOutgoing, "Content-Length", std::to_string(*aLength));
  } else if (mChunked) {
    AppendField(mOutgoing, "Transfer-Encoding", "chunked");
  }
  mCloseAfter = mSession->ClosesAfter(*this);
  if (mCloseAfter) {
    AppendField(mOutgoing, "Connection", "close");
  }
  mOutgoing += "\r\n";
  if (mProperties.head_only) {
    mChunked = false;
  }
}

void
server_exchange::SendAnswerBody(std::string_view aBytes)
{
  if (mProperties.head_only) {
    return;
  }
  if (mChunked) {
    AppendChunk(mOutgoing, aBytes);
  } else {
    mOutgoing += aBytes;
  }
  if (mOutgoing.size() > kWriteBufferBytes) {
    Flush();
  }
  mSession->AccountAnswers();
}

void
server_exchange::EndAnswer()
{
  std::shared_ptr<server_exchange> self = shared_from_this();
  if (mChunked) {
    mOutgoing += kLastChunk;
  }
  mDone = true;
  mHandler.reset();
  mSession->SendFinishedAnswers();
}

void
server_exchange::AbortAnswer()
{
  std::shared_ptr<server_exchange> self = shared_from_this();
  mHandler.reset();
  mSession->AbortFrom(*this);
}

std::size_t
server_exchange::Unsent() const
{
  bool sending = mSession->IsFirst(*this);
  return mOutgoing.size() + (sending ? mSession->Unsent() : 0);
}

std::size_t
server_exchange::MaxUnsent() const
{
  return mSession->MaxUnsent();
}

void
server_exchange::PauseBody(bool aPaused)
{
  mSession->PauseBody(aPaused);
}

void
server_exchange::Flush()
{
  if (!mOutgoing.empty() && mSession->IsFirst(*this)) {
    mSession->Send(mOutgoing);
    mOutgoing.clear();
  }
}

} // namespace eelgrasstrack
