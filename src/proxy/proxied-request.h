#ifndef EELGRASSTRACK_PROXY_PROXIED_REQUEST_H_
#define EELGRASSTRACK_PROXY_PROXIED_REQUEST_H_

#include <set>

#include "base/log.h"
#include "proxy/ingress.h"
#include "proxy/streamed-exchange.h"

namespace eelgrasstrack {

/// Handles one request of a caller, from matching the route to the answer.
class proxied_request final
  : public streamed_exchange
  , public quota_waiter
  , public std::enable_shared_from_this<proxied_request>
{
public:
  proxied_request(ingress& aIngress,
                  received_request aRequest,
                  std::shared_ptr<server_exchange> aExchange);
  void Start();

  // request_handler

  void OnClientDisconnected() override;
  void OnRequestBody(std::string_view aBytes, bool aLast) override;
  void OnBodyStalled() override;
  bool MayHaveRun() const override { return mAttempts.may_have_run || mRun; }

  // answer_sink

  bool ShouldCancelOnUnresponsiveHost() override;
  void OnAnswer(message_head aHead,
                std::optional<std::uint64_t> aLength,
                const run_load& aLoad) override;
  void OnAnswerBody(std::string_view aBytes) override;
  void OnAnswerEnd() override;
  void OnRunFailed(const run_failure& aFailure) override;

  // quota_waiter

  void OnPermit(const quota_permit& aPermit) override;
  void OnQuotaRefused(duration aRetryAfter) override;

private:
  /// The part of an instance's answer that has not been forwarded yet.
  struct buffered_answer
  {
    message_head head;
    std::optional<std::uint64_t> length;
    std::string body;
  };

  /// The attempts to run the request so far.
  struct attempt_history
  {
    /// Instances whose nodes the request was sent to.
    std::set<std::string> attempted_instances;
    /// Number of attempts that may have reached an instance.
    unsigned reached_instance_count = 0;
    bool may_have_run = false;
    /// A retry was taken from the budget before the current attempt was
    /// cancelled.
    bool retry_acquired = false;
    /// The shortest time until a slot becomes free that an instance reported; 0
    /// if none did.
    duration retry_after{ 0 };
  };

  loop& Loop() { return mDependencies.transport.Loop(); }
  time_point Now() { return Loop().Now(); }

  /// Forwards the instance's answer, or the rest of it, to the caller.
  void ForwardAnswer();
  void SetDeadlines();
  /// Identifies the caller's organisation if callers need a key, and removes
  /// the key. Returns whether the request may be served.
  bool Authenticate();
  /// Gets a permit if the caller's organisation has a limit, then goes on.
  void AcquirePermit();
  /// Returns the permit of a request that has not run.
  void ReturnPermit();
  /// Selects the service and makes the first attempt.
  void BeginAttempts();
  /// Priority of the caller's organisation, if callers need a key, and within
  /// it that of the route.
  unsigned Priority() const;
  /// Reserves memory for the copy of the body that the next hop gets. Returns
  /// false if there is none.
  bool ReserveCopy();
  /// Gives up the buffered part of a body whose rest is streamed, as the
  /// request can't be sent again.
  void DropBufferedBody();
  /// Whether this process runs long enough for a timely answer.
  bool FitsBeforeExit();
  /// Chooses an instance and sends the request to it. Falls back to the current
  /// version if no instance of the canary can be chosen.
  void Attempt();
  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates);
  /// Whether an instance can be chosen that was not attempted yet.
  bool HasAlternative();
  /// Urgency of the request, for the choice of an instance.
  request_urgency Urgency()
  {
    return { Priority(),
             mSoftDeadline - Now(),
             mIngress.AnswerSizes().Expected(mRoute->name) };
  }

