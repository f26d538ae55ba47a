#ifndef EELGRASSTRACK_CALL_LAST_HOP_H_
#define EELGRASSTRACK_CALL_LAST_HOP_H_

#include <map>
#include <memory>

#include "call/call-types.h"
#include "http/client.h"
#include "routing/admission-queue.h"
#include "routing/request-key-table.h"

namespace eelgrasstrack {

/// Sends HTTP requests to the upstream of this node.
class upstream_connection
{
public:
  virtual ~upstream_connection() = default;
  /// `aDone` is called once, never before this returns.
  virtual std::shared_ptr<http_call> Start(http_request aRequest,
                                           duration aTimeout,
                                           http_callback aDone) = 0;
};

/// The upstream of this node: its service, version and limits.
struct local_upstream
{
  std::string service;
  std::string version;
  admission_limits limits;
  /// The upstream or this node is shutting down; new calls are refused.
  bool leaving = false;
  /// End of the warm-up time.
  time_point warm_up_until{};
};

/// Call counters of a last hop, since the start of the process.
struct last_hop_counters
{
  /// Calls sent to the upstream.
  std::uint64_t dispatched = 0;
  /// Calls that the admission queue rejected, evicted or removed as expired.
  std::uint64_t shed = 0;
  /// Calls not dispatched because of their request key.
  std::uint64_t duplicates = 0;
  std::uint64_t cancelled = 0;
};

/// The node next to the chosen upstream. Admits calls within the limits of the
/// upstream, dispatches a call that must not be repeated only once, and matches
/// answers to calls.
class last_hop
{
public:
  last_hop(const clock_source& aClock, std::uint64_t aIncarnation);

  /// Sets the upstream of this node; a null connection means that it has none.
  void SetUpstream(local_upstream aUpstream,
                   std::shared_ptr<upstream_connection> aConnection);
  /// Marks the upstream as leaving, so that new calls are refused.
  void SetLeaving();
  /// Sets the incarnation of this node after it was raised. Calls to any other
  /// incarnation are refused.
  void SetIncarnation(std::uint64_t aIncarnation)
  {
    mIncarnation = aIncarnation;
  }

  /// Admits or refuses a call. `aDone` may be called before this returns.
  admission_id Handle(hop_call aCall, hop_callback aDone);

  /// Removes a queued call or cancels a running one, without an answer.
  void Cancel(admission_id aCall);

  /// Sheds queued calls that can no longer meet their deadline and dispatches
  /// others while slots are free. Call this periodically.
  void Tick();

  /// Number of calls that are queued or running.
  std::size_t InProgress() const { return mCalls.size(); }
  load_hint Load() const;
  const last_hop_counters& Counters() const { return mCounters; }

private:
  struct pending_call
  {
    hop_call call;
    hop_callback done;
    time_point deadline{};
    time_point dispatched_at{};
    std::shared_ptr<http_call> upstream_call;
    unsigned dispatch_count = 0;
  };

  /// Returns the reason to refuse the call if it was sent to another
  /// incarnation of this node or to a service version that the node does not
  /// serve.
  std::optional<error> CheckTarget(const hop_call& aCall);
  void Dispatch(admission_id aId);
  void OnUpstreamAnswer(admission_id aId, http_result aResult);
  void SendAnswer(admission_id aId, hop_answer aAnswer);
  void SendFailure(admission_id aId, error aFailure);
  /// Sheds expired calls and dispatches queued ones while slots are free.
  void RunNext();

  const clock_source& mClock;
  std::uint64_t mIncarnation;
  local_upstream mUpstream;
  std::shared_ptr<upstream_connection> mConnection;
  admission_queue mQueue;
  /// Request keys of dispatched calls that must not run twice.
  request_key_table mDispatchedKeys;
  std::map<admission_id, std::shared_ptr<pending_call>> mCalls;
  admission_id mNextId = 1;
  last_hop_counters mCounters;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_LAST_HOP_H_
