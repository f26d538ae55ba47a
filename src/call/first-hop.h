#ifndef EELGRASSTRACK_CALL_FIRST_HOP_H_
#define EELGRASSTRACK_CALL_FIRST_HOP_H_

#include <functional>
#include <map>
#include <memory>

#include "call/call-types.h"
#include "call/claims.h"
#include "routing/retry-policy.h"

namespace eelgrasstrack {

/// A caller's request, with the function that sends the response.
struct caller_request
{
  http_request request;
  std::function<void(http_response)> respond;
};

/// Settings of a `first_hop`.
struct first_hop_options
{
  node_id self;
  std::string domain;
  picker_options picker;
  retry_options retries;
  std::uint64_t random_seed = 1;
};

/// Call counters of a first hop, since the start of the process.
struct first_hop_counters
{
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  /// Calls that failed and are known not to have run.
  std::uint64_t failed_not_run = 0;
  /// Calls that failed and may have run.
  std::uint64_t failed_unknown = 0;
  std::uint64_t retries = 0;
  /// Calls rejected by the adaptive throttle.
  std::uint64_t throttled = 0;
  /// Calls that failed on a new version and were then answered by the old one.
  std::uint64_t answered_by_fallback = 0;
};

class call_session;

/// The node that receives a caller's request. Selects the route, the version
/// and the upstream, and retries where that is safe.
class first_hop
{
public:
  first_hop(const clock_source& aClock,
            routing_view& aView,
            hop_transport& aTransport,
            claim_service& aClaims,
            attempt_observer& aObserver,
            first_hop_options aOptions);

  /// Starts a call. The returned session can cancel it.
  std::shared_ptr<call_session> StartCall(caller_request aRequest);

  const first_hop_counters& Counters() const { return mCounters; }
  upstream_picker& Picker() { return mPicker; }

  /// Called with the route (empty if none matched), the duration and the HTTP
  /// status of each answered call, for metrics.
  std::function<void(const std::string&, duration, int)> on_finished;

private:
  friend class call_session;

  struct service_limits
  {
    retry_budget budget;
    adaptive_throttle throttle;
  };

  /// Returns the limits of a service, which it creates on first use.
  service_limits& LimitsOf(const std::string& aService);
  std::string NewRequestKey();

  const clock_source& mClock;
  routing_view& mView;
  hop_transport& mTransport;
  claim_service& mClaims;
  attempt_observer& mObserver;
  first_hop_options mOptions;
  upstream_picker mPicker;
  std::map<std::string, service_limits> mLimits;
  std::mt19937_64 mRandom;
  first_hop_counters mCounters;
};

/// One call, from the caller's request to its response. Keeps itself alive
/// while an attempt is in progress, and uses the configuration that was current
/// at its start throughout.
class call_session : public std::enable_shared_from_this<call_session>
{
public:
  call_session(first_hop& aHop, caller_request aRequest);

  void Start();

  /// Cancels the call because the caller disconnected.
  void Cancel();

private:
  /// Logs by which configuration no route was found.
  void LogNoRoute() const;
  void ChooseVersionAndStartAttempt();
  void ClaimKeyAndStartAttempt();
  /// Picks an upstream and sends the call to it. Falls back to the old version
  /// if the rollout is halted or the new one has no upstream.
  void StartAttempt();
  void Send(const upstream_candidate& aTarget);
  hop_call BuildCall(const upstream_candidate& aTarget, duration aTimeLeft);
  void OnAnswer(const node_id& aNode, hop_answer aAnswer);
  void RecordOutcome(const node_id& aNode, const hop_answer& aAnswer);
  /// Starts another attempt if policy and budget allow it; after a failure of
  /// the new version, on the old one. Returns whether it did.
  bool RetryIfAllowed(const error& aFailure, attempt_result aResult);
  void RespondWithAnswer(hop_answer aAnswer);
  void RespondWithError(const error& aFailure);
  void Respond(http_response aResponse);
  /// Upstreams of a version; if it is the new version of a rollout, without
  /// those that the rollout ejected.
  const std::vector<upstream_candidate>& CandidatesOf(
    const std::string& aVersion);

  first_hop& mHop;
  caller_request mCallerRequest;
  snapshot_ptr mConfig;
  const route_declaration* mRoute = nullptr;
  std::string mCaller;
  std::string mRequestKey;
  std::string mVersion;
  std::string mRollout;
  std::string mFallbackVersion;
  time_point mStarted{};
  time_point mDeadline{};
  std::vector<node_id> mAttemptedNodes;
  std::vector<upstream_candidate> mFilteredCandidates;
  unsigned mAttempts = 0;
  bool mExposed = false;
  bool mFailedOnNewVersion = false;
  bool mFinished = false;
  /// The caller set the request key, the request must not be repeated, and the
  /// key was claimed.
  bool mHoldsClaim = false;
  std::uint64_t mClaimSession = 0;
  /// Some attempt may have run. A later attempt that did not run does not
  /// change that.
  bool mMayHaveRun = false;
  hop_token mTransportToken = 0;
  attempt_id mAttemptId = 0;
  observed_attempt mObservedAttempt;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_FIRST_HOP_H_
