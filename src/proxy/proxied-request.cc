#include "proxy/proxied-request.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "proxy/caller-credentials.h"
#include "proxy/instance-notices.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// An answer up to this size is buffered before it is forwarded, so that a
/// broken answer can be replaced.
constexpr std::size_t kMaxBufferedAnswerBytes = 64U << 10U;
/// How long after its deadline a request still waits for the answer, because
/// the instance itself stops only at the deadline.
constexpr duration kDeadlineGrace = std::chrono::milliseconds(120);
/// Maximum number of nodes that one request is sent to. A refusal takes only
/// one round trip.
constexpr unsigned kMaxNodesPerRequest = 5;
/// Bounds of the Retry-After field before it is randomized.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(60);
constexpr duration kMaxRetryAfter = std::chrono::seconds(2);
/// Used while the node is stopping or has no configuration yet.
constexpr duration kRetryAfterNodeNotReady = std::chrono::milliseconds(500);
/// Used if no instance is known: time for an instance to announce itself.
constexpr duration kRetryAfterNoInstance = std::chrono::milliseconds(500);
/// A caller is told to retry after its whole timeout divided by this number.
constexpr int kRetriesPerCallerTimeout = 5;
/// Priorities of routes that are distinguished within one priority of
/// organisations.
constexpr unsigned kRoutePriorities = 4;
constexpr unsigned kMaxOrganisationPriority = 1000;
/// Used if all instances are full and none reported when a slot becomes free.
constexpr duration kRetryAfterFull = std::chrono::milliseconds(150);

/// Formats a Retry-After value in seconds. Adds up to 50% of jitter so that
/// refused callers don't all retry at the same time.
std::string
RetryAfterText(duration aTime, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> spread(1.0, 1.5);
  duration wait = std::clamp(aTime, kMinRetryAfter, kMaxRetryAfter);
  double seconds = std::chrono::duration<double>(wait).count();
  std::string text = std::to_string(seconds * spread(aRandom));
  constexpr std::size_t kDecimals = 4;
  return text.substr(0, text.find('.') + kDecimals);
}

std::mt19937_64&
Random()
{
  static std::mt19937_64 source{ std::random_device{}() };
  return source;
}

} // namespace

proxied_request::proxied_request(ingress& aIngress,
                                 received_request aRequest,
                                 std::shared_ptr<server_exchange> aExchange)
  : streamed_exchange(std::move(aExchange))
  , mIngress(aIngress)
  , mDependencies(aIngress.Dependencies())
  , mTable(aIngress.Table())
  , mReceived(std::move(aRequest))
{
}

void
proxied_request::Start()
{
  mDependencies.counters.Add(proxy_event::request_received);
  if (const std::string* id =
        FindField(mReceived.head.fields, mDependencies.names.request_id)) {
    mRequestId = *id;
  }
  if (mIngress.IsRefusing()) {
    Refuse(proxy_event::node_stopping, kRetryAfterNodeNotReady);
    return;
  }
  if (!mTable) {
    Refuse(proxy_event::no_configuration, kRetryAfterNodeNotReady);
    return;
  }
  const std::string* host = FindField(mReceived.head.fields, "Host");
  mRoute = mTable->Match(host != nullptr ? *host : "", mReceived.head.target);
  if (mRoute == nullptr) {
    mDependencies.counters.Add(proxy_event::no_route);
    LogNoRoute();
    AnswerLocally(status::kNotFound, {});
    return;
  }
  if (!Authenticate()) {
    mDependencies.counters.Add(proxy_event::unknown_key);
    Log(NameOf(proxy_event::unknown_key), {});
    AnswerLocally(status::kUnauthorized, { { "WWW-Authenticate", "Bearer" } });
    return;
  }
  if (IsQuarantined()) {
    RefuseQuarantined();
    return;
  }
  if (!ReserveCopy()) {
    Refuse(proxy_event::refused_memory, kRetryAfterNodeNotReady);
    return;
  }
  SetDeadlines();
  if (!FitsBeforeExit()) {
    Refuse(proxy_event::node_stopping, kRetryAfterNodeNotReady);
    return;
  }
  KeepEndToEndFields(mReceived.head.fields, mDependencies.names);
  mTimer = Loop().RunAfter(mDeadline + kDeadlineGrace - Now(),
                           [self = shared_from_this()] { self->OnTimeout(); });
  AcquirePermit();
}

