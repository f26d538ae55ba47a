#ifndef EELGRASSTRACK_CALL_LAST_HOP_H_
#define EELGRASSTRACK_CALL_LAST_HOP_H_

#include <map>
#include <memory>

#include "call/call-types.h"
#include "http/client.h"
#include "routing/admission-queue.h"
#include "routing/request-key-table.h"

namespace eelgrasstrack {

/// The upstream beside this node, as the last hop sees it.
class upstream_connection
{
public:
  virtual ~upstream_connection() = default;
  /// `aDone` is called once, never before this returns.
  virtual std::shared_ptr<http_call> Start(http_request aRequest,
                                           duration aTimeout,
                                           http_callback aDone) = 0;
};

/// What runs beside this node and what it can take.
struct local_upstream
{
  std::string service;
  std::string version;
  admission_limits limits;
  bool leaving = false;
  time_point warm_up_until{};
};

struct last_hop_counters
{
  std::uint64_t dispatched = 0;
  std::uint64_t shed = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t cancelled = 0;
};

/// The node beside the chosen upstream: admits calls within the upstream's
/// limits, lets a call that must not be repeated through once, and matches
/// answers to calls.
class last_hop
{
public:
  last_hop(const clock_source& aClock, std::uint64_t aIncarnation);

  /// Sets what runs beside this node; a null connection means nothing does.
  void SetUpstream(local_upstream aUpstream,
                   std::shared_ptr<upstream_connection> aConnection);
  void SetLeaving();
  /// This node's own life, after it had to be raised.
  void SetIncarnation(std::uint64_t aIncarnation)
  {
    mIncarnation = aIncarnation;
  }

  /// `aDone` may be called before this returns.
  admission_id Handle(hop_call aCall, hop_callback aDone);

  /// The caller has gone: a waiting call is dropped, a running one cut.
  void Cancel(admission_id aCall);

  /// Sheds waiting calls that can't meet their deadline any more.
  void Tick();

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

  std::optional<error> CheckTarget(const hop_call& aCall);
  void Dispatch(admission_id aId);
  void OnUpstreamAnswer(admission_id aId, http_result aResult);
  void SendAnswer(admission_id aId, hop_answer aAnswer);
  void SendFailure(admission_id aId, error aFailure);
  void RunNext();

  const clock_source& mClock;
  std::uint64_t mIncarnation;
  local_upstream mUpstream;
  std::shared_ptr<upstream_connection> mConnection;
  admission_queue mQueue;
  /// Keys of calls that were dispatched and must not run twice.
  request_key_table mDispatchedKeys;
  std::map<admission_id, std::shared_ptr<pending_call>> mCalls;
  admission_id mNextId = 1;
  last_hop_counters mCounters;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_LAST_HOP_H_
