#include "proxy/instance-dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "base/log.h"
#include "proxy/crash-check.h"
#include "proxy/instance-notices.h"
#include "proxy/instance-run.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// How often waiting requests that are too late are refused.
constexpr duration kSweepPeriod = std::chrono::milliseconds(20);
/// An idle connection to the instance is closed after this time. It may have
/// fallen silent without a reset, which only a request would show.
constexpr duration kIdleTimeout = std::chrono::milliseconds(1500);
/// Subtracted from the drain time for the transmission to the instance.
constexpr duration kDrainReserve = std::chrono::milliseconds(500);
/// Time for which requests that wait when the failure domain is evacuated may
/// still start.
constexpr duration kEvacuationWait = std::chrono::milliseconds(1000);
/// Limit for connecting to the instance and for its acknowledgements.
constexpr duration kUnacknowledgedTimeout = std::chrono::seconds(2);
/// Time in which the ends of all connections to a crashed instance are read.
constexpr duration kCrashSettleTime = std::chrono::milliseconds(10);

} // namespace

instance_dispatcher::instance_dispatcher(tcp_transport& aTransport,
                                         const header_names& aNames,
                                         const bandwidth_scheduler& aLink,
                                         crash_table& aCrashes,
                                         const version_selector& aVersions)
  : mTransport(aTransport)
  , mNames(aNames)
  , mLink(aLink)
  , mCrashes(aCrashes)
  , mVersions(aVersions)
{
}

void
instance_dispatcher::SetInstance(const instance_record& aInstance)
{
  bool changed = !(IncarnationOf(aInstance) == IncarnationOf(mInstance));
  mInstance = aInstance;
  mQueue.SetSlots(aInstance.slots);
  if (changed) {
    mHasAnswered = false;
    SetRequestLimit(std::nullopt);
    mIdleChannels.Clear();
    RefuseWaiting(mQueue.RemoveAll(), run_failure_reason::wrong_instance);
  }
  RefuseWaitingIfLeaving();
}

void
instance_dispatcher::RefuseWaitingIfLeaving()
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
  mTransport.Loop().RunAfter(
    left, [this, id = mInstance.id, started = mInstance.started_unix_ms] {
      if (mInstance.id == id && mInstance.started_unix_ms == started) {
        RefuseWaiting(mQueue.RemoveAll(), run_failure_reason::leaving);
      }
    });
}

void
instance_dispatcher::SetEvacuated(bool aEvacuated)
{
  if (aEvacuated == mEvacuated) {
    return;
  }
  mEvacuated = aEvacuated;
  if (!mEvacuated) {
    return;
  }
  mTransport.Loop().RunAfter(kEvacuationWait, [this] {
    if (mEvacuated) {
      RefuseWaiting(mQueue.RemoveAll(), run_failure_reason::evacuated);
    }
  });
}

bool
instance_dispatcher::IsRolledBack() const
{
  return mVersions.IsRolledBack(mInstance.service, mInstance.version);
}

void
instance_dispatcher::RefuseWaitingIfRolledBack()
{
  if (IsRolledBack()) {
    RefuseWaiting(mQueue.RemoveAll(), run_failure_reason::wrong_instance);
  }
}

void
instance_dispatcher::OnResult(std::function<void(const run_result&)> aObserver)
{
  mOnResult = std::move(aObserver);
}

void
instance_dispatcher::OnInstanceLeaving(std::function<void()> aObserver)
{
  mOnInstanceLeaving = std::move(aObserver);
}

void
instance_dispatcher::HandleInterruption(std::shared_ptr<instance_run> aRun)
{
  mInterrupted.push_back(std::move(aRun));
  if (mInterrupted.size() > 1) {
    return; // the check is in progress
  }
  time_point since = mTransport.Loop().Now();
  crash_check::Start(
    mTransport, mInstance.address, [this, since](bool aRefuses) {
      if (!aRefuses || !HasRunSince(since)) {
        EndInterrupted(aRefuses);
        return;
      }
      // The ends of other connections may not have been read yet.
      mTransport.Loop().RunAfter(kCrashSettleTime, [this, since] {
        EndInterrupted(!HasRunSince(since));
      });
    });
}

bool
instance_dispatcher::HasRunSince(time_point aTime) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [aTime](const auto& aEntry) {
    const instance_run& run = *aEntry.second;
    return run.IsConnected() && run.DispatchedAt() <= aTime;
  });
}