void
proxied_request::AcquirePermit()
{
  if (mOrganisation == nullptr || !mOrganisation->HasLimit()) {
    BeginAttempts();
    return;
  }
  quota_decision decision =
    mDependencies.quota.Admit(*mOrganisation, shared_from_this());
  switch (decision.outcome) {
    case quota_outcome::admitted:
      OnPermit(decision.permit);
      return;
    case quota_outcome::refused:
      OnQuotaRefused(decision.retry_after);
      return;
    case quota_outcome::waiting:
      mAwaitsPermit = true;
      if (!mReceived.body_complete) {
        mExchange->PauseBody(true);
      }
      return;
  }
}

void
proxied_request::OnPermit(const quota_permit& aPermit)
{
  mPermit = aPermit;
  bool waited = std::exchange(mAwaitsPermit, false);
  if (!mExchange) {
    ReturnPermit();
    return;
  }
  std::shared_ptr<server_exchange> exchange = mExchange;
  BeginAttempts();
  if (waited) {
    exchange->PauseBody(false);
  }
}

void
proxied_request::OnQuotaRefused(duration aRetryAfter)
{
  if (std::exchange(mAwaitsPermit, false) && mExchange) {
    mExchange->PauseBody(false);
  }
  mDependencies.counters.Add(proxy_event::refused_quota);
  std::string retryAfter = RetryAfterText(aRetryAfter, Random());
  if (std::optional<unsigned> refusals =
        mDependencies.quota.RecordRefusal(*mOrganisation)) {
    Log(NameOf(proxy_event::refused_quota),
        { { "organisation", mOrganisation->name },
          { "refusals", std::to_string(*refusals) },
          { "retry_after_s", retryAfter } });
  }
  AnswerLocally(status::kTooManyRequests, { { "Retry-After", retryAfter } });
}

void
proxied_request::ReturnPermit()
{
  if (mPermit) {
    mDependencies.quota.Return(*mOrganisation, *mPermit);
    mPermit.reset();
  }
}

void
proxied_request::BeginAttempts()
{
  mService = mIngress.SelectTarget(*mRoute);
  mCanary = mDependencies.versions.DecideCanary(mService, Now());
  mDependencies.retries.RecordFirstAttempt(mService, Now());
  Attempt();
}

bool
proxied_request::Authenticate()
{
  const organisation_table* organisations = mTable->Organisations();
  if (organisations == nullptr) {
    return true;
  }
  header_fields& fields = mReceived.head.fields;
  mOrganisation = OrganisationOf(fields, *organisations);
  ReplaceCredentials(fields, mDependencies.names, mOrganisation);
  return mOrganisation != nullptr || mRoute->is_public;
}

unsigned
proxied_request::Priority() const
{
  unsigned priority = std::min(mRoute->priority, kRoutePriorities - 1);
  unsigned organisation =
    mOrganisation != nullptr ? mOrganisation->priority.value_or(0) : 0;
  return mTable->Organisations() == nullptr
           ? mRoute->priority
           : std::min(organisation, kMaxOrganisationPriority) *
                 kRoutePriorities +
               priority;
}

void
proxied_request::OnClientDisconnected()
{
  mDependencies.counters.Add(proxy_event::client_disconnected);
  CancelRun(instance_chooser::outcome::cancelled);
  Finish();
}

void
proxied_request::OnRequestBody(std::string_view aBytes, bool aLast)
{
  mReceived.body_complete = aLast;
  if (mAwaitsPermit) {
    // What was received before reading stopped; the first attempt sends it.
    mReceived.body += aBytes;
    return;
  }
  if (!mStreamedBody) {
    mStreamedBody = true;
    DropBufferedBody();
  }
  streamed_exchange::OnRequestBody(aBytes, aLast);
}

bool
proxied_request::ReserveCopy()
{
  return mReceived.held.Resize(2 * mReceived.held.Bytes());
}

void
proxied_request::DropBufferedBody()
{
  Fingerprint(); // of the part that is given up
  // The bytes stay reserved, for the parts of the body on their way.
  std::string().swap(mReceived.body);
}

void
proxied_request::OnBodyStalled()
{
  bool mayHaveRun = MayHaveRun();
  CancelRun(instance_chooser::outcome::cancelled);
  mAttempts.may_have_run = mayHaveRun;
  if (mAnswerBegun) {
    AbortAnswer();
    return;
  }
  AnswerFailure(status::kGatewayTimeout, proxy_event::upload_stalled);
}

