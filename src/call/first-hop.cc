#include "call/first-hop.h"

#include <algorithm>
#include <charconv>

#include "base/hash.h"
#include "base/invariant.h"
#include "http/error-response.h"
#include "routing/route-table.h"

namespace eelgrasstrack {

namespace {

/// Header fields that the node sets itself on a request to an upstream.
bool
SetByNode(std::string_view aName)
{
  return aName == "host" || aName == "x-request-id" || aName == "x-caller" ||
         aName == "x-timeout-ms" || aName == "transfer-encoding";
}

/// Header fields of an upstream's answer that do not go to the caller.
bool
KeptFromCaller(std::string_view aName)
{
  // What an upstream says of a call deeper down does not hold for this one.
  return aName == "transfer-encoding" || aName == "host" ||
         aName == "x-version" || aName == "x-upstream" ||
         aName == "x-execution" || aName == "x-not-run" ||
         aName == "x-request-id";
}

std::uint32_t
TimeoutOf(const route_declaration& aRoute, const http_headers& aHeaders)
{
  std::string_view text = HeaderValue(aHeaders, "x-timeout-ms");
  std::uint32_t asked = 0;
  auto [end, code] =
    std::from_chars(text.data(), text.data() + text.size(), asked);
  bool valid = code == std::errc() && end == text.data() + text.size();
  return valid && asked > 0 ? std::min(asked, aRoute.timeout_ms)
                            : aRoute.timeout_ms;
}

call_outcome
OutcomeOf(const hop_answer& aAnswer, try_verdict aVerdict)
{
  if (aVerdict == try_verdict::bad || !aAnswer.from_last_hop) {
    return call_outcome::failed;
  }
  return aAnswer.Failed() ? call_outcome::refused : call_outcome::answered;
}

} // namespace

first_hop::first_hop(const clock_source& aClock,
                     routing_view& aView,
                     hop_transport& aTransport,
                     claim_service& aClaims,
                     try_observer& aObserver,
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
first_hop::Begin(caller_request aRequest)
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
  , mCall(std::move(aRequest))
{
}

void
call_session::Start()
{
  mStarted = mHop.mClock.Now();
  const http_headers& headers = mCall.request.headers;
  mRequestKey = std::string(HeaderValue(headers, "x-request-id"));
  if (mRequestKey.empty()) {
    mRequestKey = mHop.NewRequestKey();
  }
  mCaller = std::string(HeaderValue(headers, "x-caller"));
  if (mCaller.empty()) {
    mCaller = mCall.request.sender;
  }
  if (!mHop.mView.Ready()) {
    FinishWithError(MakeError(error_kind::not_ready,
                              "this node has no current configuration yet"));
    return;
  }
  mConfig = mHop.mView.Config();
  mRoute = MatchRoute(*mConfig,
                      mCall.request.method,
                      HeaderValue(headers, "host"),
                      mCall.request.path);
  if (mRoute == nullptr) {
    FinishWithError(
      MakeError(error_kind::not_found, "no route matches this request"));
    return;
  }
  mDeadline = mStarted + std::chrono::milliseconds(TimeoutOf(*mRoute, headers));
  first_hop::service_limits& limits = mHop.LimitsOf(mRoute->service);
  if (!limits.throttle.Admits(mStarted)) {
    ++mHop.mCounters.throttled;
    FinishWithError(MakeError(error_kind::overloaded,
                              mRoute->service + " refuses most calls now"));
    return;
  }
  limits.budget.FirstTry();
  bool named = !HeaderValue(headers, "x-request-id").empty();
  if (named && !mRoute->repeatable) {
    ClaimThenTry();
    return;
  }
  ChooseVersionAndTry();
}

void
call_session::ClaimThenTry()
{
  mSession = mHop.mRandom();
  auto self = shared_from_this();
  mHop.mClaims.Claim(mRequestKey, mSession, [self](claim_verdict aVerdict) {
    if (self->mFinished) {
      self->mHop.mClaims.Release(self->mRequestKey, self->mSession);
      return;
    }
    switch (aVerdict) {
      case claim_verdict::granted:
        self->mClaimed = true;
        self->ChooseVersionAndTry();
        return;
      case claim_verdict::duplicate:
        self->mHop.LimitsOf(self->mRoute->service)
          .throttle.Accepted(self->mHop.mClock.Now());
        self->FinishWithError(MakeError(
          error_kind::duplicate_request,
          "another call used this request key in the last five minutes"));
        return;
      case claim_verdict::unanswered:
        self->FinishWithError(
          MakeError(error_kind::peer_lost,
                    "no witness could tell whether this request ran before"));
        return;
    }
  });
}

void
call_session::ChooseVersionAndTry()
{
  version_choice choice =
    ChooseVersion(*mConfig, mHop.mView.Rollouts(), *mRoute, mCaller);
  mVersion = choice.version;
  mExposed = choice.exposed;
  if (choice.rollout != nullptr) {
    mRollout = choice.rollout->id;
    mFallbackVersion = choice.exposed ? choice.rollout->from_version : "";
  }
  Try();
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
  mFiltered.clear();
  for (const upstream_candidate& candidate : all) {
    if (state->ejected.count(candidate.node) == 0) {
      mFiltered.push_back(candidate);
    }
  }
  return mFiltered;
}

void
call_session::Try()
{
  time_point now = mHop.mClock.Now();
  const rollout_state* state =
    mExposed ? mHop.mView.Rollouts().Find(mRollout) : nullptr;
  bool halted = state != nullptr && state->halted;
  const std::vector<upstream_candidate>* candidates =
    halted ? nullptr : &CandidatesOf(mVersion);
  bool none = candidates == nullptr || candidates->empty();
  if (none && mExposed && !mFallbackVersion.empty()) {
    mVersion = mFallbackVersion;
    mExposed = false;
    candidates = &CandidatesOf(mVersion);
  }
  std::optional<std::size_t> chosen =
    mHop.mPicker.Pick(*candidates, mTried, now);
  if (!chosen && !candidates->empty()) {
    // Every upstream was tried once; another turn is as good as any.
    chosen = mHop.mPicker.Pick(*candidates, {}, now);
  }
  if (!chosen) {
    FinishWithError(MakeError(error_kind::no_upstream,
                              "no upstream of " + mRoute->service + " " +
                                mVersion + " is known"));
    return;
  }
  Send((*candidates)[*chosen]);
}

hop_call
call_session::BuildCall(const upstream_candidate& aTarget, duration aLeft)
{
  hop_call call;
  call.head.target_incarnation = aTarget.incarnation;
  call.head.route = mRoute->name;
  call.head.service = mRoute->service;
  call.head.version = mVersion;
  call.head.caller = mCaller;
  call.head.request_key = mRequestKey;
  call.head.repeatable = mRoute->repeatable;
  call.head.timeout_ms = static_cast<std::uint64_t>(Milliseconds(aLeft));
  call.head.method = mCall.request.method;
  call.head.path = mCall.request.path;
  call.head.query = mCall.request.query;
  for (const http_header& header : mCall.request.headers) {
    if (!SetByNode(header.name)) {
      call.head.headers.push_back(header);
    }
  }
  call.head.headers.push_back({ "x-request-id", mRequestKey });
  call.head.headers.push_back({ "x-caller", mCaller });
  call.head.headers.push_back(
    { "x-timeout-ms", std::to_string(call.head.timeout_ms) });
  call.body = mCall.request.body;
  call.head.body_bytes = call.body.size();
  return call;
}

void
call_session::Send(const upstream_candidate& aTarget)
{
  time_point now = mHop.mClock.Now();
  duration left = mDeadline - now;
  ++mTries;
  node_id node = aTarget.node;
  mTried.push_back(node);
  mHop.mPicker.Started(node);
  mObserved = observed_try{};
  if (!mRollout.empty() && !mFailedOnNew) {
    mObserved.rollout = mRollout;
    mObserved.route = mRoute->name;
    mObserved.caller = mCaller;
    mObserved.node = node;
    mObserved.exposed = mExposed;
    mTry = mHop.mObserver.OnTryStarted(mObserved);
  }
  auto self = shared_from_this();
  mToken = mHop.mTransport.Send(
    node, BuildCall(aTarget, left), left, [self, node](hop_answer aAnswer) {
      self->OnAnswer(node, std::move(aAnswer));
    });
}

void
call_session::OnAnswer(const node_id& aNode, hop_answer aAnswer)
{
  mToken = 0;
  RecordOutcome(aNode, aAnswer);
  if (mFinished) {
    return;
  }
  try_verdict verdict = VerdictOf(aAnswer);
  std::optional<error> failure = FailureOf(aAnswer);
  // Only a lack of room is a reason to send less.
  if (!failure || failure->kind != error_kind::overloaded) {
    mHop.LimitsOf(mRoute->service).throttle.Accepted(mHop.mClock.Now());
  }
  bool rescue = verdict == try_verdict::bad && mExposed && mRoute->repeatable;
  if (rescue && !failure) {
    failure =
      error{ error_kind::upstream_broken,
             "the new version answered " + std::to_string(aAnswer.head.status),
             execution::unknown };
    if (RetryAfter(*failure, verdict)) {
      return;
    }
    Deliver(std::move(aAnswer));
    return;
  }
  if (!failure) {
    Deliver(std::move(aAnswer));
    return;
  }
  mMayHaveRun = mMayHaveRun || failure->execution_status == execution::unknown;
  if (RetryAfter(*failure, verdict)) {
    return;
  }
  if (mMayHaveRun) {
    failure->execution_status = execution::unknown;
  }
  FinishWithError(*failure);
}

void
call_session::RecordOutcome(const node_id& aNode, const hop_answer& aAnswer)
{
  time_point now = mHop.mClock.Now();
  try_verdict verdict = VerdictOf(aAnswer);
  mHop.mPicker.Finished(aNode, OutcomeOf(aAnswer, verdict), now);
  if (aAnswer.from_last_hop) {
    mHop.mPicker.Hint(
      aNode, aAnswer.head.load.busy, aAnswer.head.load.queued, now);
  }
  if (!mObserved.rollout.empty()) {
    mObserved.verdict = verdict;
    mObserved.warming = aAnswer.head.warming;
    mObserved.service_time =
      duration(static_cast<duration::rep>(aAnswer.head.service_us));
    mHop.mObserver.OnTryFinished(mTry, mObserved);
  }
}

bool
call_session::RetryAfter(const error& aFailure, try_verdict aVerdict)
{
  failed_try tried;
  tried.kind = aFailure.kind;
  tried.ran = aFailure.execution_status;
  tried.repeatable = mRoute->repeatable;
  tried.tries = mTries;
  tried.left = mDeadline - mHop.mClock.Now();
  if (!MayRetry(tried, mHop.mOptions.retries) ||
      !mHop.LimitsOf(mRoute->service).budget.TakeRetry()) {
    return false;
  }
  ++mHop.mCounters.retries;
  if (mExposed && aVerdict == try_verdict::bad) {
    mFailedOnNew = true;
    mVersion = mFallbackVersion;
    mExposed = false;
  }
  Try();
  return true;
}

void
call_session::Deliver(hop_answer aAnswer)
{
  http_response response;
  response.status = aAnswer.head.status;
  for (http_header& header : aAnswer.head.headers) {
    if (!KeptFromCaller(header.name)) {
      response.headers.push_back(std::move(header));
    }
  }
  response.headers.push_back({ "x-version", mVersion });
  response.headers.push_back({ "x-upstream", mTried.back() });
  response.body = std::move(aAnswer.body);
  CheckInvariant(invariant::answer_matches_request,
                 response.body.size() == aAnswer.head.body_bytes);
  ++mHop.mCounters.answered;
  mHop.mCounters.rescued += mFailedOnNew ? 1 : 0;
  Respond(std::move(response));
}

void
call_session::FinishWithError(const error& aFailure)
{
  if (aFailure.execution_status == execution::not_run) {
    ++mHop.mCounters.failed_not_run;
    if (mClaimed) {
      mHop.mClaims.Release(mRequestKey, mSession);
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
  bool hurt = aResponse.status >= kFirstServerError;
  if (hurt && (mExposed || mFailedOnNew)) {
    mHop.mObserver.OnCallerHurt(mRollout, mCaller);
  }
  aResponse.headers.push_back({ "x-request-id", mRequestKey });
  if (mHop.on_finished) {
    mHop.on_finished(mRoute == nullptr ? "" : mRoute->name,
                     mHop.mClock.Now() - mStarted,
                     aResponse.status);
  }
  mCall.respond(std::move(aResponse));
}

void
call_session::Abandon()
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  if (mToken == 0) {
    return;
  }
  mHop.mTransport.Cancel(mToken);
  mToken = 0;
  node_id node = mTried.back();
  mHop.mPicker.Finished(node, call_outcome::refused, mHop.mClock.Now());
  if (!mObserved.rollout.empty()) {
    mObserved.verdict = try_verdict::no_evidence;
    mHop.mObserver.OnTryFinished(mTry, mObserved);
  }
}

} // namespace eelgrasstrack
