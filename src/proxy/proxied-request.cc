#include "proxy/proxied-request.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// An answer up to this size is collected before it is passed on, so that
/// a broken one can be replaced.
constexpr std::size_t kCollectAnswerBytes = 64U << 10U;
/// How long after its deadline a request still waits for its answer, as the
/// instance itself stops at the deadline.
constexpr duration kDeadlineGrace = std::chrono::milliseconds(120);
/// Nodes that are asked for one request: a refusal comes within a round trip.
constexpr unsigned kMaxNodesAsked = 5;
constexpr duration kShortestRetryAfter = std::chrono::milliseconds(60);
constexpr duration kLongestRetryAfter = std::chrono::seconds(2);
constexpr duration kRetryAfterStart = std::chrono::milliseconds(500);
/// Where no instance is known: time for one to announce itself.
constexpr duration kRetryAfterNoInstance = std::chrono::milliseconds(500);
/// A caller that waits this long in all should come back after one part.
constexpr int kReturnsInPatience = 5;
/// Where all were full and none told when there is room.
constexpr duration kRetryAfterFull = std::chrono::milliseconds(150);

std::string
RetryAfterText(duration aTime, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> spread(1.0, 1.5);
  duration wait = std::clamp(aTime, kShortestRetryAfter, kLongestRetryAfter);
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
                                 std::shared_ptr<server_session> aSession)
  : streamed_exchange(std::move(aSession))
  , mIngress(aIngress)
  , mParts(aIngress.Dependencies())
  , mTable(aIngress.Table())
  , mReceived(std::move(aRequest))
{
}

void
proxied_request::Start()
{
  mParts.counters.Add(proxy_event::request_received);
  if (const std::string* id =
        FindField(mReceived.head.fields, mParts.names.request_id)) {
    mRequestId = *id;
  }
  if (mIngress.Refusing()) {
    Refuse(proxy_event::node_stopping, kRetryAfterStart);
    return;
  }
  if (!mTable) {
    Refuse(proxy_event::no_configuration, kRetryAfterStart);
    return;
  }
  const std::string* host = FindField(mReceived.head.fields, "Host");
  mRoute = mTable->Match(host != nullptr ? *host : "", mReceived.head.target);
  if (mRoute == nullptr) {
    mParts.counters.Add(proxy_event::no_route);
    Log("no_route", { { "target", mReceived.head.target } });
    AnswerOwn(status::kNotFound, {});
    return;
  }
  SetTimes();
  mService = mIngress.NextTarget(*mRoute);
  mTrial = mParts.versions.DecideCanary(mService, Now());
  mParts.retries.CountFirst(mService, Now());
  KeepEndToEndFields(mReceived.head.fields, mParts.names);
  mTimer = Loop().RunAfter(mDeadline + kDeadlineGrace - Now(),
                           [self = shared_from_this()] { self->OnTimeout(); });
  Attempt();
}

void
proxied_request::OnClientDisconnected()
{
  mParts.counters.Add(proxy_event::client_disconnected);
  CancelRun(instance_chooser::outcome::cancelled);
  Finish();
}

void
proxied_request::OnRequestBody(std::string_view aBytes, bool aLast)
{
  mReceived.body_complete = aLast;
  mStreamedBody = true;
  streamed_exchange::OnRequestBody(aBytes, aLast);
}

bool
proxied_request::ShouldCancelOnUnresponsiveHost()
{
  ++mTries.reached; // it may have arrived there
  mTries.repeat_granted = mRoute->idempotent && !mAnswerBegun && MayRepeat();
  if (!mTries.repeat_granted) {
    --mTries.reached;
  }
  return mTries.repeat_granted;
}

void
proxied_request::OnAnswer(message_head aHead,
                          std::optional<std::uint64_t> aLength,
                          const run_load& aLoad)
{
  mAnswer.head = std::move(aHead);
  mAnswer.length = aLength;
  mLoad = aLoad;
}