bool
proxied_request::ShouldCancelOnUnresponsiveHost()
{
  // The request may be running there, so it is given up only for an attempt
  // that can be made. A stopping node has no time for one.
  if (!mRoute->idempotent || mAnswerBegun || mIngress.IsClosing() ||
      !HasAlternative()) {
    return false;
  }
  ++mAttempts.reached_instance_count;
  mAttempts.retry_acquired = TryAcquireRetry();
  if (!mAttempts.retry_acquired) {
    --mAttempts.reached_instance_count;
  }
  return mAttempts.retry_acquired;
}

void
proxied_request::OnAnswer(message_head aHead,
                          std::optional<std::uint64_t> aLength,
                          const run_load& aLoad)
{
  RecordNotices(aHead.fields);
  mAnswer.head = std::move(aHead);
  mAnswer.length = aLength;
  mAnswerBytes = 0;
  mLoad = aLoad;
}

void
proxied_request::RecordNotices(const header_fields& aFields)
{
  if (AnnouncesLeaving(aFields, mDependencies.names)) {
    mDependencies.directory.RecordLeaving(
      mHost, { mInstance, mInstanceStarted }, Now());
  }
  // The last hop logs a malformed limit.
  if (result<std::optional<double>> limit =
        RequestLimitOf(aFields, mDependencies.names)) {
    mIngress.RequestLimits().Record(mInstance, *limit, Now());
  }
}

void
proxied_request::OnAnswerBody(std::string_view aBytes)
{
  mAnswerBytes += aBytes.size();
  mAnswer.body.append(aBytes);
  if (!mAnswerBegun && mAnswer.body.size() > kMaxBufferedAnswerBytes) {
    mAnswerBegun = true;
    mExchange->BeginAnswer(mAnswer.head, mAnswer.length);
  }
  if (mAnswerBegun) {
    ForwardAnswerBody(mAnswer.body);
    mAnswer.body.clear();
  }
}

void
proxied_request::OnAnswerEnd()
{
  bool failed = status::IsServerError(mAnswer.head.status);
  EndRun(failed ? instance_chooser::outcome::failed
                : instance_chooser::outcome::answered,
         mLoad);
  mAttempts.may_have_run = true; // the answer comes from the instance
  ++mAttempts.reached_instance_count;
  if (failed && !mAnswerBegun &&
      mAnswer.head.status != status::kGatewayTimeout && TryAcquireRetry()) {
    mFailedAnswer = std::move(mAnswer);
    Retry();
    return;
  }
  ForwardAnswer();
}

void
proxied_request::OnRunFailed(const run_failure& aFailure)
{
  EndRun(OutcomeOf(aFailure), aFailure.load);
  HandleFailure(aFailure);
}

void
proxied_request::ForwardAnswer()
{
  bool failed = status::IsServerError(mAnswer.head.status);
  mDependencies.counters.Add(failed ? proxy_event::failed_by_instance
                                    : proxy_event::answered);
  if (!failed) {
    mIngress.AnswerSizes().Record(mRoute->name, mAnswerBytes);
  }
  duration latency = Now() - mReceived.received;
  mDependencies.counters.Latency().Add(latency);
  if (!failed && Now() > mSoftDeadline) {
    mDependencies.counters.Add(proxy_event::answered_late);
  }
  if (failed) {
    Log("failed_by_instance",
        { { "status", std::to_string(mAnswer.head.status) },
          { "instance", mInstance } });
  }
  std::shared_ptr<server_exchange> exchange = std::move(mExchange);
  Finish();
  if (!mAnswerBegun) {
    bool headOnly = mReceived.head.method == "HEAD";
    exchange->BeginAnswer(
      mAnswer.head,
      headOnly ? mAnswer.length
               : std::optional<std::uint64_t>(mAnswer.body.size()));
    exchange->SendAnswerBody(mAnswer.body);
  }
  exchange->EndAnswer();
}

