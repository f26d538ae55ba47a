#ifndef EELGRASSTRACK_PROXY_INSTANCE_RUN_H_
#define EELGRASSTRACK_PROXY_INSTANCE_RUN_H_

#include "proxy/channel-run.h"
#include "proxy/instance-dispatcher.h"

namespace eelgrasstrack {

/// A waiting or running request at the last hop.
class instance_run final
  : public channel_run
  , public std::enable_shared_from_this<instance_run>
{
public:
  instance_run(instance_dispatcher& aDispatcher,
               run_id aId,
               forwarded_request aRequest,
               std::shared_ptr<answer_sink> aSink);

  /// Expected size of a large answer, 0 of a small one.
  std::size_t ExpectedBytes() const { return mExpectedBytes; }

  /// Sends the request to the instance.
  void Start();

  /// Ends the request as not run.
  void Refuse(run_failure_reason aReason, duration aRetryAfter);

  void Cancel() override;

  void SendBody(std::string_view aBytes, bool aLast) override;

  std::size_t Unsent() const override;

  void OnRequestSent() override;

  /// Whether the rest of the body has not arrived yet.
  bool IsUploading() const { return mUploading; }
  /// Whether the request has a slot and neither its body nor its answer has
  /// moved for `aLimit`, though the instance has taken all that arrived.
  bool IsStalled(time_point aNow, duration aLimit) const;
  /// When the body or the answer last moved.
  time_point MovedAt() const { return mMovedAt; }
  /// Ends a request that `IsStalled`. It may have run.
  void EndStalled();

  /// Ends the request after its connection ended without an answer.
  void FailInterrupted(bool aCrashed);

  bool Started() const { return mStarted; }
  /// Whether the request was sent and its connection has not ended.
  bool IsConnected() const { return mChannel && mChannel->Sent(); }
  time_point DispatchedAt() const { return mDispatchedAt; }
  const forwarded_request& Request() const { return mRequest; }
  request_fingerprint Fingerprint() const
  {
    return mFingerprint ? *mFingerprint : FingerprintOf(mRequest);
  }
  /// What was known of crashes beside the request when it was sent.
  const crash_count& KnownCrashes() const { return mKnownCrashes; }

  /// The result of a request that has no answer yet.
  run_result UnansweredResult() const;

  void OnAnswerHead(message_head& aHead,
                    std::optional<std::uint64_t> aLength) override;

  void OnAnswerBody(std::string_view aBytes) override;

  void OnAnswerEnd() override;

  void OnChannelFailed(const channel_failure& aFailure) override;

private:
  /// Sends the request on an idle or new connection.
  void Dispatch();

  /// Whether the answer belongs to this request. Without an id, it may be the
  /// copy of an answer to an earlier request on the connection.
  bool IsMatched(const message_head& aHead) const;

  /// Ends the request after a refusal, or what is no answer to it.
  void FailWithoutUsableAnswer();

  /// Refuses asynchronously, because the caller of
  /// `instance_dispatcher::Dispatch` does not have the handle yet.
  void RefuseLater(run_failure_reason aReason);

  /// Records that the instance has answered the request and not crashed. An
  /// instance that answers at the deadline may still be running it.
  void RecordSurvival();

  /// Gives up the copy of a large body that was sent, or whose rest follows.
  void DropSentBody();
  void RecordMoved(std::size_t aBytes);

  /// The head of the request and the first part of its body.
  std::string RequestText(time_point aNow);

  duration Elapsed() const;

  /// Reports the result as evidence for a rollout.
  void ReportResult(bool aFailed);

  void FailWithoutAnswer(run_failure_reason aReason,
                         const std::string& aDetail);

  void FailWith(run_failure aFailure);

  /// Frees the slot. `aDuration` is zero if it must not count in the averages.
  void EndRun(duration aDuration);

  instance_dispatcher& mDispatcher;
  run_id mId;
  std::string mVersion;
  instance_incarnation mIncarnation;
  std::size_t mExpectedBytes;
  bool mUploading;
  std::size_t mAnswerBytes = 0;
  time_point mDispatchedAt{};
  /// When the body or the answer last moved enough, and the bytes since.
  time_point mMovedAt{};
  std::size_t mMovedBytes = 0;
  /// Fingerprint of a body that was given up.
  std::optional<request_fingerprint> mFingerprint;
  /// How the connection ended before the answer was complete; empty if it did
  /// not.
  std::string mInterruption;
  crash_count mKnownCrashes;
  int mStatus = 0;
  /// The instance said that it has not run the request.
  bool mRefused = false;
  /// A success response had no server stamp, so no instance made it.
  bool mMissingStamp = false;
  /// The answer may belong to another request.
  bool mUnmatched = false;
  bool mStarted = false;
  bool mEnded = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INSTANCE_RUN_H_
