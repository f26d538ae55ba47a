#include "call/first-hop.h"

#include <algorithm>

#include "base/hash.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/parse-number.h"
#include "http/error-response.h"
#include "routing/route-table.h"

namespace eelgrasstrack {

namespace {

/// Whether the node itself sets this header field on a request to an upstream.
bool
IsSetByNode(std::string_view aName)
{
  return aName == "host" || aName == "x-request-id" || aName == "x-caller" ||
         aName == "x-timeout-ms" || aName == "transfer-encoding";
}

/// Whether this header field of an upstream's answer is not sent to the caller.
bool
IsHiddenFromCaller(std::string_view aName)
{
  // An upstream that calls another service may pass on the mesh's header fields
  // of that nested call, which do not describe this one.
  return aName == "transfer-encoding" || aName == "host" ||
         aName == "x-version" || aName == "x-upstream" ||
         aName == "x-execution" || aName == "x-not-run" ||
         aName == "x-request-id";
}

/// Timeout in milliseconds: the caller's, limited by that of the route.
std::uint32_t
TimeoutOf(const route_declaration& aRoute, const http_headers& aHeaders)
{
  std::string_view text = HeaderValue(aHeaders, "x-timeout-ms");
  std::uint32_t requested = ParseNumber<std::uint32_t>(text).value_or(0);
  return requested > 0 ? std::min(requested, aRoute.timeout_ms)
                       : aRoute.timeout_ms;
}

call_outcome
OutcomeOf(const hop_answer& aAnswer, attempt_result aResult)
{
  if (aResult == attempt_result::failure || !aAnswer.from_last_hop) {
    return call_outcome::failed;
  }
  return aAnswer.IsFailure() ? call_outcome::refused : call_outcome::answered;
}

} // namespace

first_hop::first_hop(const clock_source& aClock,
                     routing_view& aView,
                     hop_transport& aTransport,
                     claim_service& aClaims,
                     attempt_observer& aObserver,
                     first_hop_options aOptions)
  : mClock(aClock)
  , mView(aView)
  , mTransport(aTransport)
  , mClaims(aClaims)
  , mObserver(aObserver)
  , mOptions(std::move(aOptions))
  , mPicker(mOptions.domain, mOptions.picker, mOptions.random_seed)
  , mRandom(mOptions.random_seed + 1)
{
}

std::shared_ptr<call_session>
first_hop::StartCall(caller_request aRequest)
{
  ++mCounters.calls;
  auto session = std::make_shared<call_session>(*this, std::move(aRequest));
  session->Start();
  return session;
}

first_hop::service_limits&
first_hop::LimitsOf(const std::string& aService)
{
  auto found = mLimits.find(aService);
  if (found == mLimits.end()) {
    service_limits limits{ retry_budget(mOptions.retries),
                           adaptive_throttle(mRandom()) };
    found = mLimits.emplace(aService, std::move(limits)).first;
  }
  return found->second;
}

std::string
first_hop::NewRequestKey()
{
  return HexOf(mRandom()) + HexOf(HashOf(mOptions.self, mRandom()));
}

call_session::call_session(first_hop& aHop, caller_request aRequest)
  : mHop(aHop)
  , mCallerRequest(std::move(aRequest))
{
}

void
call_session::LogNoRoute() const
{
  const config_knowledge& config = mHop.mView.Knowledge();
  duration heldFor = mStarted - config.taken_at;
  LogEvent(log_level::info,
           "no_route",
           { { "request", mRequestKey },
             { "target", mCallerRequest.request.path },
             { "config", std::to_string(config.version) },
             { "source", config.source },
             { "taken_ms_ago", std::to_string(Milliseconds(heldFor)) },
             { "store_age_ms", StoreAgeText(config, mStarted) } });
}

void
call_session::Start()
{
  mStarted = mHop.mClock.Now();
  const http_headers& headers = mCallerRequest.request.headers;
  mRequestKey = std::string(HeaderValue(headers, "x-request-id"));
  if (mRequestKey.empty()) {
    mRequestKey = mHop.NewRequestKey();
  }
  mCaller = std::string(HeaderValue(headers, "x-caller"));
  if (mCaller.empty()) {
    mCaller = mCallerRequest.request.remote_address;
  }
  if (!mHop.mView.Ready()) {
    RespondWithError(
      MakeError(error_kind::not_ready, "node has no current configuration"));
    return;
  }
  mConfig = mHop.mView.Config();
  mRoute = MatchRoute(*mConfig,
                      mCallerRequest.request.method,
                      HeaderValue(headers, "host"),
                      mCallerRequest.request.path);
  if (mRoute == nullptr) {
    LogNoRoute();
    RespondWithError(
      MakeError(error_kind::not_found, "no route matches this request"));
    return;
  }
  mDeadline = mStarted + std::chrono::milliseconds(TimeoutOf(*mRoute, headers));
  first_hop::service_limits& limits = mHop.LimitsOf(mRoute->service);
  if (!limits.throttle.TryAdmit(mStarted)) {
    ++mHop.mCounters.throttled;
    RespondWithError(MakeError(
      error_kind::overloaded,
      mRoute->service + ": call throttled, service refuses most calls"));
    return;
  }
  limits.budget.RecordFirstAttempt();
  bool hasCallerKey = !HeaderValue(headers, "x-request-id").empty();
  if (hasCallerKey && !mRoute->repeatable) {
    ClaimKeyAndStartAttempt();
    return;
  }
  ChooseVersionAndStartAttempt();
}

void
call_session::ClaimKeyAndStartAttempt()
{
  mClaimSession = mHop.mRandom();
  auto self = shared_from_this();
  mHop.mClaims.Claim(mRequestKey, mClaimSession, [self](claim_result aResult) {
    if (self->mFinished) {
      self->mHop.mClaims.Release(self->mRequestKey, self->mClaimSession);
      return;
    }
    switch (aResult) {
      case claim_result::granted:
        self->mHoldsClaim = true;
        self->ChooseVersionAndStartAttempt();
        return;
      case claim_result::duplicate:
        self->mHop.LimitsOf(self->mRoute->service)
          .throttle.RecordAccepted(self->mHop.mClock.Now());
        self->RespondWithError(MakeError(
          error_kind::duplicate_request,
          "another call used this request key in the last five minutes"));
        return;
      case claim_result::unanswered:
        self->RespondWithError(MakeError(
          error_kind::peer_lost, "no witness of the request key answered"));
        return;
    }
  });
}

void
call_session::ChooseVersionAndStartAttempt()
{
  version_choice choice =
    ChooseVersion(*mConfig, mHop.mView.Rollouts(), *mRoute, mCaller);
  mVersion = choice.version;
  mExposed = choice.exposed;
  if (choice.rollout != nullptr) {
    mRollout = choice.rollout->id;
    mFallbackVersion = choice.exposed ? choice.rollout->from_version : "";
  }
  StartAttempt();
}

const std::vector<upstream_candidate>&
call_session::CandidatesOf(const std::string& aVersion)
{
  const std::vector<upstream_candidate>& all =
    mHop.mView.Candidates(mRoute->service, aVersion);
  const rollout_state* state =
    mExposed ? mHop.mView.Rollouts().Find(mRollout) : nullptr;
  if (state == nullptr || state->ejected.empty()) {
    return all;
  }
  mFilteredCandidates.clear();
  for (const upstream_candidate& candidate : all) {
    if (state->ejected.count(candidate.node) == 0) {
      mFilteredCandidates.push_back(candidate);
    }
  }
  return mFilteredCandidates;
}

void
call_session::StartAttempt()
{
  time_point now = mHop.mClock.Now();
  const rollout_state* state =
    mExposed ? mHop.mView.Rollouts().Find(mRollout) : nullptr;
  bool halted = state != nullptr && state->halted;
  const std::vector<upstream_candidate>* candidates =
    halted ? nullptr : &CandidatesOf(mVersion);
  bool noCandidates = candidates == nullptr || candidates->empty();
  if (noCandidates && mExposed && !mFallbackVersion.empty()) {
    mVersion = mFallbackVersion;
    mExposed = false;
    candidates = &CandidatesOf(mVersion);
  }
  std::optional<std::size_t> chosen =
    mHop.mPicker.Pick(*candidates, mAttemptedNodes, now);
  if (!chosen && !candidates->empty()) {
    // Each upstream has had one attempt. Pick among all of them again.
    chosen = mHop.mPicker.Pick(*candidates, {}, now);
  }
  if (!chosen) {
    RespondWithError(MakeError(error_kind::no_upstream,
                               "no upstream of " + mRoute->service + " " +
                                 mVersion + " is known"));
    return;
  }
  Send((*candidates)[*chosen]);
}

hop_call
call_session::BuildCall(const upstream_candidate& aTarget, duration aTimeLeft)
{
  hop_call call;
  call.head.target_incarnation = aTarget.incarnation;
  call.head.route = mRoute->name;
  call.head.service = mRoute->service;
  call.head.version = mVersion;
  call.head.caller = mCaller;
  call.head.request_key = mRequestKey;
  call.head.repeatable = mRoute->repeatable;
  call.head.timeout_ms = static_cast<std::uint64_t>(Milliseconds(aTimeLeft));
  call.head.method = mCallerRequest.request.method;
  call.head.path = mCallerRequest.request.path;
  call.head.query = mCallerRequest.request.query;
  for (const http_header& header : mCallerRequest.request.headers) {
    if (!IsSetByNode(header.name)) {
      call.head.headers.push_back(header);
    }
  }
  call.head.headers.push_back({ "x-request-id", mRequestKey });
  call.head.headers.push_back({ "x-caller", mCaller });
  call.head.headers.push_back(
    { "x-timeout-ms", std::to_string(call.head.timeout_ms) });
  call.body = mCallerRequest.request.body;
  call.head.body_bytes = call.body.size();
  return call;
}

void
call_session::Send(const upstream_candidate& aTarget)
{
  time_point now = mHop.mClock.Now();
  duration timeLeft = mDeadline - now;
  ++mAttempts;
  node_id node = aTarget.node;
  mAttemptedNodes.push_back(node);
  mHop.mPicker.RecordStart(node);
  mObservedAttempt = observed_attempt{};
  if (!mRollout.empty() && !mFailedOnNewVersion) {
    mObservedAttempt.rollout = mRollout;
    mObservedAttempt.route = mRoute->name;
    mObservedAttempt.caller = mCaller;
    mObservedAttempt.node = node;
    mObservedAttempt.exposed = mExposed;
    mAttemptId = mHop.mObserver.OnAttemptStarted(mObservedAttempt);
  }
  auto self = shared_from_this();
  mTransportToken =
    mHop.mTransport.Send(node,
                         BuildCall(aTarget, timeLeft),
                         timeLeft,
                         [self, node](hop_answer aAnswer) {
                           self->OnAnswer(node, std::move(aAnswer));
                         });
}

void
call_session::OnAnswer(const node_id& aNode, hop_answer aAnswer)
{
  mTransportToken = 0;
  RecordOutcome(aNode, aAnswer);
  if (mFinished) {
    return;
  }
  attempt_result result = ClassifyAnswer(aAnswer);
  std::optional<error> failure = FailureOf(aAnswer);
  // The throttle counts only overload as a rejection.
  if (!failure || failure->kind != error_kind::overloaded) {
    mHop.LimitsOf(mRoute->service).throttle.RecordAccepted(mHop.mClock.Now());
  }
  bool canFallBack =
    result == attempt_result::failure && mExposed && mRoute->repeatable;
  if (canFallBack && !failure) {
    failure = error{ error_kind::upstream_broken,
                     "new version answered with status " +
                       std::to_string(aAnswer.head.status),
                     execution::unknown };
    if (RetryIfAllowed(*failure, result)) {
      return;
    }
    RespondWithAnswer(std::move(aAnswer));
    return;
  }
  if (!failure) {
    RespondWithAnswer(std::move(aAnswer));
    return;
  }
  mMayHaveRun = mMayHaveRun || failure->execution_status == execution::unknown;
  if (RetryIfAllowed(*failure, result)) {
    return;
  }
  if (mMayHaveRun) {
    failure->execution_status = execution::unknown;
  }
  RespondWithError(*failure);
}

void
call_session::RecordOutcome(const node_id& aNode, const hop_answer& aAnswer)
{
  time_point now = mHop.mClock.Now();
  attempt_result result = ClassifyAnswer(aAnswer);
  mHop.mPicker.RecordFinish(aNode, OutcomeOf(aAnswer, result), now);
  if (aAnswer.from_last_hop) {
    mHop.mPicker.UpdateLoadHint(
      aNode, aAnswer.head.load.busy, aAnswer.head.load.queued, now);
  }
  if (!mObservedAttempt.rollout.empty()) {
    mObservedAttempt.result = result;
    mObservedAttempt.warming = aAnswer.head.warming;
    mObservedAttempt.service_time =
      duration(static_cast<duration::rep>(aAnswer.head.service_us));
    mHop.mObserver.OnAttemptFinished(mAttemptId, mObservedAttempt);
  }
}

bool
call_session::RetryIfAllowed(const error& aFailure, attempt_result aResult)
{
  failed_attempt attempt;
  attempt.kind = aFailure.kind;
  attempt.execution_status = aFailure.execution_status;
  attempt.repeatable = mRoute->repeatable;
  attempt.attempts = mAttempts;
  attempt.time_left = mDeadline - mHop.mClock.Now();
  if (!MayRetry(attempt, mHop.mOptions.retries) ||
      !mHop.LimitsOf(mRoute->service).budget.TryAcquireRetry()) {
    return false;
  }
  ++mHop.mCounters.retries;
  if (mExposed && aResult == attempt_result::failure) {
    mFailedOnNewVersion = true;
    mVersion = mFallbackVersion;
    mExposed = false;
  }
  StartAttempt();
  return true;
}

void
call_session::RespondWithAnswer(hop_answer aAnswer)
{
  http_response response;
  response.status = aAnswer.head.status;
  for (http_header& header : aAnswer.head.headers) {
    if (!IsHiddenFromCaller(header.name)) {
      response.headers.push_back(std::move(header));
    }
  }
  response.headers.push_back({ "x-version", mVersion });
  response.headers.push_back({ "x-upstream", mAttemptedNodes.back() });
  response.body = std::move(aAnswer.body);
  CheckInvariant(invariant::answer_matches_request,
                 response.body.size() == aAnswer.head.body_bytes);
  ++mHop.mCounters.answered;
  mHop.mCounters.answered_by_fallback += mFailedOnNewVersion ? 1 : 0;
  Respond(std::move(response));
}

void
call_session::RespondWithError(const error& aFailure)
{
  if (aFailure.execution_status == execution::not_run) {
    ++mHop.mCounters.failed_not_run;
    if (mHoldsClaim) {
      mHop.mClaims.Release(mRequestKey, mClaimSession);
    }
  } else {
    ++mHop.mCounters.failed_unknown;
  }
  Respond(ErrorResponse(aFailure));
}

void
call_session::Respond(http_response aResponse)
{
  mFinished = true;
  constexpr int kFirstServerError = 500;
  bool isServerError = aResponse.status >= kFirstServerError;
  if (isServerError && (mExposed || mFailedOnNewVersion)) {
    mHop.mObserver.OnCallFailed(mRollout, mCaller);
  }
  aResponse.headers.push_back({ "x-request-id", mRequestKey });
  if (mHop.on_finished) {
    mHop.on_finished(mRoute == nullptr ? "" : mRoute->name,
                     mHop.mClock.Now() - mStarted,
                     aResponse.status);
  }
  mCallerRequest.respond(std::move(aResponse));
}

void
call_session::Cancel()
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  if (mTransportToken == 0) {
    return;
  }
  mHop.mTransport.Cancel(mTransportToken);
  mTransportToken = 0;
  node_id node = mAttemptedNodes.back();
  mHop.mPicker.RecordFinish(node, call_outcome::refused, mHop.mClock.Now());
  if (!mObservedAttempt.rollout.empty()) {
    mObservedAttempt.result = attempt_result::no_evidence;
    mHop.mObserver.OnAttemptFinished(mAttemptId, mObservedAttempt);
  }
}

} // namespace eelgrasstrack
