#include "proxy/streamed-exchange.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Above this number of unsent body bytes, the source of the body is paused.
constexpr std::size_t kMaxUnsentBytes = 256U << 10U;

} // namespace

streamed_exchange::streamed_exchange(std::shared_ptr<server_exchange> aExchange)
  : mExchange(std::move(aExchange))
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
    mExchange->PauseBody(true);
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
  if (mExchange) {
    mExchange->PauseBody(false);
  }
}

void
streamed_exchange::ForwardAnswerBody(std::string_view aBytes)
{
  mExchange->SendAnswerBody(aBytes);
  std::size_t limit = std::min(kMaxUnsentBytes, mExchange->MaxUnsent());
  if (!mRun || mExchange->Unsent() <= limit) {
    return;
  }
  // Only bytes that the connection has are followed by `OnAnswerSent`.
  mExchange->Flush();
  if (mExchange->Unsent() > limit) {
    mRun->PauseAnswer(true);
  }
}

} // namespace eelgrasstrack
