#ifndef EELGRASSTRACK_CALL_FIRST_HOP_H_
#define EELGRASSTRACK_CALL_FIRST_HOP_H_

#include <functional>
#include <map>
#include <memory>

#include "call/call-types.h"
#include "call/claims.h"
#include "routing/retry-policy.h"

namespace eelgrasstrack {

/// A caller's request, and the way to answer it.
struct caller_request
{
  http_request request;
  std::function<void(http_response)> respond;
};

struct first_hop_options
{
  node_id self;
  std::string domain;
  picker_options picker;
  retry_options retries;
  std::uint64_t random_seed = 1;
};

struct first_hop_counters
{
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t failed_not_run = 0;
  std::uint64_t failed_unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t throttled = 0;
  /// Calls that failed on a new version and were answered by the old one.
  std::uint64_t answered_by_fallback = 0;
};

class call_session;

/// The node that a caller's request comes in at: finds the route, the version
/// and the upstream, and tries again where that is safe.
class first_hop
{
public:
  first_hop(const clock_source& aClock,
            routing_view& aView,
            hop_transport& aTransport,
            claim_service& aClaims,
            attempt_observer& aObserver,
            first_hop_options aOptions);

  /// Starts a call. Returns a way to abandon it.
  std::shared_ptr<call_session> StartCall(caller_request aRequest);

  const first_hop_counters& Counters() const { return mCounters; }
  upstream_picker& Picker() { return mPicker; }

  /// Called with the route and the time a finished call took, for metrics.
  std::function<void(const std::string&, duration, int)> on_finished;

private:
  friend class call_session;

  struct service_limits
  {
    retry_budget budget;
    adaptive_throttle throttle;
  };

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

/// One call, from the caller's request to its answer. Keeps itself alive while
/// a try is under way, and the configuration that it started with.
class call_session : public std::enable_shared_from_this<call_session>
{
public:
  call_session(first_hop& aHop, caller_request aRequest);

  void Start();

  /// The caller has gone.
  void Cancel();

private:
  void ChooseVersionAndStartAttempt();
  void ClaimKeyAndStartAttempt();
  void StartAttempt();
  void Send(const upstream_candidate& aTarget);
  hop_call BuildCall(const upstream_candidate& aTarget, duration aTimeLeft);
  void OnAnswer(const node_id& aNode, hop_answer aAnswer);
  void RecordOutcome(const node_id& aNode, const hop_answer& aAnswer);
  bool RetryIfAllowed(const error& aFailure, attempt_result aResult);
  void RespondWithAnswer(hop_answer aAnswer);
  void RespondWithError(const error& aFailure);
  void Respond(http_response aResponse);
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
  std::vector<node_id> mTriedNodes;
  std::vector<upstream_candidate> mFilteredCandidates;
  unsigned mAttempts = 0;
  bool mExposed = false;
  bool mFailedOnNewVersion = false;
  bool mFinished = false;
  /// The caller named the request itself and it must not be repeated.
  bool mHoldsClaim = false;
  std::uint64_t mClaimSession = 0;
  /// Some try may have run; a later refusal can't prove otherwise.
  bool mMayHaveRun = false;
  hop_token mTransportToken = 0;
  attempt_id mAttemptId = 0;
  observed_attempt mObservedAttempt;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_FIRST_HOP_H_