void
proxied_request::SetDeadlines()
{
  mSoftDeadline = mReceived.received + mRoute->latency_target;
  duration limit = mRoute->timeout;
  if (std::optional<std::int64_t> wait =
        NumberField(mReceived.head.fields, mDependencies.names.timeout_ms)) {
    duration announced = std::chrono::milliseconds(*wait);
    limit = std::min(limit, announced);
    mSoftDeadline -= mIngress.WaitEstimator().EstimateTimeWaited(
      mRoute->name, announced, Now());
  }
  // An instance stops work at the deadline that it is told, so that its answer
  // comes before this process exits.
  mDeadline = std::min(mReceived.received + limit, mIngress.ServingUntil());
}

bool
proxied_request::FitsBeforeExit()
{
  return mReceived.received + mRoute->latency_target <= mIngress.ServingUntil();
}

request_fingerprint
proxied_request::Fingerprint()
{
  if (!mFingerprint) {
    mFingerprint =
      FingerprintOf(mReceived.head, mIngress.CallerService(), mReceived.body);
  }
  return *mFingerprint;
}

crash_count
proxied_request::KnownCrashes()
{
  const crash_table& crashes = mDependencies.crashes;
  return crashes.Empty() ? crash_count{} : crashes.Find(Fingerprint());
}

bool
proxied_request::IsQuarantined()
{
  const crash_table& crashes = mDependencies.crashes;
  return !crashes.Empty() && crashes.IsQuarantined(Fingerprint());
}

void
proxied_request::RecordCrash()
{
  crash_count count = mKnownCrashes;
  ++count.crashes;
  mDependencies.crashes.Merge({ Fingerprint(), count, Now() }, Now());
}

void
proxied_request::Attempt()
{
  if (IsQuarantined()) {
    HandleQuarantine();
    return;
  }
  std::vector<instance_candidate> candidates =
    mIngress.Candidates(mService, mCanary);
  std::optional<std::size_t> chosen = Choose(candidates);
  if (!chosen && mCanary.uses_canary) {
    // No instance of the new version is available: use the old version.
    mCanary = {};
    candidates = mIngress.Candidates(mService, mCanary);
    chosen = Choose(candidates);
  }
  if (!chosen) {
    HandleNoCandidate(candidates.empty());
    return;
  }
  SendTo(candidates[*chosen]);
}

bool
proxied_request::HasAlternative()
{
  return Choose(mIngress.Candidates(mService, mCanary)) ||
         Choose(mIngress.Candidates(mService, {}));
}

std::optional<std::size_t>
proxied_request::Choose(const std::vector<instance_candidate>& aCandidates)
{
  if (mAttempts.attempted_instances.size() >= kMaxNodesPerRequest) {
    return std::nullopt;
  }
  return mDependencies.chooser.Choose(
    aCandidates, mAttempts.attempted_instances, Urgency(), Now());
}

void
proxied_request::SendTo(const instance_candidate& aCandidate)
{
  mAttempts.attempted_instances.insert(aCandidate.instance);
  mInstance = aCandidate.instance;
  mHost = aCandidate.host;
  mInstanceStarted = aCandidate.started_unix_ms;
  mAnswer = {};
  mDependencies.chooser.RecordStart(mInstance);
  mRunning = true;
  run_start started = Dispatch();
  if (!started) {
    EndRun(OutcomeOf(started.error()), started.error().load);
    HandleFailure(started.error());
    return;
  }
  mRun = std::move(*started);
}

run_start
proxied_request::Dispatch()
{
  forwarded_request request;
  request.head = mReceived.head;
  request.body = mReceived.body;
  request.body_complete = mReceived.body_complete;
  request.body_length = mReceived.body_length;
  request.request_id = mRequestId;
  request.caller_service = mIngress.CallerService();
  request.instance = mInstance;
  request.route = mRoute->name;
  request.idempotent = mRoute->idempotent;
  request.priority = Priority();
  request.soft_deadline = mSoftDeadline;
  request.deadline = mDeadline;
  request.request_limit = mIngress.RequestLimits().Find(mInstance);
  mKnownCrashes = KnownCrashes();
  request.crashes = mKnownCrashes;
  if (mHost == mDependencies.directory.Self()) {
    return mDependencies.local.Dispatch(std::move(request), shared_from_this());
  }
  const known_host* host = mDependencies.directory.Find(mHost);
  return mDependencies.hops.Run(
    mHost, host->record.hop, std::move(request), shared_from_this());
}

