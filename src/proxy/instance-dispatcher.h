#ifndef EELGRASSTRACK_PROXY_INSTANCE_DISPATCHER_H_
#define EELGRASSTRACK_PROXY_INSTANCE_DISPATCHER_H_

#include <functional>
#include <unordered_map>

#include "mesh/host-record.h"
#include "proxy/forwarded-request.h"
#include "wire/channel-pool.h"

namespace eelgrasstrack {

/// How a request ended at the instance, for the evidence of a rollout.
struct run_result
{
  std::string route;
  std::string version;
  bool failed = false;
  duration latency{ 0 };
};

/// The last hop: the only sender of work to the instance beside this node.
/// It decides what runs, what waits and what is refused as not run.
class instance_dispatcher
{
public:
  instance_dispatcher(socket_host& aHost, const header_names& aNames);

  /// Takes what the instance says of itself. A new incarnation begins with no
  /// connection and an empty queue.
  void SetInstance(const instance_record& aInstance);
  const instance_record& Instance() const { return mInstance; }

  /// How long work may go on to reach an instance that drains.
  void SetDrainTime(duration aTime) { mDrainTime = aTime; }

  /// The node stops: nothing new is taken.
  void SetLeaving(bool aLeaving) { mLeaving = aLeaving; }

  void OnResult(std::function<void(const run_result&)> aObserver);

  run_start Dispatch(forwarded_request aRequest,
                     std::shared_ptr<answer_sink> aSink);

  run_load Load() const { return mQueue.Load(); }
  std::size_t RequestCount() const { return mRuns.size(); }

  /// Closes connections that are idle for long.
  void CloseIdle(time_point aNow);

private:
  friend class instance_run;

  /// Idle connections kept to the instance.
  static constexpr std::size_t kMaxIdle = 64;

  /// Gives back what waits, now or later, if the instance takes nothing new.
  void RefuseWaitingIfLeaving();
  std::optional<run_failure> RefusalOf(const forwarded_request& aRequest) const;
  std::shared_ptr<client_channel> AcquireChannel(bool aNewOnly);
  void FinishRun(run_id aId, const std::string& aRoute, duration aDuration);
  void StartWaiting();
  void RefuseWaiting(const std::vector<run_id>& aIds,
                     run_failure_reason aReason);
  void ScheduleSweep();
  void Report(const run_result& aResult);

  socket_host& mHost;
  const header_names& mNames;
  instance_record mInstance;
  bool mLeaving = false;
  bool mSweepScheduled = false;
  duration mDrainTime{ 0 };
  run_queue mQueue{ 1 };
  run_id mNextId = 1;
  std::unordered_map<run_id, std::shared_ptr<class instance_run>> mRuns;
  channel_pool mIdleChannels{ kMaxIdle };
  std::function<void(const run_result&)> mOnResult;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INSTANCE_DISPATCHER_H_