void
instance_dispatcher::EndInterrupted(bool aCrashed)
{
  std::vector<std::shared_ptr<instance_run>> runs =
    std::exchange(mInterrupted, {});
  if (aCrashed) {
    RecordCrash(runs);
    HandleRefusal();
  }
  for (const auto& run : runs) {
    run->FailInterrupted(aCrashed);
  }
}

void
instance_dispatcher::HandleRefusal()
{
  if (mOnInstanceDown && !HasRunSince(mTransport.Loop().Now())) {
    mOnInstanceDown();
  }
}

void
instance_dispatcher::RecordCrash(
  const std::vector<std::shared_ptr<instance_run>>& aRuns)
{
  std::string running;
  std::vector<crash_table::interrupted_run> interrupted;
  for (const auto& run : aRuns) {
    interrupted.push_back({ run->Fingerprint(), run->KnownCrashes() });
    running += running.empty() ? "" : " ";
    running += HexOf(run->Fingerprint());
  }
  LogEvent(log_level::warning,
           "instance_crashed",
           { { "instance", mInstance.id }, { "running", running } });
  mCrashes.RecordCrash(interrupted, mTransport.Loop().Now());
  for (const auto& run : aRuns) {
    LogIfQuarantined(*run);
  }
}

void
instance_dispatcher::LogIfQuarantined(const instance_run& aRun) const
{
  if (!mCrashes.IsQuarantined(aRun.Fingerprint())) {
    return;
  }
  const forwarded_request& request = aRun.Request();
  LogEvent(log_level::warning,
           "request_quarantined",
           { { "request", request.request_id },
             { "fingerprint", HexOf(aRun.Fingerprint()) },
             { "route", request.route },
             { "target", request.head.target },
             { "caller", request.caller_service } });
}

std::optional<run_failure>
instance_dispatcher::SuspectRefusalOf(const forwarded_request& aRequest) const
{
  if (mCrashes.Empty()) {
    return std::nullopt;
  }
  request_fingerprint fingerprint = FingerprintOf(aRequest);
  if (mCrashes.IsQuarantined(fingerprint)) {
    return RefusalWith(run_failure_reason::quarantined, duration(0));
  }
  if (!mCrashes.IsSuspect(fingerprint)) {
    return std::nullopt;
  }
  bool occupied =
    std::any_of(mRuns.begin(), mRuns.end(), [&](const auto& aEntry) {
      request_fingerprint other = aEntry.second->Fingerprint();
      return other != fingerprint && mCrashes.IsSuspect(other);
    });
  if (!occupied) {
    return std::nullopt;
  }
  return RefusalWith(run_failure_reason::full,
                     mQueue.AverageDuration(aRequest.route));
}

void
instance_dispatcher::OnInstanceDown(std::function<void()> aObserver)
{
  mOnInstanceDown = std::move(aObserver);
}

void
instance_dispatcher::Report(const run_result& aResult)
{
  if (mOnResult) {
    mOnResult(aResult);
  }
}

void
instance_dispatcher::RecordNotices(const header_fields& aFields,
                                   const instance_incarnation& aFrom)
{
  if (!(aFrom == IncarnationOf(mInstance))) {
    return;
  }
  if (AnnouncesLeaving(aFields, mNames) && mOnInstanceLeaving) {
    mOnInstanceLeaving();
  }
  result<std::optional<double>> limit = RequestLimitOf(aFields, mNames);
  if (!limit) {
    LogEvent(
      log_level::warning,
      "instance_limit_malformed",
      { { "instance", mInstance.id }, { "reason", limit.error().message } });
    return;
  }
  mHasAnswered = true;
  SetRequestLimit(*limit);
}

void
instance_dispatcher::AdoptLimit(const std::optional<double>& aLimit)
{
  if (!mHasAnswered && aLimit && (!mRequestLimit || *aLimit < *mRequestLimit)) {
    SetRequestLimit(aLimit);
  }
}

void
instance_dispatcher::SetRequestLimit(const std::optional<double>& aLimit)
{
  if (aLimit == mRequestLimit) {
    return;
  }
  LogEvent(log_level::info,
           "instance_limit",
           { { "instance", mInstance.id },
             { "limit", RequestLimitText(aLimit) },
             { "before", RequestLimitText(mRequestLimit) },
             { "sent", std::to_string(mSentCount) } });
  mRequestLimit = aLimit;
  ApplyLimits();
}

