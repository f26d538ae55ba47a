#ifndef EELGRASSTRACK_PROXY_INSTANCE_DISPATCHER_H_
#define EELGRASSTRACK_PROXY_INSTANCE_DISPATCHER_H_

#include <functional>
#include <unordered_map>

#include "mesh/host-record.h"
#include "net/bandwidth-scheduler.h"
#include "proxy/answer-size-estimator.h"
#include "proxy/crash-table.h"
#include "proxy/link-admission.h"
#include "proxy/version-selector.h"
#include "wire/channel-pool.h"

namespace eelgrasstrack {

/// Outcome of a request at the instance; evidence for a rollout.
struct run_result
{
  std::string route;
  std::string version;
  /// A server error, a broken answer or none.
  bool failed = false;
  /// The request was cancelled or still runs, so `failed` says nothing.
  bool unanswered = false;
  /// Time from sending the request to the end of the answer, or the time it has
  /// run if it is unanswered.
  duration latency{ 0 };
};

/// The last hop: the only component that sends requests to the instance on this
/// host. Runs, queues or refuses each request; a refused one has not run.
class instance_dispatcher
{
public:
  /// `aLink` schedules the answers to other nodes. What the instance's crashes
  /// and answers show is recorded in `aCrashes`. `aVersions` tells whether the
  /// instance's version was rolled back.
  instance_dispatcher(tcp_transport& aTransport,
                      const header_names& aNames,
                      const bandwidth_scheduler& aLink,
                      crash_table& aCrashes,
                      const version_selector& aVersions);

  /// Applies the instance's announcement. If it is another instance or a new
  /// incarnation, idle connections are closed and waiting requests are refused.
  void SetInstance(const instance_record& aInstance);
  const instance_record& Instance() const { return mInstance; }

  /// Time for which waiting requests may still be sent to a draining instance.
  void SetDrainTime(duration aTime) { mDrainTime = aTime; }

  /// Sets how long the body of a running request may stall: usually, and
  /// while others wait for a slot.
  void SetStallTimes(duration aTime, duration aTimeWhenFull)
  {
    mStallTime = aTime;
    mStallTimeWhenFull = aTimeWhenFull;
  }

  /// While true, all new requests are refused because the node is stopping.
  void SetLeaving(bool aLeaving) { mLeaving = aLeaving; }

  /// While true, the failure domain of this host is evacuated: new requests are
  /// refused, and those that still wait shortly after.
  void SetEvacuated(bool aEvacuated);

  /// Sets the requests per second that the instance can handle while it is
  /// cold, and how long it is expected to stay cold.
  void SetColdLimit(std::optional<double> aLimit, duration aColdLeft);

  /// Sets the function that tells whether the instance gets no requests for
  /// now.
  void SetHold(std::function<bool()> aIsHeld) { mIsHeld = std::move(aIsHeld); }

  /// Refuses the waiting requests if the instance's version was rolled back, as
  /// new ones are: nodes that have not heard of it yet still send some.
  void RefuseWaitingIfRolledBack();

  /// Sets the function that receives the result of each request that the
  /// instance ran or may have run.
  void OnResult(std::function<void(const run_result&)> aObserver);

  /// Sets the function that is called when the instance says in an answer that
  /// it is leaving.
  void OnInstanceLeaving(std::function<void()> aObserver);

  /// Sets the function that is called when the instance refuses connections
  /// and runs no request, so that it has ended without notice.
  void OnInstanceDown(std::function<void()> aObserver);

  /// Runs or queues a request, or returns why it is refused.
  run_start Dispatch(forwarded_request aRequest,
                     std::shared_ptr<answer_sink> aSink);

  /// The requests that the instance runs now, each unanswered.
  std::vector<run_result> RunningRequests() const;

  /// Limit that the instance announced in its last answer, in requests per
  /// second; before its first one, the limit that other nodes have received.
  const std::optional<double>& RequestLimit() const { return mRequestLimit; }
  /// Requests sent to the instance since this process started.
  std::uint64_t SentCount() const { return mSentCount; }

  run_load Load() const;
  /// Requests that run or wait.
  std::size_t RequestCount() const { return mRuns.size(); }

  /// Closes connections that have been idle for more than 6 s, and ends uploads
  /// that stall.
  void Sweep(time_point aNow);

private:
  friend class instance_run;

  /// Maximum number of idle connections to the instance.
  static constexpr std::size_t kMaxIdle = 64;