  /// Records what an answer announces about its instance.
  void RecordNotices(const header_fields& aFields);
  void SendTo(const instance_candidate& aCandidate);
  run_start Dispatch();
  request_fingerprint Fingerprint();
  static instance_chooser::outcome OutcomeOf(const run_failure& aFailure);
  /// Starts another attempt if that is allowed; otherwise answers the caller.
  void HandleFailure(const run_failure& aFailure);

  /// What this node knows of crashes beside the request.
  crash_count KnownCrashes();
  bool IsQuarantined();
  /// Records that the instance crashed while it was running the request.
  void RecordCrash();
  /// Returns whether the request may be sent to another instance. If so, one
  /// retry has been taken from the budget.
  bool TryAcquireRetry();
  void Retry();
  /// Answers the caller when no instance can be chosen. `aNoInstance` is true
  /// if there was none to choose from.
  void HandleNoCandidate(bool aNoInstance);

  /// Time after which the caller should retry: not before a slot is expected to
  /// be free, and long enough that the caller spreads its few retries over its
  /// timeout.
  duration RetryAfter();
  /// Answers the caller after the last attempt failed.
  void GiveUp(const run_failure& aFailure);
  void OnTimeout();

  /// Answers that the request has not run, with a Retry-After field.
  void Refuse(proxy_event aEvent, duration aRetryAfter);
  void RefuseWith(proxy_event aEvent, const std::string& aRetryAfterText);
  /// Answers that the request, which crashes instances, is not sent on.
  void RefuseQuarantined();
  /// Same if an attempt was made.
  void HandleQuarantine();
  /// Answers with an instance's own failure answer if there is one, otherwise
  /// with `aStatus`.
  void AnswerFailure(int aStatus, proxy_event aEvent);
  /// Sends an answer that this node produced.
  void AnswerLocally(int aStatus, header_fields aFields);
  /// Closes the connection in the middle of an answer.
  void AbortAnswer();
  void CancelRun(instance_chooser::outcome aOutcome);
  void EndRun(instance_chooser::outcome aOutcome,
              const std::optional<run_load>& aLoad);
  void Finish();
  /// Logs what this node knows of the configuration without the route.
  void LogNoRoute();
  void Log(std::string_view aEvent, std::initializer_list<log_field> aFields);

  ingress& mIngress;
  ingress_dependencies& mDependencies;
  /// The configuration when the request arrived. The request uses it to its
  /// end, even if a newer one is set.
  traffic_table_ptr mTable;
  received_request mReceived;
  const traffic_route* mRoute = nullptr;
  /// Null if callers need no key, or the caller has none.
  const organisation* mOrganisation = nullptr;
  /// The permit that the request runs by, if its organisation has a limit.
  std::optional<quota_permit> mPermit;
  /// A quota owner was asked for the permit and has not answered.
  bool mAwaitsPermit = false;
  std::string mRequestId;
  std::string mService;
  std::string mInstance;
  /// Host of the instance.
  std::string mHost;
  /// Start of the instance, in Unix milliseconds.
  std::int64_t mInstanceStarted = 0;
  timer_id mTimer = 0;
  time_point mSoftDeadline{};
  time_point mDeadline{};
  buffered_answer mAnswer;
  /// The failure answer of an instance, kept while the request is retried.
  std::optional<buffered_answer> mFailedAnswer;
  run_load mLoad;
  /// Bytes of the current answer's body that were received.
  std::size_t mAnswerBytes = 0;
  attempt_history mAttempts;
  /// An attempt was reported to the chooser as started and not yet as ended.
  bool mRunning = false;
  canary_decision mCanary;
  /// Computed when it is first needed.
  std::optional<request_fingerprint> mFingerprint;
  /// What was known of crashes when the current attempt was sent.
  crash_count mKnownCrashes;
  /// The body is only partly buffered, so the request can't be sent again.
  bool mStreamedBody = false;
  /// The head of the answer was passed to the exchange, so the answer can't be
  /// replaced any more.
  bool mAnswerBegun = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_PROXIED_REQUEST_H_
