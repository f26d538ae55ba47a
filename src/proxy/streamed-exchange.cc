#include "proxy/streamed-exchange.h"

namespace eelgrasstrack {

namespace {

/// Above this number of unsent body bytes, the source of the body is paused.
constexpr std::size_t kMaxUnsentBytes = 256U << 10U;

} // namespace

streamed_exchange::streamed_exchange(std::shared_ptr<server_session> aSession)
  : mSession(std::move(aSession))
{
}

void
streamed_exchange::OnRequestBody(std::string_view aBytes, bool aLast)
{
  if (!mRun) {
    return;
  }
  mRun->SendBody(aBytes, aLast);
  if (mRun->Unsent() > kMaxUnsentBytes) {
    mSession->PauseBody(true);
  }
}

void
streamed_exchange::OnAnswerSent()
{
  if (mRun) {
    mRun->PauseAnswer(false);
  }
}

void
streamed_exchange::OnBodyWritable()
{
  if (mSession) {
    mSession->PauseBody(false);
  }
}

void
streamed_exchange::ForwardAnswerBody(std::string_view aBytes)
{
  mSession->SendAnswerBody(aBytes);
  if (mRun && mSession->Unsent() > kMaxUnsentBytes) {
    mRun->PauseAnswer(true);
  }
}

} // namespace eelgrasstrack