void
proxied_request::OnAnswerBody(std::string_view aBytes)
{
  mAnswer.body.append(aBytes);
  if (!mAnswerBegun && mAnswer.body.size() > kCollectAnswerBytes) {
    mAnswerBegun = true;
    mSession->BeginAnswer(mAnswer.head, mAnswer.length);
  }
  if (mAnswerBegun) {
    PassAnswerBody(mAnswer.body);
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
  mTries.may_have_run = true; // the instance made this answer
  ++mTries.reached;
  if (failed && !mAnswerBegun &&
      mAnswer.head.status != status::kGatewayTimeout && MayRepeat()) {
    mFailedAnswer = std::move(mAnswer);
    SendAgain();
    return;
  }
  PassOnAnswer();
}

void
proxied_request::OnRunFailed(const run_failure& aFailure)
{
  EndRun(OutcomeOf(aFailure), aFailure.load);
  HandleFailure(aFailure);
}

void
proxied_request::PassOnAnswer()
{
  bool failed = status::IsServerError(mAnswer.head.status);
  mParts.counters.Add(failed ? proxy_event::failed_by_instance
                             : proxy_event::answered);
  duration took = Now() - mReceived.received;
  mParts.counters.Latency().Add(took);
  if (!failed && Now() > mGoal) {
    mParts.counters.Add(proxy_event::answered_late);
  }
  if (failed) {
    Log("failed_by_instance",
        { { "status", std::to_string(mAnswer.head.status) },
          { "instance", mInstance } });
  }
  std::shared_ptr<server_session> session = std::move(mSession);
  Finish();
  if (!mAnswerBegun) {
    bool headOnly = mReceived.head.method == "HEAD";
    session->BeginAnswer(mAnswer.head,
                         headOnly
                           ? mAnswer.length
                           : std::optional<std::uint64_t>(mAnswer.body.size()));
    session->AnswerBody(mAnswer.body);
  }
  session->EndAnswer();
}

void
proxied_request::SetTimes()
{
  mGoal = mReceived.received + mRoute->latency_target;
  duration limit = mRoute->timeout;
  if (std::optional<std::int64_t> wait =
        NumberField(mReceived.head.fields, mParts.names.timeout_ms)) {
    duration announced = std::chrono::milliseconds(*wait);
    limit = std::min(limit, announced);
    mGoal -= mIngress.Patience().WaitedBefore(mRoute->name, announced, Now());
  }
  mDeadline = mReceived.received + limit;
}

void
proxied_request::Attempt()
{
  std::vector<instance_candidate> candidates =
    mIngress.Candidates(mService, mTrial);
  std::optional<std::size_t> chosen = Choose(candidates);
  if (!chosen && mTrial.uses_canary) {
    // The new version has no room: the old one serves.
    mTrial = {};
    candidates = mIngress.Candidates(mService, mTrial);
    chosen = Choose(candidates);
  }
  if (!chosen) {
    NoneLeft(candidates.empty());
    return;
  }
  SendTo(candidates[*chosen]);
}

std::optional<std::size_t>
proxied_request::Choose(const std::vector<instance_candidate>& aCandidates)
{
  if (mTries.asked.size() >= kMaxNodesAsked) {
    return std::nullopt;
  }
  return mParts.chooser.Choose(aCandidates, mTries.asked, AsChoice(), Now());
}

void
proxied_request::SendTo(const instance_candidate& aCandidate)
{
  mTries.asked.insert(aCandidate.instance);
  mInstance = aCandidate.instance;
  mAnswer = {};
  mParts.chooser.RecordStart(mInstance);
  mRunning = true;
  run_start started = Dispatch(aCandidate.host);
  if (!started) {
    EndRun(OutcomeOf(started.error()), started.error().load);
    HandleFailure(started.error());
    return;
  }
  mRun = std::move(*started);
}

run_start
proxied_request::Dispatch(const std::string& aHostName)
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
  request.priority = mRoute->priority;
  request.soft_deadline = mGoal;
  request.deadline = mDeadline;
  if (aHostName == mParts.directory.Self()) {
    return mParts.local.Dispatch(std::move(request), shared_from_this());
  }
  const known_host* host = mParts.directory.Find(aHostName);
  return mParts.hops.Run(
    aHostName, host->record.hop, std::move(request), shared_from_this());
}

instance_chooser::outcome
proxied_request::OutcomeOf(const run_failure& aFailure)
{
  switch (aFailure.reason) {
    case run_failure_reason::full:
    case run_failure_reason::leaving:
    case run_failure_reason::wrong_instance:
      return instance_chooser::outcome::refused;
    default:
      return instance_chooser::outcome::failed;
  }
}