void
instance_dispatcher::SetColdLimit(std::optional<double> aLimit,
                                  duration aColdLeft)
{
  bool cold = aLimit && aColdLeft > duration(0);
  if (cold != mColdLimit.has_value()) {
    LogEvent(log_level::info,
             cold ? "instance_cold" : "instance_warm",
             { { "instance", mInstance.id },
               { "limit", RequestLimitText(aLimit) },
               { "left_ms", std::to_string(Milliseconds(aColdLeft)) } });
  }
  mColdLimit = cold ? aLimit : std::nullopt;
  ApplyLimits();
  if (mColdTimer != 0) {
    mTransport.Loop().Cancel(mColdTimer);
    mColdTimer = 0;
  }
  if (cold) {
    mColdTimer = mTransport.Loop().RunAfter(aColdLeft, [this] {
      mColdTimer = 0;
      SetColdLimit(std::nullopt, duration(0));
    });
  }
}

void
instance_dispatcher::ApplyLimits()
{
  std::optional<double> limit = mRequestLimit;
  if (mColdLimit && (!limit || *mColdLimit < *limit)) {
    limit = mColdLimit;
  }
  mQueue.SetRequestLimit(limit, mTransport.Loop().Now());
}

std::vector<run_result>
instance_dispatcher::RunningRequests() const
{
  std::vector<run_result> running;
  for (const auto& [id, run] : mRuns) {
    if (run->Started()) {
      running.push_back(run->UnansweredResult());
    }
  }
  return running;
}

std::optional<run_failure>
instance_dispatcher::RefusalOf(const forwarded_request& aRequest) const
{
  if (mLeaving || IsLeaving(mInstance.state)) {
    return RefusalWith(run_failure_reason::leaving, duration(0));
  }
  if (mInstance.state != instance_state::ready ||
      mInstance.id != aRequest.instance || IsRolledBack()) {
    return RefusalWith(run_failure_reason::wrong_instance, duration(0));
  }
  if (mEvacuated) {
    return RefusalWith(run_failure_reason::evacuated, duration(0));
  }
  if (mIsHeld && mIsHeld()) {
    return RefusalWith(run_failure_reason::full, duration(0));
  }
  return std::nullopt;
}

run_load
instance_dispatcher::Load() const
{
  run_load load = mQueue.Load();
  load.limit_wait = mQueue.LimitWait(mTransport.Loop().Now());
  load.link_wait = mLink.SendTime(mLink.QueuedBytes() + mExpectedBytes);
  return load;
}

std::optional<link_demand>
instance_dispatcher::LinkDemandOf(const forwarded_request& aRequest) const
{
  std::size_t bytes = mAnswerSizes.Expected(aRequest.route);
  if (bytes <= kSmallMessageBytes || mLink.SendTime(bytes) == duration(0)) {
    return std::nullopt;
  }
  link_demand demand;
  demand.run_time = mQueue.AverageDuration(aRequest.route);
  demand.backlog = mLink.SendTime(mLink.QueuedBytes() + mExpectedBytes);
  demand.send_time = mLink.SendTime(bytes);
  demand.soft_deadline = aRequest.soft_deadline;
  demand.deadline = aRequest.deadline;
  return demand;
}

run_failure
instance_dispatcher::RefusalWith(run_failure_reason aReason,
                                 duration aRetryAfter) const
{
  run_failure failure;
  failure.reason = aReason;
  failure.not_run = true;
  failure.retry_after = aRetryAfter;
  failure.load = Load();
  return failure;
}

