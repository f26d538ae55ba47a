#include "wire/control-attempt.h"

namespace eelgrasstrack {

namespace {

/// Maximum size of the body of an answer (8 MiB).
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;

} // namespace

control_attempt::control_attempt(endpoint aEndpoint,
                                 body_budget& aAnswerBytes,
                                 clock_source& aClock)
  : mEndpoint(std::move(aEndpoint))
  , mClock(aClock)
  , mHeld(aAnswerBytes)
{
}

void
control_attempt::Start(std::shared_ptr<client_channel> aChannel,
                       const std::string& aText,
                       response_callback aDone)
{
  mDone = std::move(aDone);
  mChannel = std::move(aChannel);
  mLastProgress = mClock.Now();
  mChannel->Begin(aText, shared_from_this(), {}, {});
}

void
control_attempt::Abort()
{
  mDone = nullptr;
  CloseChannel();
}

void
control_attempt::CloseChannel()
{
  if (std::shared_ptr<client_channel> channel = TakeChannel()) {
    channel->Abort();
  }
}

void
control_attempt::OnAnswerHead(message_head& aHead, std::optional<std::uint64_t>)
{
  mLastProgress = mClock.Now();
  mResponse.status = aHead.status;
  mResponse.fields = aHead.fields;
}

void
control_attempt::OnAnswerBody(std::string_view aBytes)
{
  mLastProgress = mClock.Now();
  if (mResponse.body.size() + aBytes.size() > kMaxAnswerBytes) {
    FailWith({ error_kind::too_large,
               "answer exceeds 8 MiB, from " + ToString(mEndpoint) });
    return;
  }
  if (!AppendReserved(mResponse.body, aBytes, mHeld)) {
    FailWith({ error_kind::too_large,
               "no memory left for the answer from " + ToString(mEndpoint) });
  }
}

void
control_attempt::OnAnswerEnd()
{
  Report(std::move(mResponse));
}

void
control_attempt::OnChannelFailed(const channel_failure& aFailure)
{
  bool unsent = aFailure.end == close_reason::connect_failed;
  FailWith(
    { unsent ? error_kind::upstream_unreachable : error_kind::upstream_broken,
      ToString(mEndpoint) + ": " + aFailure.reason,
      unsent ? execution::not_run : execution::unknown });
}

void
control_attempt::FailWith(error aError)
{
  CloseChannel();
  Report(tl::unexpected<error>(std::move(aError)));
}

void
control_attempt::Report(result<buffered_response> aResult)
{
  if (!mDone) {
    return;
  }
  std::shared_ptr<control_attempt> self = shared_from_this();
  response_callback done = std::move(mDone);
  mDone = nullptr;
  done(std::move(aResult));
}

} // namespace eelgrasstrack