void
proxied_request::HandleFailure(const run_failure& aFailure)
{
  mParts.counters.Add(aFailure.not_run ? proxy_event::hop_refused
                                       : proxy_event::hop_failed);
  Log("attempt_failed",
      { { "instance", mInstance },
        { "reason", std::string(NameOf(aFailure.reason)) },
        { "not_run", aFailure.not_run ? "yes" : "no" } });
  bool granted = std::exchange(mTries.repeat_granted, false);
  if (aFailure.reached_instance && !granted) {
    ++mTries.reached;
  }
  mTries.may_have_run = mTries.may_have_run || !aFailure.not_run;
  if (aFailure.retry_after > duration(0)) {
    mTries.room_in = mTries.room_in == duration(0)
                       ? aFailure.retry_after
                       : std::min(mTries.room_in, aFailure.retry_after);
  }
  if (mAnswerBegun) {
    CutAnswer();
    return;
  }
  if (!aFailure.reached_instance && aFailure.not_run && !mStreamedBody) {
    Attempt();
    return;
  }
  bool repeatable = aFailure.not_run || mRoute->idempotent;
  if (granted || (repeatable && MayRepeat())) {
    SendAgain();
    return;
  }
  GiveUp(aFailure);
}

bool
proxied_request::MayRepeat()
{
  if (mStreamedBody || mTries.reached >= mRoute->max_attempts ||
      Now() >= mDeadline) {
    return false;
  }
  if (!mRoute->idempotent && mTries.may_have_run) {
    return false;
  }
  if (!mParts.retries.TakeRepeat(mService, Now())) {
    mParts.counters.Add(proxy_event::retry_denied);
    return false;
  }
  return true;
}

void
proxied_request::SendAgain()
{
  mParts.counters.Add(proxy_event::retried);
  Attempt();
}

void
proxied_request::NoneLeft(bool aNoInstance)
{
  if (mTries.may_have_run) {
    AnswerFailure(status::kBadGateway, proxy_event::answer_broken);
    return;
  }
  if (aNoInstance) {
    Refuse(proxy_event::no_instance, kRetryAfterNoInstance);
    return;
  }
  Refuse(proxy_event::refused_queue_full, RoomIn());
}

duration
proxied_request::RoomIn()
{
  duration patience = (mDeadline - mReceived.received) / kReturnsInPatience;
  return std::max({ mTries.room_in, kRetryAfterFull, patience });
}

void
proxied_request::GiveUp(const run_failure& aFailure)
{
  if (!mTries.may_have_run) {
    Refuse(aFailure.reached_instance ? proxy_event::refused_by_instance
                                     : proxy_event::refused_queue_full,
           RoomIn());
    return;
  }
  AnswerFailure(status::kBadGateway, proxy_event::answer_broken);
}

void
proxied_request::OnTimeout()
{
  mTimer = 0;
  CancelRun(instance_chooser::outcome::failed);
  if (mAnswerBegun) {
    CutAnswer();
    return;
  }
  AnswerFailure(status::kGatewayTimeout, proxy_event::timed_out);
}

void
proxied_request::Refuse(proxy_event aEvent, duration aRoomIn)
{
  CheckInvariant(invariant::not_run_is_true, !mTries.may_have_run);
  mParts.counters.Add(aEvent);
  std::string retryAfter = RetryAfterText(aRoomIn, Random());
  Log(NameOf(aEvent),
      { { "service", mService },
        { "asked", std::to_string(mTries.asked.size()) },
        { "retry_after_s", retryAfter } });
  AnswerOwn(status::kUnavailable, { { "Retry-After", retryAfter } });
}

void
proxied_request::AnswerFailure(int aStatus, proxy_event aEvent)
{
  if (mFailedAnswer) {
    // An instance's own failure says more than one of ours.
    mAnswer = std::move(*mFailedAnswer);
    PassOnAnswer();
    return;
  }
  mParts.counters.Add(aEvent);
  Log(NameOf(aEvent),
      { { "service", mService },
        { "instance", mInstance },
        { "asked", std::to_string(mTries.asked.size()) } });
  AnswerOwn(aStatus, {});
}

void
proxied_request::AnswerOwn(int aStatus, header_fields aFields)
{
  if (!mRequestId.empty()) {
    aFields.push_back({ mParts.names.request_id, mRequestId });
  }
  std::shared_ptr<server_session> session = std::move(mSession);
  Finish();
  if (session) {
    session->Answer(aStatus, aFields);
  }
}

void
proxied_request::CutAnswer()
{
  mParts.counters.Add(proxy_event::answer_broken);
  std::shared_ptr<server_session> session = std::move(mSession);
  Finish();
  if (session) {
    session->AbortAnswer();
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
    mParts.chooser.RecordEnd(mInstance, AsChoice(), aOutcome, aLoad, Now());
  }
}

void
proxied_request::Finish()
{
  mSession.reset();
  if (mTimer != 0) {
    Loop().Cancel(mTimer);
    mTimer = 0;
  }
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
