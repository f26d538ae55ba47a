#include "proxy/instance-dispatcher.h"

#include <algorithm>

#include "base/invariant.h"
#include "base/log.h"
#include "proxy/channel-run.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// How often waiting requests are looked at for those that are too late.
constexpr duration kSweepPeriod = std::chrono::milliseconds(20);
/// A connection to the instance that was idle for longer is not used again
/// for a request that must not run twice: the instance may be closing it.
constexpr duration kIdleLimitForUnsafe = std::chrono::milliseconds(1500);
constexpr duration kIdleLimit = std::chrono::seconds(6);
/// Time kept back from the drain time for the way to the instance.
constexpr duration kDrainReserve = std::chrono::milliseconds(500);
/// Time within which a connection to the instance beside must come to be.
constexpr duration kUnacknowledgedLimit = std::chrono::seconds(2);

} // namespace

/// One request at the last hop, waiting or running.
class instance_run final
  : public channel_run
  , public std::enable_shared_from_this<instance_run>
{
public:
  instance_run(instance_dispatcher& aPort,
               run_id aId,
               forwarded_request aRequest,
               std::shared_ptr<answer_sink> aSink)
    : channel_run(std::move(aRequest), std::move(aSink))
    , mPort(aPort)
    , mId(aId)
    , mVersion(aPort.mInstance.version)
  {
  }

  void Start()
  {
    mStarted = true;
    Dispatch();
  }

  void Refuse(run_failure_reason aReason, duration aRoomIn)
  {
    run_failure failure;
    failure.reason = aReason;
    failure.not_run = true;
    failure.retry_after = aRoomIn;
    FailWith(failure);
  }

  void Cancel() override
  {
    mSink.reset();
    if (mChannel) {
      mChannel->Abort();
      mChannel.reset();
    }
    if (mStarted) {
      EndRun(duration(0));
    } else {
      mPort.mQueue.Remove(mId);
      mPort.mRuns.erase(mId);
    }
  }

  void SendBody(std::string_view aBytes, bool aLast) override
  {
    if (!mChannel) {
      mRequest.body.append(aBytes);
      mRequest.body_complete = mRequest.body_complete || aLast;
      return;
    }
    channel_run::SendBody(aBytes, aLast);
  }

  std::size_t Unsent() const override
  {
    return mChannel ? channel_run::Unsent() : mRequest.body.size();
  }

  void OnAnswerHead(message_head& aHead,
                    std::optional<std::uint64_t> aLength) override
  {
    const header_names& names = mPort.mNames;
    if (FindField(aHead.fields, names.not_executed) != nullptr ||
        aHead.status == status::kMisdirected) {
      mRefusedStatus = aHead.status;
      return;
    }
    bool success = status::IsSuccess(aHead.status);
    if (success && FindField(aHead.fields, names.server_stamp) == nullptr) {
      mBad = true; // no instance made it
      return;
    }
    mStatus = aHead.status;
    message_head head = std::move(aHead);
    KeepEndToEndFields(head.fields, names);
    mSink->OnAnswer(std::move(head), aLength, mPort.Load());
  }

  void OnAnswerBody(std::string_view aBytes) override
  {
    if (mSink && mRefusedStatus == 0 && !mBad) {
      mSink->OnAnswerBody(aBytes);
    }
  }

  void OnAnswerEnd() override
  {
    mPort.mIdle.Release(std::move(mChannel), mPort.mHost.Loop().Now());
    mChannel.reset();
    if (mRefusedStatus != 0) {
      run_failure failure;
      failure.reason = run_failure_reason::refused_by_instance;
      failure.not_run = true;
      failure.reached_instance = true;
      FailWith(failure);
      return;
    }
    if (mBad) {
      FailBroken("a success without the instance's mark");
      return;
    }
    Judge(status::IsServerError(mStatus));
    std::shared_ptr<answer_sink> sink = std::move(mSink);
    mSink.reset();
    EndRun(!status::IsServerError(mStatus) ? Took() : duration(0));
    if (sink) {
      sink->OnAnswerEnd();
    }
  }

  void OnChannelFailed(const channel_failure& aFailure) override
  {
    mChannel.reset();
    if (!aFailure.sent && aFailure.end == close_reason::connect_failed) {
      Refuse(run_failure_reason::unreachable, duration(0));
      return;
    }
    FailBroken(aFailure.reason);
  }

private:
  void Dispatch()
  {
    time_point now = mPort.mHost.Loop().Now();
    mDispatched = now;
    std::shared_ptr<client_channel> channel = mPort.TakeChannel(false);
    if (channel && !mRequest.idempotent && channel->UsedBefore() &&
        now - channel->IdleSince() > kIdleLimitForUnsafe) {
      channel->Abort();
      channel = mPort.TakeChannel(true);
    }
    if (!channel) {
      // No descriptor is left. The caller does not hold the handle yet.
      mPort.mHost.Loop().RunAfter(duration(0), [self = shared_from_this()] {
        self->Refuse(run_failure_reason::unreachable, duration(0));
      });
      return;
    }
    mChannel = channel;
    channel->Begin(RequestText(now),
                   shared_from_this(),
                   { mPort.mNames.request_id, mRequest.request_id },
                   mRequest.head.method == "HEAD");
  }

  std::string RequestText(time_point aNow)
  {
    const header_names& names = mPort.mNames;
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

  duration Took() const { return mPort.mHost.Loop().Now() - mDispatched; }

  void Judge(bool aFailed)
  {
    mPort.Report({ mRequest.route, mVersion, aFailed, Took() });
  }

  void FailBroken(const std::string& aReason)
  {
    LogEvent(log_level::info,
             "instance_answer_broken",
             { { "request", mRequest.request_id },
               { "instance", mRequest.instance },
               { "reason", aReason },
               { "after_ms", std::to_string(Milliseconds(Took())) } });
    Judge(true);
    run_failure failure;
    failure.reason = run_failure_reason::broken;
    failure.reached_instance = true;
    FailWith(failure);
  }

  void FailWith(run_failure aFailure)
  {
    aFailure.load = mPort.Load();
    std::shared_ptr<answer_sink> sink = std::move(mSink);
    mSink.reset();
    std::shared_ptr<instance_run> self = shared_from_this();
    if (mStarted) {
      EndRun(duration(0));
    } else {
      mPort.mRuns.erase(mId);
    }
    if (sink) {
      sink->OnRunFailed(aFailure);
    }
  }

  void EndRun(duration aTook)
  {
    std::shared_ptr<instance_run> self = shared_from_this();
    if (!mEnded) {
      mEnded = true;
      mPort.Ended(mId, mRequest.route, aTook);
    }
  }

  instance_dispatcher& mPort;
  run_id mId;
  std::string mVersion;
  time_point mDispatched{};
  int mStatus = 0;
  int mRefusedStatus = 0;
  bool mBad = false;
  bool mStarted = false;
  bool mEnded = false;
};

instance_dispatcher::instance_dispatcher(tcp_transport& aHost,
                                         const header_names& aNames)
  : mHost(aHost)
  , mNames(aNames)
{
}

void
instance_dispatcher::SetInstance(const instance_record& aInstance)
{
  bool other = aInstance.id != mInstance.id ||
               aInstance.started_unix_ms != mInstance.started_unix_ms;
  mInstance = aInstance;
  mQueue.SetSlots(aInstance.slots);
  if (other) {
    mIdle.Clear();
    RefuseWaiting(mQueue.RemoveAll(), run_failure_reason::wrong_instance);
  }
  LimitWaiting();
}

void
instance_dispatcher::LimitWaiting()
{
  if (mInstance.state == instance_state::gone ||
      mInstance.state == instance_state::absent) {
    RefuseWaiting(mQueue.RemoveAll(), run_failure_reason::leaving);
    return;
  }
  if (mInstance.state != instance_state::draining) {
    return;
  }
  duration left = std::max(mDrainTime - kDrainReserve, duration(0));
  mHost.Loop().RunAfter(
    left, [this, id = mInstance.id, born = mInstance.started_unix_ms] {
      if (mInstance.id == id && mInstance.started_unix_ms == born) {
        RefuseWaiting(mQueue.RemoveAll(), run_failure_reason::leaving);
      }
    });
}

void
instance_dispatcher::OnResult(std::function<void(const run_result&)> aObserver)
{
  mOnResult = std::move(aObserver);
}

void
instance_dispatcher::Report(const run_result& aResult)
{
  if (mOnResult) {
    mOnResult(aResult);
  }
}

std::optional<run_failure>
instance_dispatcher::RefusalOf(const forwarded_request& aRequest) const
{
  run_failure failure;
  failure.not_run = true;
  failure.load = Load();
  if (mLeaving || mInstance.state == instance_state::draining ||
      mInstance.state == instance_state::gone) {
    failure.reason = run_failure_reason::leaving;
    return failure;
  }
  if (mInstance.state != instance_state::ready ||
      mInstance.id != aRequest.instance) {
    failure.reason = run_failure_reason::wrong_instance;
    return failure;
  }
  return std::nullopt;
}

run_start
instance_dispatcher::Dispatch(forwarded_request aRequest,
                              std::shared_ptr<answer_sink> aSink)
{
  if (std::optional<run_failure> refusal = RefusalOf(aRequest)) {
    return tl::unexpected<run_failure>(*refusal);
  }
  run_entry entry;
  entry.id = mNextId++;
  entry.key = aRequest.route;
  entry.priority = aRequest.priority;
  entry.soft_deadline = aRequest.soft_deadline;
  entry.deadline = aRequest.deadline;
  admission_result offer = mQueue.Admit(entry, mHost.Loop().Now());
  if (offer.decision == admission_decision::refuse) {
    run_failure failure;
    failure.reason = run_failure_reason::full;
    failure.not_run = true;
    failure.retry_after = offer.retry_after;
    failure.load = Load();
    return tl::unexpected<run_failure>(failure);
  }
  auto run = std::make_shared<instance_run>(
    *this, entry.id, std::move(aRequest), std::move(aSink));
  mRuns.emplace(entry.id, run);
  if (offer.decision == admission_decision::run) {
    run->Start();
  } else {
    ArmSweep();
  }
  if (!offer.displaced.empty()) {
    mHost.Loop().RunAfter(duration(0), [this, displaced = offer.displaced] {
      RefuseWaiting(displaced, run_failure_reason::full);
    });
  }
  return std::shared_ptr<run_handle>(run);
}

void
instance_dispatcher::RefuseWaiting(const std::vector<run_id>& aIds,
                                   run_failure_reason aReason)
{
  for (run_id id : aIds) {
    auto found = mRuns.find(id);
    if (found != mRuns.end()) {
      std::shared_ptr<instance_run> run = found->second;
      run->Refuse(aReason, mQueue.Load().average_duration);
    }
  }
}

void
instance_dispatcher::ArmSweep()
{
  if (mSweepArmed) {
    return;
  }
  mSweepArmed = true;
  mHost.Loop().RunAfter(kSweepPeriod, [this] {
    mSweepArmed = false;
    RunNext();
    if (mQueue.Load().waiting > 0) {
      ArmSweep();
    }
  });
}

void
instance_dispatcher::RunNext()
{
  while (true) {
    run_queue::next_run next = mQueue.Next(mHost.Loop().Now());
    RefuseWaiting(next.expired, run_failure_reason::full);
    if (!next.run) {
      return;
    }
    auto found = mRuns.find(*next.run);
    if (found != mRuns.end()) {
      std::shared_ptr<instance_run> run = found->second;
      run->Start();
    }
  }
}

void
instance_dispatcher::Ended(run_id aId,
                           const std::string& aRoute,
                           duration aTook)
{
  mRuns.erase(aId);
  mQueue.Finished(aRoute, aTook);
  RunNext();
}

std::shared_ptr<client_channel>
instance_dispatcher::TakeChannel(bool aFreshOnly)
{
  if (!aFreshOnly) {
    if (std::shared_ptr<client_channel> channel =
          mIdle.Acquire(mHost.Loop().Now())) {
      return channel;
    }
  }
  connect_options options;
  options.unacknowledged_timeout = kUnacknowledgedLimit;
  return client_channel::Open(mHost, mInstance.address, options);
}

void
instance_dispatcher::CloseIdle(time_point aNow)
{
  mIdle.CloseIdle(kIdleLimit, aNow);
}

} // namespace eelgrasstrack
