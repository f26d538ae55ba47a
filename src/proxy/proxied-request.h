#ifndef EELGRASSTRACK_PROXY_PROXIED_REQUEST_H_
#define EELGRASSTRACK_PROXY_PROXIED_REQUEST_H_

#include <set>

#include "base/log.h"
#include "proxy/ingress.h"
#include "proxy/streamed-exchange.h"

namespace eelgrasstrack {

/// One request of a caller, from its route to its answer.
class proxied_request final
  : public streamed_exchange
  , public std::enable_shared_from_this<proxied_request>
{
public:
  proxied_request(ingress& aIngress,
                  received_request aRequest,
                  std::shared_ptr<server_session> aSession);
  void Start();

  // request_handler

  void OnClientDisconnected() override;
  void OnRequestBody(std::string_view aBytes, bool aLast) override;

  // answer_sink

  bool ShouldCancelOnUnresponsiveHost() override;
  void OnAnswer(message_head aHead,
                std::optional<std::uint64_t> aLength,
                const run_load& aLoad) override;
  void OnAnswerBody(std::string_view aBytes) override;
  void OnAnswerEnd() override;
  void OnRunFailed(const run_failure& aFailure) override;

private:
  /// An answer of an instance, as far as it is held here.
  struct buffered_answer
  {
    message_head head;
    std::optional<std::uint64_t> length;
    std::string body;
  };

  /// What became of the request so far.
  struct attempt_history
  {
    /// Instances whose nodes were asked.
    std::set<std::string> attempted_instances;
    /// Instances that the request was sent to.
    unsigned reached_instance_count = 0;
    bool may_have_run = false;
    /// A repeat was taken out of the budget before the try was ended.
    bool retry_acquired = false;
    /// The shortest time to room that a full instance told.
    duration retry_after{ 0 };
  };

  loop& Loop() { return mDependencies.host.Loop(); }
  time_point Now() { return Loop().Now(); }

  /// Passes the instance's answer on, or the rest of it.
  void ForwardAnswer();
  void SetDeadlines();
  void Attempt();
  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates);
  choice_request ChoiceRequest()
  {
    return { mRoute->priority, mSoftDeadline - Now() };
  }

  void SendTo(const instance_candidate& aCandidate);
  run_start Dispatch(const std::string& aHostName);
  static instance_chooser::outcome OutcomeOf(const run_failure& aFailure);
  void HandleFailure(const run_failure& aFailure);

  /// Whether the request may be sent to another instance, the budget included.
  bool TryAcquireRetry();
  void Retry();
  void HandleNoCandidate(bool aNoInstance);

  /// When to come back: not before there is room, and late enough that the
  /// few returns a caller has are not spent on one moment.
  duration RetryAfter();
  void GiveUp(const run_failure& aFailure);
  void OnTimeout();

  /// Answers that the request has not run, and when to come back.
  void Refuse(proxy_event aEvent, duration aRetryAfter);
  void AnswerFailure(int aStatus, proxy_event aEvent);
  void AnswerLocally(int aStatus, header_fields aFields);
  void AbortAnswer();
  void CancelRun(instance_chooser::outcome aOutcome);
  void EndRun(instance_chooser::outcome aOutcome,
              const std::optional<run_load>& aLoad);
  void Finish();
  void Log(std::string_view aEvent, std::initializer_list<log_field> aFields);

  ingress& mIngress;
  ingress_dependencies& mDependencies;
  /// The configuration by which the request is handled, kept whole.
  traffic_table_ptr mTable;
  received_request mReceived;
  const traffic_route* mRoute = nullptr;
  std::string mRequestId;
  std::string mService;
  std::string mInstance;
  timer_id mTimer = 0;
  time_point mSoftDeadline{};
  time_point mDeadline{};
  buffered_answer mAnswer;
  /// A failure that an instance answered before the request was sent again.
  std::optional<buffered_answer> mFailedAnswer;
  run_load mLoad;
  attempt_history mAttempts;
  bool mRunning = false;
  canary_decision mCanary;
  bool mStreamedBody = false;
  bool mAnswerBegun = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_PROXIED_REQUEST_H_