  /// Refuses all waiting requests at once if the instance is gone or absent, or
  /// shortly before the end of the drain time if it is draining.
  void RefuseWaitingIfLeaving();
  bool IsRolledBack() const;
  /// What a new request with a large answer needs of the link; nothing for one
  /// with a small answer, and while the rate of the link is unknown.
  std::optional<link_demand> LinkDemandOf(
    const forwarded_request& aRequest) const;
  /// Why a new request must be refused, if it must.
  std::optional<run_failure> RefusalOf(const forwarded_request& aRequest) const;
  /// Failure of a request that is refused here, so that it has not run.
  run_failure RefusalWith(run_failure_reason aReason,
                          duration aRetryAfter) const;
  /// Returns an idle or new connection, only a new one if `aNewOnly`; null if
  /// the process has no descriptor left.
  std::shared_ptr<client_channel> AcquireChannel(bool aNewOnly);
  void RemoveRun(run_id aId);
  void RecordUploadEnd() { --mUploads; }
  /// Ends at most `aCount` running requests whose body has stalled for
  /// `aLimit`, first those that have for longest.
  void EndStalledUploads(duration aLimit, std::size_t aCount);
  /// Frees a slot for a new request if an upload that stalls has one.
  void EndStalledUploadsIfFull(std::size_t aCount);
  /// Removes a started request, frees its slot and starts waiting requests.
  void FinishRun(run_id aId, const std::string& aRoute, duration aDuration);
  /// Starts waiting requests on all free slots and refuses those that are too
  /// late.
  void StartWaiting();
  void RefuseWaiting(const std::vector<run_id>& aIds,
                     run_failure_reason aReason);
  /// Finds out whether the instance has crashed, after the connection of a
  /// request ended without an answer.
  void HandleInterruption(std::shared_ptr<class instance_run> aRun);
  /// Whether a request that was sent by `aTime` still has its connection.
  bool HasRunSince(time_point aTime) const;
  /// Handles a refused connection.
  void HandleRefusal();
  /// Fails the requests whose connections ended.
  void EndInterrupted(bool aCrashed);
  void RecordCrash(
    const std::vector<std::shared_ptr<class instance_run>>& aRuns);
  void LogIfQuarantined(const class instance_run& aRun) const;
  /// Why a request that instances crashed beside must not run here now, if so.
  /// Suspects run one at a time, so that a further crash shows which it was.
  std::optional<run_failure> SuspectRefusalOf(
    const forwarded_request& aRequest) const;
  /// Checks the queue periodically while requests wait.
  void ScheduleSweep();
  void Report(const run_result& aResult);
  /// Records what an answer of an instance says about the instance itself. An
  /// earlier incarnation says nothing about the present one.
  void RecordNotices(const header_fields& aFields,
                     const instance_incarnation& aFrom);
  /// Applies the limit that another node has received, until the instance has
  /// answered this process: it may have announced the limit to an earlier one.
  void AdoptLimit(const std::optional<double>& aLimit);
  void SetRequestLimit(const std::optional<double>& aLimit);
  /// Applies the lower of the announced limit and that of a cold instance.
  void ApplyLimits();

  tcp_transport& mTransport;
  const header_names& mNames;
  const bandwidth_scheduler& mLink;
  crash_table& mCrashes;
  const version_selector& mVersions;
  answer_size_estimator mAnswerSizes;
  /// Bytes of the large answers that running and waiting requests will have.
  std::size_t mExpectedBytes = 0;
  instance_record mInstance;
  bool mLeaving = false;
  bool mSweepScheduled = false;
  duration mDrainTime{ 0 };
  std::optional<double> mRequestLimit;
  /// Limit while the instance is cold.
  std::optional<double> mColdLimit;
  /// Lifts that limit; 0 if there is none.
  timer_id mColdTimer = 0;
  bool mEvacuated = false;
  /// The instance has answered this process.
  bool mHasAnswered = false;
  std::uint64_t mSentCount = 0;
  run_queue mQueue{ 1 };
  run_id mNextId = 1;
  std::unordered_map<run_id, std::shared_ptr<class instance_run>> mRuns;
  /// Number of `mRuns` whose body has not arrived completely.
  std::size_t mUploads = 0;
  duration mStallTime = std::chrono::seconds(20);
  duration mStallTimeWhenFull = std::chrono::seconds(1);
  channel_pool mIdleChannels{ kMaxIdle };
  /// Requests whose connections ended, until the cause is known.
  std::vector<std::shared_ptr<class instance_run>> mInterrupted;
  std::function<bool()> mIsHeld;
  std::function<void(const run_result&)> mOnResult;
  std::function<void()> mOnInstanceLeaving;
  std::function<void()> mOnInstanceDown;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INSTANCE_DISPATCHER_H_
