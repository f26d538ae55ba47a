#include "proxy/instance-run.h"

#include "base/log.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// A connection to the instance that has been idle for longer is not reused for
/// a request that is not idempotent, because the instance may be closing it.
constexpr duration kNonIdempotentIdleTimeout = std::chrono::milliseconds(1500);
/// A larger body is not kept after it was sent.
constexpr std::size_t kMaxKeptBodyBytes = 16U << 10U;
/// Fewer bytes count as no progress.
constexpr std::size_t kMinProgressBytes = 4096;

} // namespace

instance_run::instance_run(instance_dispatcher& aDispatcher,
                           run_id aId,
                           forwarded_request aRequest,
                           std::shared_ptr<answer_sink> aSink)
  : channel_run(std::move(aRequest), std::move(aSink))
  , mDispatcher(aDispatcher)
  , mId(aId)
  , mVersion(aDispatcher.mInstance.version)
  , mIncarnation(IncarnationOf(aDispatcher.mInstance))
  , mExpectedBytes(aDispatcher.mAnswerSizes.Expected(mRequest.route))
  , mUploading(!mRequest.body_complete)
{
  if (mExpectedBytes <= kSmallMessageBytes) {
    mExpectedBytes = 0;
  }
}

void
instance_run::Start()
{
  mStarted = true;
  if (const crash_table& crashes = mDispatcher.mCrashes; !crashes.Empty()) {
    mKnownCrashes = crashes.Find(Fingerprint());
    if (crashes.IsQuarantined(Fingerprint())) {
      RefuseLater(run_failure_reason::quarantined);
      return;
    }
  }
  Dispatch();
}

void
instance_run::Refuse(run_failure_reason aReason, duration aRetryAfter)
{
  run_failure failure;
  failure.reason = aReason;
  failure.not_run = true;
  failure.retry_after = aRetryAfter;
  FailWith(failure);
}

void
instance_run::Cancel()
{
  mSink.reset();
  if (mChannel) {
    mChannel->Abort();
    mChannel.reset();
  }
  if (mStarted) {
    mDispatcher.Report(UnansweredResult());
    EndRun(duration(0));
  } else {
    mDispatcher.mQueue.Remove(mId);
    mDispatcher.RemoveRun(mId);
  }
}

void
instance_run::SendBody(std::string_view aBytes, bool aLast)
{
  RecordMoved(aBytes.size());
  if (aLast && mUploading && mSink) {
    mUploading = false;
    mDispatcher.RecordUploadEnd();
  }
  if (!mChannel) {
    mRequest.body.append(aBytes);
    mRequest.body_complete = mRequest.body_complete || aLast;
    return;
  }
  channel_run::SendBody(aBytes, aLast);
}

void
instance_run::OnRequestSent()
{
  if (mUploading) {
    mMovedAt = mDispatcher.mTransport.Loop().Now();
  }
  channel_run::OnRequestSent();
}

void
instance_run::RecordMoved(std::size_t aBytes)
{
  mMovedBytes += aBytes;
  if (mMovedBytes >= kMinProgressBytes) {
    mMovedAt = mDispatcher.mTransport.Loop().Now();
    mMovedBytes = 0;
  }
}

bool
instance_run::IsStalled(time_point aNow, duration aLimit) const
{
  return mStarted && mSink && IsUploading() && Unsent() == 0 &&
         aNow - mMovedAt > aLimit;
}

void
instance_run::EndStalled()
{
  if (mEnded || !mSink) {
    return;
  }
  LogEvent(log_level::info,
           "upload_stalled",
           { { "request", mRequest.request_id },
             { "instance", mRequest.instance },
             { "after_ms", std::to_string(Milliseconds(Elapsed())) } });
  if (mChannel) {
    mChannel->Abort();
    mChannel.reset();
  }
  mDispatcher.Report(UnansweredResult());
  run_failure failure;
  failure.reason = run_failure_reason::upload_stalled;
  failure.reached_instance = true;
  FailWith(failure);
}

