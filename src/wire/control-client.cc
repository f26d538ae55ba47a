#include "wire/control-client.h"

#include "wire/control-attempt.h"

namespace eelgrasstrack {

namespace {

/// Maximum number of idle connections that are kept to one address.
constexpr std::size_t kMaxIdlePerEndpoint = 2;

std::string
FormatRequest(const endpoint& aEndpoint, const buffered_request& aRequest)
{
  std::string text;
  message_head head;
  head.method = aRequest.method;
  head.target = aRequest.target;
  AppendRequestLine(text, head);
  AppendField(text, "Host", ToString(aEndpoint));
  for (const header_field& field : aRequest.fields) {
    AppendField(text, field.name, field.value);
  }
  if (!aRequest.body.empty() || aRequest.method != "GET") {
    AppendField(text, "Content-Type", "application/json");
    AppendField(text, "Content-Length", std::to_string(aRequest.body.size()));
  }
  text += "\r\n";
  text += aRequest.body;
  return text;
}

} // namespace

/// One call in progress: one attempt, or two if the request is sent again. Its
/// attempts and timers keep it alive.
class control_call final : public std::enable_shared_from_this<control_call>
{
public:
  control_call(control_client& aClient,
               endpoint aEndpoint,
               const call_options& aOptions,
               response_callback aDone)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
    , mOptions(aOptions)
    , mDone(std::move(aDone))
    , mStartedAt(Loop().Now())
  {
  }

  void Start(std::shared_ptr<client_channel> aChannel, std::string aText)
  {
    mTimeoutTimer = Loop().RunAfter(
      mOptions.timeout, [self = shared_from_this()] { self->TimeOut(); });
    StartAttempt(std::move(aChannel), aText);
    if (mOptions.resend_after > duration(0)) {
      mText = std::move(aText);
      ResendAfter(mOptions.resend_after);
    }
  }

private:
  loop& Loop() { return mClient.mTransport.Loop(); }

  void StartAttempt(std::shared_ptr<client_channel> aChannel,
                    const std::string& aText)
  {
    auto attempt = std::make_shared<control_attempt>(
      mEndpoint, mClient.mAnswerBytes, Loop());
    mRunning.push_back(attempt);
    attempt->Start(std::move(aChannel),
                   aText,
                   [self = shared_from_this(),
                    ended = attempt.get()](result<buffered_response> aResult) {
                     self->OnAttemptEnded(*ended, std::move(aResult));
                   });
  }

  void ResendAfter(duration aDelay)
  {
    mResendTimer = Loop().RunAfter(
      aDelay, [self = shared_from_this()] { self->ResendIfSilent(); });
  }

  void ResendIfSilent()
  {
    duration silence = Loop().Now() - mRunning.front()->LastProgress();
    if (silence < mOptions.resend_after) {
      ResendAfter(mOptions.resend_after - silence);
      return;
    }
    std::string text = std::move(mText);
    // Without a descriptor for a second attempt, the first one goes on alone.
    if (std::shared_ptr<client_channel> channel = mClient.Open(mEndpoint)) {
      StartAttempt(std::move(channel), text);
    }
  }

  void OnAttemptEnded(control_attempt& aAttempt,
                      result<buffered_response> aResult)
  {
    bool first = &aAttempt == mRunning.front().get();
    std::shared_ptr<client_channel> channel = aAttempt.TakeChannel();
    std::erase_if(mRunning,
                  [&](const std::shared_ptr<control_attempt>& aRunning) {
                    return aRunning.get() == &aAttempt;
                  });
    if (!aResult) {
      OnAttemptFailed(std::move(aResult.error()));
      return;
    }
    if (!first) {
      mClient.CloseUnusedSince(mEndpoint, mStartedAt);
    }
    mClient.Release(mEndpoint, std::move(channel));
    Finish(std::move(aResult));
  }

  /// The call fails with its last attempt. What an attempt may have run stays
  /// unknown, whatever becomes of the other one.
  void OnAttemptFailed(error aError)
  {
    if (!mFailure || mFailure->execution_status == execution::not_run) {
      mFailure = std::move(aError);
    }
    if (mRunning.empty()) {
      Finish(tl::unexpected<error>(*mFailure));
    }
  }