instance_chooser::outcome
proxied_request::OutcomeOf(const run_failure& aFailure)
{
  switch (aFailure.reason) {
    case run_failure_reason::full:
    case run_failure_reason::leaving:
    case run_failure_reason::wrong_instance:
    case run_failure_reason::evacuated:
      return instance_chooser::outcome::refused;
    case run_failure_reason::upload_stalled:
      return instance_chooser::outcome::cancelled;
    default:
      return instance_chooser::outcome::failed;
  }
}

void
proxied_request::HandleFailure(const run_failure& aFailure)
{
  mDependencies.counters.Add(aFailure.not_run ? proxy_event::hop_refused
                                              : proxy_event::hop_failed);
  Log("attempt_failed",
      { { "instance", mInstance },
        { "reason", std::string(NameOf(aFailure.reason)) },
        { "not_run", aFailure.not_run ? "yes" : "no" } });
  bool retryAcquired = std::exchange(mAttempts.retry_acquired, false);
  if (aFailure.reached_instance && !retryAcquired) {
    ++mAttempts.reached_instance_count;
  }
  mAttempts.may_have_run = mAttempts.may_have_run || !aFailure.not_run;
  if (aFailure.retry_after > duration(0)) {
    mAttempts.retry_after =
      mAttempts.retry_after == duration(0)
        ? aFailure.retry_after
        : std::min(mAttempts.retry_after, aFailure.retry_after);
  }
  if (aFailure.reason == run_failure_reason::crashed) {
    RecordCrash();
  }
  if (mAnswerBegun) {
    AbortAnswer();
    return;
  }
  if (aFailure.reason == run_failure_reason::quarantined || IsQuarantined()) {
    HandleQuarantine();
    return;
  }
  if (aFailure.not_run) {
    mCanary = {}; // what the new version refuses goes to the old one
  }
  if (!aFailure.reached_instance && aFailure.not_run && !mStreamedBody) {
    Attempt();
    return;
  }
  if (aFailure.reason == run_failure_reason::upload_stalled) {
    GiveUp(aFailure); // it would stall at another instance, too
    return;
  }
  bool repeatable = aFailure.not_run || mRoute->idempotent;
  if (retryAcquired || (repeatable && TryAcquireRetry())) {
    Retry();
    return;
  }
  GiveUp(aFailure);
}

bool
proxied_request::TryAcquireRetry()
{
  if (mStreamedBody ||
      mAttempts.reached_instance_count >= mRoute->max_attempts ||
      Now() >= mDeadline) {
    return false;
  }
  if (!mRoute->idempotent && mAttempts.may_have_run) {
    return false;
  }
  if (!mDependencies.retries.TryAcquireRetry(mService, Now())) {
    mDependencies.counters.Add(proxy_event::retry_denied);
    return false;
  }
  return true;
}

void
proxied_request::Retry()
{
  mDependencies.counters.Add(proxy_event::retried);
  Attempt();
}

void
proxied_request::HandleNoCandidate(bool aNoInstance)
{
  if (mAttempts.may_have_run) {
    AnswerFailure(status::kBadGateway, proxy_event::answer_broken);
    return;
  }
  if (aNoInstance) {
    Refuse(proxy_event::no_instance, kRetryAfterNoInstance);
    return;
  }
  Refuse(proxy_event::refused_queue_full, RetryAfter());
}

duration
proxied_request::RetryAfter()
{
  duration retryInterval =
    (mDeadline - mReceived.received) / kRetriesPerCallerTimeout;
  return std::max({ mAttempts.retry_after, kRetryAfterFull, retryInterval });
}

void
proxied_request::GiveUp(const run_failure& aFailure)
{
  if (!mAttempts.may_have_run) {
    Refuse(aFailure.reached_instance ? proxy_event::refused_by_instance
                                     : proxy_event::refused_queue_full,
           RetryAfter());
    return;
  }
  if (aFailure.reason == run_failure_reason::upload_stalled) {
    AnswerFailure(status::kGatewayTimeout, proxy_event::upload_stalled);
    return;
  }
  AnswerFailure(status::kBadGateway, proxy_event::answer_broken);
}

void
proxied_request::OnTimeout()
{
  mTimer = 0;
  if (mAwaitsPermit && mExchange) {
    mExchange->PauseBody(false);
  }
  CancelRun(instance_chooser::outcome::failed);
  if (mAnswerBegun) {
    AbortAnswer();
    return;
  }
  AnswerFailure(status::kGatewayTimeout, proxy_event::timed_out);
}