void
instance_run::DropSentBody()
{
  if (mRequest.body.size() > kMaxKeptBodyBytes) {
    mFingerprint = Fingerprint();
    std::string().swap(mRequest.body);
  }
}

std::size_t
instance_run::Unsent() const
{
  return mChannel ? channel_run::Unsent() : mRequest.body.size();
}

void
instance_run::FailInterrupted(bool aCrashed)
{
  if (!mEnded) {
    FailWithoutAnswer(aCrashed ? run_failure_reason::crashed
                               : run_failure_reason::broken,
                      mInterruption);
  }
}

run_result
instance_run::UnansweredResult() const
{
  return { mRequest.route, mVersion, false, true, Elapsed() };
}

void
instance_run::OnAnswerHead(message_head& aHead,
                           std::optional<std::uint64_t> aLength)
{
  const header_names& names = mDispatcher.mNames;
  if (!IsMatched(aHead)) {
    mUnmatched = true;
    mChannel->DropBody();
    return;
  }
  bool refused = FindField(aHead.fields, names.not_executed) != nullptr ||
                 aHead.status == status::kMisdirected;
  bool stamped = FindField(aHead.fields, names.server_stamp) != nullptr;
  // A misdirected request may have reached another instance.
  if (aHead.status != status::kMisdirected && (refused || stamped)) {
    mDispatcher.RecordNotices(aHead.fields, mIncarnation);
  }
  if (refused) {
    mRefused = true;
    mChannel->DropBody();
    return;
  }
  bool success = status::IsSuccess(aHead.status);
  if (success && !stamped) {
    mMissingStamp = true; // not an answer of an instance
    mChannel->DropBody();
    return;
  }
  mStatus = aHead.status;
  message_head head = std::move(aHead);
  KeepEndToEndFields(head.fields, names);
  mSink->OnAnswer(std::move(head), aLength, mDispatcher.Load());
}

void
instance_run::OnAnswerBody(std::string_view aBytes)
{
  mAnswerBytes += aBytes.size();
  if (IsUploading()) {
    RecordMoved(aBytes.size());
  }
  if (mSink) {
    mSink->OnAnswerBody(aBytes);
  }
}

void
instance_run::OnAnswerEnd()
{
  if (mUnmatched) {
    mChannel->Abort();
  } else {
    mDispatcher.mIdleChannels.Release(std::move(mChannel),
                                      mDispatcher.mTransport.Loop().Now());
  }
  mChannel.reset();
  if (mUnmatched || mMissingStamp || mRefused) {
    FailWithoutUsableAnswer();
    return;
  }
  RecordSurvival();
  ReportResult(status::IsServerError(mStatus));
  if (status::IsSuccess(mStatus)) {
    mDispatcher.mAnswerSizes.Record(mRequest.route, mAnswerBytes);
  }
  std::shared_ptr<answer_sink> sink = std::move(mSink);
  mSink.reset();
  EndRun(!status::IsServerError(mStatus) ? Elapsed() : duration(0));
  if (sink) {
    sink->OnAnswerEnd();
  }
}

void
instance_run::OnChannelFailed(const channel_failure& aFailure)
{
  mChannel.reset();
  if (!aFailure.sent && aFailure.end == close_reason::connect_failed) {
    mDispatcher.HandleRefusal();
    Refuse(run_failure_reason::unreachable, duration(0));
    return;
  }
  if (aFailure.connection_ended) {
    mInterruption = aFailure.reason;
    mDispatcher.HandleInterruption(shared_from_this());
    return;
  }
  FailWithoutAnswer(run_failure_reason::broken, aFailure.reason);
}