  void TimeOut()
  {
    mClient.CloseUnusedSince(mEndpoint, mStartedAt);
    Finish(Fail(error_kind::deadline_exceeded,
                "no answer before the timeout from " + ToString(mEndpoint)));
  }

  void Finish(result<buffered_response> aResult)
  {
    Loop().Cancel(mTimeoutTimer);
    Loop().Cancel(mResendTimer);
    for (const std::shared_ptr<control_attempt>& attempt :
         std::exchange(mRunning, {})) {
      attempt->Abort();
    }
    response_callback done = std::move(mDone);
    done(std::move(aResult));
  }

  control_client& mClient;
  endpoint mEndpoint;
  call_options mOptions;
  response_callback mDone;
  time_point mStartedAt;
  /// Request to send again.
  std::string mText;
  /// Attempts without a result; the first one, unless it has failed, in front.
  std::vector<std::shared_ptr<control_attempt>> mRunning;
  /// Failure of one of two attempts.
  std::optional<error> mFailure;
  timer_id mTimeoutTimer = 0;
  timer_id mResendTimer = 0;
};

control_client::control_client(tcp_transport& aTransport)
  : mTransport(aTransport)
{
}

void
control_client::Call(const endpoint& aEndpoint,
                     buffered_request aRequest,
                     const call_options& aOptions,
                     response_callback aDone)
{
  std::shared_ptr<client_channel> channel =
    aOptions.new_connection ? Open(aEndpoint) : Acquire(aEndpoint);
  if (!channel) {
    mTransport.Loop().RunAfter(duration(0), [aDone, aEndpoint] {
      aDone(
        Fail(error_kind::upstream_unreachable,
             "no file descriptor available to call " + ToString(aEndpoint)));
    });
    return;
  }
  auto call = std::make_shared<control_call>(
    *this, aEndpoint, aOptions, std::move(aDone));
  call->Start(std::move(channel), FormatRequest(aEndpoint, aRequest));
}

void
control_client::Call(const endpoint& aEndpoint,
                     buffered_request aRequest,
                     duration aTimeout,
                     response_callback aDone)
{
  Call(aEndpoint,
       std::move(aRequest),
       call_options{ .timeout = aTimeout },
       std::move(aDone));
}

std::shared_ptr<client_channel>
control_client::Acquire(const endpoint& aEndpoint)
{
  auto found = mIdle.find(ToString(aEndpoint));
  if (found != mIdle.end()) {
    if (std::shared_ptr<client_channel> channel =
          found->second.Acquire(mTransport.Loop().Now())) {
      return channel;
    }
  }
  return Open(aEndpoint);
}

std::shared_ptr<client_channel>
control_client::Open(const endpoint& aEndpoint)
{
  return client_channel::Open(mTransport, aEndpoint, {});
}

void
control_client::Release(const endpoint& aEndpoint,
                        std::shared_ptr<client_channel> aChannel)
{
  mIdle.try_emplace(ToString(aEndpoint), kMaxIdlePerEndpoint)
    .first->second.Release(std::move(aChannel), mTransport.Loop().Now());
}

void
control_client::CloseIdle(duration aUnusedFor)
{
  time_point now = mTransport.Loop().Now();
  for (auto& [address, pool] : mIdle) {
    pool.CloseIdle(aUnusedFor, now);
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.Empty(); });
}

void
control_client::CloseIdleTo(const endpoint& aEndpoint)
{
  auto found = mIdle.find(ToString(aEndpoint));
  if (found != mIdle.end()) {
    found->second.Clear();
  }
}

void
control_client::CloseUnusedSince(const endpoint& aEndpoint, time_point aMark)
{
  auto found = mIdle.find(ToString(aEndpoint));
  if (found != mIdle.end()) {
    found->second.CloseUnusedSince(aMark);
  }
}

} // namespace eelgrasstrack