void
proxied_request::Refuse(proxy_event aEvent, duration aRetryAfter)
{
  RefuseWith(aEvent, RetryAfterText(aRetryAfter, Random()));
}

void
proxied_request::RefuseWith(proxy_event aEvent,
                            const std::string& aRetryAfterText)
{
  CheckInvariant(invariant::not_run_is_true, !mAttempts.may_have_run);
  ReturnPermit();
  mDependencies.counters.Add(aEvent);
  Log(NameOf(aEvent),
      { { "service", mService },
        { "asked", std::to_string(mAttempts.attempted_instances.size()) },
        { "retry_after_s", aRetryAfterText } });
  AnswerLocally(status::kUnavailable, { { "Retry-After", aRetryAfterText } });
}

void
proxied_request::RefuseQuarantined()
{
  duration left = mDependencies.crashes.QuarantineLeft(Fingerprint(), Now());
  auto seconds = std::chrono::ceil<std::chrono::seconds>(left).count();
  RefuseWith(proxy_event::refused_quarantined, std::to_string(seconds));
}

void
proxied_request::HandleQuarantine()
{
  if (mAttempts.may_have_run) {
    AnswerFailure(status::kBadGateway, proxy_event::answer_broken);
    return;
  }
  RefuseQuarantined();
}

void
proxied_request::AnswerFailure(int aStatus, proxy_event aEvent)
{
  if (mFailedAnswer) {
    // The instance's failure answer is more specific than one from this node.
    mAnswer = std::move(*mFailedAnswer);
    ForwardAnswer();
    return;
  }
  mDependencies.counters.Add(aEvent);
  Log(NameOf(aEvent),
      { { "service", mService },
        { "instance", mInstance },
        { "asked", std::to_string(mAttempts.attempted_instances.size()) } });
  AnswerLocally(aStatus, {});
}

void
proxied_request::AnswerLocally(int aStatus, header_fields aFields)
{
  if (!mRequestId.empty()) {
    aFields.push_back({ mDependencies.names.request_id, mRequestId });
  }
  std::shared_ptr<server_exchange> exchange = std::move(mExchange);
  Finish();
  if (exchange) {
    exchange->Answer(aStatus, aFields);
  }
}

void
proxied_request::AbortAnswer()
{
  mDependencies.counters.Add(proxy_event::answer_broken);
  std::shared_ptr<server_exchange> exchange = std::move(mExchange);
  Finish();
  if (exchange) {
    exchange->AbortAnswer();
  }
}

void
proxied_request::CancelRun(instance_chooser::outcome aOutcome)
{
  std::shared_ptr<run_handle> run = std::move(mRun);
  mRun.reset();
  if (run) {
    run->Cancel();
  }
  EndRun(aOutcome, std::nullopt);
}

void
proxied_request::EndRun(instance_chooser::outcome aOutcome,
                        const std::optional<run_load>& aLoad)
{
  mRun.reset();
  if (mRunning) {
    mRunning = false;
    mDependencies.chooser.RecordEnd(
      mInstance, Urgency(), aOutcome, aLoad, Now());
  }
}

void
proxied_request::Finish()
{
  mExchange.reset();
  if (std::exchange(mAwaitsPermit, false)) {
    mDependencies.quota.Cancel(*mOrganisation, *this);
  }
  if (mTimer != 0) {
    Loop().Cancel(mTimer);
    mTimer = 0;
  }
}

void
proxied_request::LogNoRoute()
{
  const config_knowledge& config = mDependencies.config;
  Log(
    "no_route",
    { { "target", mReceived.head.target },
      { "source", config.source },
      { "taken_ms_ago", std::to_string(Milliseconds(Now() - config.taken_at)) },
      { "store_age_ms", StoreAgeText(config, Now()) } });
}

void
proxied_request::Log(std::string_view aEvent,
                     std::initializer_list<log_field> aFields)
{
  std::string line;
  for (const log_field& field : aFields) {
    line += line.empty() ? "" : " ";
    line += field.name;
    line += '=';
    line += field.value;
  }
  LogEvent(
    log_level::info,
    aEvent,
    { { "request", mRequestId },
      { "route", mRoute != nullptr ? mRoute->name : "" },
      { "config", mTable ? std::to_string(mTable->Version()) : "none" },
      { "age_ms", std::to_string(Milliseconds(Now() - mReceived.received)) },
      { "detail", line } });
}

} // namespace eelgrasstrack