run_start
instance_dispatcher::Dispatch(forwarded_request aRequest,
                              std::shared_ptr<answer_sink> aSink)
{
  if (std::optional<run_failure> refusal = RefusalOf(aRequest)) {
    return tl::unexpected<run_failure>(*refusal);
  }
  AdoptLimit(aRequest.request_limit);
  time_point now = mTransport.Loop().Now();
  if (aRequest.crashes.crashes > 0) {
    mCrashes.Merge({ FingerprintOf(aRequest), aRequest.crashes, now }, now);
  }
  if (std::optional<run_failure> refusal = SuspectRefusalOf(aRequest)) {
    return tl::unexpected<run_failure>(*refusal);
  }
  std::optional<link_demand> demand = LinkDemandOf(aRequest);
  if (demand && !FitsLink(*demand, now)) {
    return tl::unexpected<run_failure>(
      RefusalWith(run_failure_reason::full, TimeUntilLinkFits(*demand, now)));
  }
  duration sendTime = demand ? demand->send_time : duration(0);
  EndStalledUploadsIfFull(1);
  run_entry entry;
  entry.id = mNextId++;
  entry.key = aRequest.route;
  entry.priority = aRequest.priority;
  entry.soft_deadline = aRequest.soft_deadline - sendTime;
  entry.deadline = aRequest.deadline - sendTime;
  run_admission admission = mQueue.Admit(entry, now);
  if (admission.decision == run_decision::refuse) {
    return tl::unexpected<run_failure>(
      RefusalWith(run_failure_reason::full, admission.retry_after));
  }
  auto run = std::make_shared<instance_run>(
    *this, entry.id, std::move(aRequest), std::move(aSink));
  mRuns.emplace(entry.id, run);
  mExpectedBytes += run->ExpectedBytes();
  mUploads += run->IsUploading() ? 1 : 0;
  if (admission.decision == run_decision::run) {
    run->Start();
  } else {
    ScheduleSweep();
  }
  if (!admission.evicted.empty()) {
    mTransport.Loop().RunAfter(
      duration(0), [this, evicted = admission.evicted] {
        RefuseWaiting(evicted, run_failure_reason::full);
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
instance_dispatcher::ScheduleSweep()
{
  if (mSweepScheduled) {
    return;
  }
  mSweepScheduled = true;
  mTransport.Loop().RunAfter(kSweepPeriod, [this] {
    mSweepScheduled = false;
    EndStalledUploadsIfFull(mQueue.Load().waiting);
    StartWaiting();
    if (mQueue.Load().waiting > 0) {
      ScheduleSweep();
    }
  });
}

void
instance_dispatcher::StartWaiting()
{
  while (true) {
    run_queue::next_run next = mQueue.StartNext(mTransport.Loop().Now());
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
instance_dispatcher::RemoveRun(run_id aId)
{
  auto found = mRuns.find(aId);
  if (found != mRuns.end()) {
    mExpectedBytes -= found->second->ExpectedBytes();
    mUploads -= found->second->IsUploading() ? 1 : 0;
    mRuns.erase(found);
  }
}

void
instance_dispatcher::FinishRun(run_id aId,
                               const std::string& aRoute,
                               duration aDuration)
{
  RemoveRun(aId);
  mQueue.Finish(aRoute, aDuration);
  StartWaiting();
}

std::shared_ptr<client_channel>
instance_dispatcher::AcquireChannel(bool aNewOnly)
{
  if (!aNewOnly) {
    if (std::shared_ptr<client_channel> channel =
          mIdleChannels.Acquire(mTransport.Loop().Now())) {
      return channel;
    }
  }
  connect_options options;
  options.unacknowledged_timeout = kUnacknowledgedTimeout;
  return client_channel::Open(mTransport, mInstance.address, options);
}

void
instance_dispatcher::EndStalledUploads(duration aLimit, std::size_t aCount)
{
  if (mUploads == 0 || aCount == 0) {
    return;
  }
  time_point now = mTransport.Loop().Now();
  std::vector<std::shared_ptr<instance_run>> stalled;
  for (const auto& [id, run] : mRuns) {
    if (run->IsStalled(now, aLimit)) {
      stalled.push_back(run);
    }
  }
  std::sort(
    stalled.begin(), stalled.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->MovedAt() < aRight->MovedAt();
    });
  stalled.resize(std::min(stalled.size(), aCount));
  for (const auto& run : stalled) {
    run->EndStalled();
  }
}

void
instance_dispatcher::EndStalledUploadsIfFull(std::size_t aCount)
{
  if (mUploads == 0) {
    return;
  }
  if (run_load load = mQueue.Load(); load.busy >= load.slots) {
    EndStalledUploads(mStallTimeWhenFull, aCount);
  }
}

void
instance_dispatcher::Sweep(time_point aNow)
{
  mIdleChannels.CloseIdle(kIdleTimeout, aNow);
  EndStalledUploads(mStallTime, mUploads);
}

} // namespace eelgrasstrack