void
instance_run::Dispatch()
{
  time_point now = mDispatcher.mTransport.Loop().Now();
  mDispatchedAt = now;
  mMovedAt = now;
  std::shared_ptr<client_channel> channel = mDispatcher.AcquireChannel(false);
  if (channel && !mRequest.idempotent && channel->UsedBefore() &&
      now - channel->IdleSince() > kNonIdempotentIdleTimeout) {
    channel->Abort();
    channel = mDispatcher.AcquireChannel(true);
  }
  if (!channel) {
    RefuseLater(run_failure_reason::unreachable); // no descriptor is left
    return;
  }
  mChannel = channel;
  ++mDispatcher.mSentCount;
  channel->Begin(RequestText(now),
                 shared_from_this(),
                 { mDispatcher.mNames.request_id, mRequest.request_id },
                 { mRequest.head.method == "HEAD", mRequest.body_complete });
  DropSentBody();
}

bool
instance_run::IsMatched(const message_head& aHead) const
{
  return mRequest.request_id.empty() || !mChannel->UsedBefore() ||
         FindField(aHead.fields, mDispatcher.mNames.request_id) != nullptr;
}

void
instance_run::FailWithoutUsableAnswer()
{
  if (mUnmatched) {
    FailWithoutAnswer(run_failure_reason::broken,
                      "answer without the request's id on a used connection");
    return;
  }
  if (mMissingStamp) {
    FailWithoutAnswer(run_failure_reason::broken,
                      "success response without the server stamp field");
    return;
  }
  run_failure failure;
  failure.reason = run_failure_reason::refused_by_instance;
  failure.not_run = true;
  failure.reached_instance = true;
  FailWith(failure);
}

void
instance_run::RefuseLater(run_failure_reason aReason)
{
  mDispatcher.mTransport.Loop().RunAfter(duration(0),
                                         [self = shared_from_this(), aReason] {
                                           self->Refuse(aReason, duration(0));
                                         });
}

void
instance_run::RecordSurvival()
{
  crash_table& crashes = mDispatcher.mCrashes;
  if (!crashes.Empty() && mStatus != status::kGatewayTimeout) {
    crashes.RecordAnswer(Fingerprint(), mDispatcher.mTransport.Loop().Now());
  }
}

std::string
instance_run::RequestText(time_point aNow)
{
  const header_names& names = mDispatcher.mNames;
  std::string text;
  AppendRequestLine(text, mRequest.head);
  AppendForwardedFields(text, mRequest.head);
  std::int64_t left = Milliseconds(mRequest.deadline - aNow);
  AppendField(text, names.timeout_ms, std::to_string(left > 1 ? left : 1));
  AppendField(text, names.target_instance, mRequest.instance);
  AppendField(text, names.caller_service, mRequest.caller_service);
  mBody.Begin(text, mRequest);
  return text;
}

duration
instance_run::Elapsed() const
{
  return mDispatcher.mTransport.Loop().Now() - mDispatchedAt;
}

void
instance_run::ReportResult(bool aFailed)
{
  mDispatcher.Report({ mRequest.route, mVersion, aFailed, false, Elapsed() });
}

void
instance_run::FailWithoutAnswer(run_failure_reason aReason,
                                const std::string& aDetail)
{
  LogEvent(log_level::info,
           "instance_answer_broken",
           { { "request", mRequest.request_id },
             { "instance", mRequest.instance },
             { "reason", aDetail },
             { "after_ms", std::to_string(Milliseconds(Elapsed())) } });
  ReportResult(true);
  run_failure failure;
  failure.reason = aReason;
  failure.reached_instance = true;
  FailWith(failure);
}

void
instance_run::FailWith(run_failure aFailure)
{
  aFailure.load = mDispatcher.Load();
  std::shared_ptr<answer_sink> sink = std::move(mSink);
  mSink.reset();
  std::shared_ptr<instance_run> self = shared_from_this();
  if (mStarted) {
    EndRun(duration(0));
  } else {
    mDispatcher.RemoveRun(mId);
  }
  if (sink) {
    sink->OnRunFailed(aFailure);
  }
}

void
instance_run::EndRun(duration aDuration)
{
  std::shared_ptr<instance_run> self = shared_from_this();
  if (!mEnded) {
    mEnded = true;
    mDispatcher.FinishRun(mId, mRequest.route, aDuration);
  }
}

} // namespace eelgrasstrack
