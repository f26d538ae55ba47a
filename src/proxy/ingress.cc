#include "proxy/ingress.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "base/log.h"

namespace eelgrasstrack {

namespace {

constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;

/// An answer up to this size is collected before it is passed on, so that
/// a broken one can be replaced.
constexpr std::size_t kCollectAnswerBytes = 64U << 10U;
/// Unsent bytes of a streamed body above which its source is paused.
constexpr std::size_t kStreamWindowBytes = 256U << 10U;
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

/// One request of a caller, from its route to its answer.
class request_course final
  : public request_owner
  , public answer_sink
  , public std::enable_shared_from_this<request_course>
{
public:
  request_course(ingress& aIngress,
                 received_request aRequest,
                 std::shared_ptr<server_session> aSession)
    : mIngress(aIngress)
    , mParts(aIngress.mParts)
    , mTable(aIngress.mTable)
    , mReceived(std::move(aRequest))
    , mSession(std::move(aSession))
  {
  }

  void Start()
  {
    mParts.counters.Add(proxy_event::request_received);
    if (const std::string* id =
          FindField(mReceived.head.fields, mParts.names.request_id)) {
      mRequestId = *id;
    }
    if (mIngress.mRefusing) {
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
      AnswerOwn(kNotFound, {});
      return;
    }
    SetTimes();
    mService = mIngress.NextTarget(*mRoute);
    mTrial = mParts.versions.DrawTrial(mService, Now());
    mParts.retries.CountFirst(mService, Now());
    KeepEndToEndFields(mReceived.head.fields, mParts.names);
    mTimer = Loop().After(mDeadline + kDeadlineGrace - Now(),
                          [self = shared_from_this()] { self->OnTimeout(); });
    Attempt();
  }

  // request_owner

  void OnSenderLeft() override
  {
    mParts.counters.Add(proxy_event::sender_left);
    CancelRun(instance_chooser::outcome::withdrawn);
    Finish();
  }

  void OnMoreBody(std::string_view aBytes, bool aLast) override
  {
    mReceived.body_whole = aLast;
    mStreamedBody = true;
    if (!mRun) {
      return;
    }
    mRun->SendBody(aBytes, aLast);
    if (mRun->Unsent() > kStreamWindowBytes) {
      mSession->PauseBody(true);
    }
  }

  void OnAnswerSent() override
  {
    if (mRun) {
      mRun->PauseAnswer(false);
    }
  }

  // answer_sink

  bool EndForSilence() override
  {
    ++mReached; // it may have arrived there
    mRepeatGranted = mRoute->idempotent && !mAnswerBegun && MayRepeat();
    if (!mRepeatGranted) {
      --mReached;
    }
    return mRepeatGranted;
  }

  void OnBodyWanted() override
  {
    if (mSession) {
      mSession->PauseBody(false);
    }
  }

  void OnAnswer(message_head aHead,
                std::optional<std::uint64_t> aLength,
                const run_load& aLoad) override
  {
    mAnswer = std::move(aHead);
    mAnswerLength = aLength;
    mLoad = aLoad;
  }

  void OnAnswerBody(std::string_view aBytes) override
  {
    mAnswerBody.append(aBytes);
    if (!mAnswerBegun && mAnswerBody.size() > kCollectAnswerBytes) {
      mAnswerBegun = true;
      mSession->BeginAnswer(mAnswer, mAnswerLength);
    }
    if (mAnswerBegun) {
      mSession->AnswerBody(mAnswerBody);
      mAnswerBody.clear();
      if (mRun && mSession->Unsent() > kStreamWindowBytes) {
        mRun->PauseAnswer(true);
      }
    }
  }

  void OnAnswerEnd() override
  {
    bool failed = mAnswer.status >= kFirstServerError;
    EndRun(failed ? instance_chooser::outcome::failed
                  : instance_chooser::outcome::answered,
           mLoad);
    mMayHaveRun = true; // the instance made this answer
    ++mReached;
    if (failed && !mAnswerBegun && mAnswer.status != kGatewayTimeout &&
        MayRepeat()) {
      mFailedAnswer = std::move(mAnswer);
      mFailedAnswerBody = std::move(mAnswerBody);
      SendAgain();
      return;
    }
    PassOnAnswer();
  }

  void OnRunFailed(const run_failure& aFailure) override
  {
    EndRun(OutcomeOf(aFailure), aFailure.load);
    HandleFailure(aFailure);
  }

private:
  loop& Loop() { return mParts.host.Loop(); }
  time_point Now() { return Loop().Now(); }

  /// Passes the instance's answer on, or the rest of it.
  void PassOnAnswer()
  {
    bool failed = mAnswer.status >= kFirstServerError;
    mParts.counters.Add(failed ? proxy_event::failed_by_instance
                               : proxy_event::answered);
    duration took = Now() - mReceived.received;
    mParts.counters.Latency().Add(took);
    if (!failed && Now() > mGoal) {
      mParts.counters.Add(proxy_event::answered_late);
    }
    if (failed) {
      Log("failed_by_instance",
          { { "status", std::to_string(mAnswer.status) },
            { "instance", mInstance } });
    }
    std::shared_ptr<server_session> session = std::move(mSession);
    Finish();
    if (!mAnswerBegun) {
      bool headOnly = mReceived.head.method == "HEAD";
      session->BeginAnswer(
        mAnswer,
        headOnly ? mAnswerLength
                 : std::optional<std::uint64_t>(mAnswerBody.size()));
      session->AnswerBody(mAnswerBody);
    }
    session->EndAnswer();
  }

  void SetTimes()
  {
    mGoal = mReceived.received + mRoute->goal;
    duration limit = mRoute->timeout;
    if (std::optional<std::int64_t> wait =
          NumberField(mReceived.head.fields, mParts.names.timeout_ms)) {
      duration announced = std::chrono::milliseconds(*wait);
      limit = std::min(limit, announced);
      mGoal -= mIngress.mPatience.WaitedBefore(mRoute->name, announced, Now());
    }
    mDeadline = mReceived.received + limit;
  }

  void Attempt()
  {
    std::vector<instance_candidate> candidates =
      mIngress.Candidates(mService, mTrial);
    std::optional<std::size_t> chosen = Choose(candidates);
    if (!chosen && mTrial.tries) {
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

  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates)
  {
    if (mAsked >= kMaxNodesAsked) {
      return std::nullopt;
    }
    return mParts.chooser.Choose(aCandidates, mTried, AsChoice(), Now());
  }

  choice_request AsChoice() { return { mRoute->rank, mGoal - Now() }; }

  void SendTo(const instance_candidate& aCandidate)
  {
    ++mAsked;
    mTried.insert(aCandidate.instance);
    mInstance = aCandidate.instance;
    mAnswer = {};
    mAnswerBody.clear();
    mParts.chooser.Started(mInstance);
    mRunning = true;
    run_start started = Dispatch(aCandidate.host);
    if (!started) {
      EndRun(OutcomeOf(started.error()), started.error().load);
      HandleFailure(started.error());
      return;
    }
    mRun = std::move(*started);
  }

  run_start Dispatch(const std::string& aHostName)
  {
    forwarded_request request;
    request.head = mReceived.head;
    request.body = mReceived.body;
    request.body_whole = mReceived.body_whole;
    request.body_length = mReceived.body_length;
    request.request_id = mRequestId;
    request.caller_service = mIngress.mCallerService;
    request.instance = mInstance;
    request.route = mRoute->name;
    request.idempotent = mRoute->idempotent;
    request.rank = mRoute->rank;
    request.goal = mGoal;
    request.deadline = mDeadline;
    if (aHostName == mParts.directory.Self()) {
      return mParts.local.Run(std::move(request), shared_from_this());
    }
    const known_host* host = mParts.directory.Find(aHostName);
    return mParts.hops.Run(
      aHostName, host->record.hop, std::move(request), shared_from_this());
  }

  static instance_chooser::outcome OutcomeOf(const run_failure& aFailure)
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

  void HandleFailure(const run_failure& aFailure)
  {
    mParts.counters.Add(aFailure.not_run ? proxy_event::hop_refused
                                         : proxy_event::hop_failed);
    Log("attempt_failed",
        { { "instance", mInstance },
          { "reason", std::string(NameOf(aFailure.reason)) },
          { "not_run", aFailure.not_run ? "yes" : "no" } });
    bool granted = std::exchange(mRepeatGranted, false);
    if (aFailure.reached && !granted) {
      ++mReached;
    }
    mMayHaveRun = mMayHaveRun || !aFailure.not_run;
    if (aFailure.room_in > duration(0)) {
      mRoomIn = mRoomIn == duration(0) ? aFailure.room_in
                                       : std::min(mRoomIn, aFailure.room_in);
    }
    if (mAnswerBegun) {
      CutAnswer();
      return;
    }
    if (!aFailure.reached && aFailure.not_run && !mStreamedBody) {
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

  /// Whether the request may be sent to another instance, the budget included.
  bool MayRepeat()
  {
    if (mStreamedBody || mReached >= mRoute->attempts || Now() >= mDeadline) {
      return false;
    }
    if (!mRoute->idempotent && mMayHaveRun) {
      return false;
    }
    if (!mParts.retries.TakeRepeat(mService, Now())) {
      mParts.counters.Add(proxy_event::retry_denied);
      return false;
    }
    return true;
  }

  void SendAgain()
  {
    mParts.counters.Add(proxy_event::sent_again);
    Attempt();
  }

  void NoneLeft(bool aNoInstance)
  {
    if (mMayHaveRun) {
      AnswerFailure(kBadGateway, proxy_event::answer_broken);
      return;
    }
    if (aNoInstance) {
      Refuse(proxy_event::no_instance, kRetryAfterNoInstance);
      return;
    }
    Refuse(proxy_event::refused_full, RoomIn());
  }

  /// When to come back: not before there is room, and late enough that the
  /// few returns a caller has are not spent on one moment.
  duration RoomIn()
  {
    duration patience = (mDeadline - mReceived.received) / kReturnsInPatience;
    return std::max({ mRoomIn, kRetryAfterFull, patience });
  }

  void GiveUp(const run_failure& aFailure)
  {
    if (!mMayHaveRun) {
      Refuse(aFailure.reached ? proxy_event::refused_by_instance
                              : proxy_event::refused_full,
             RoomIn());
      return;
    }
    AnswerFailure(kBadGateway, proxy_event::answer_broken);
  }

  void OnTimeout()
  {
    mTimer = 0;
    CancelRun(instance_chooser::outcome::failed);
    if (mAnswerBegun) {
      CutAnswer();
      return;
    }
    AnswerFailure(kGatewayTimeout, proxy_event::timed_out);
  }

  /// Answers that the request has not run, and when to come back.
  void Refuse(proxy_event aEvent, duration aRoomIn)
  {
    CheckInvariant(invariant::not_run_is_true, !mMayHaveRun);
    mParts.counters.Add(aEvent);
    std::string retryAfter = RetryAfterText(aRoomIn, Random());
    Log(NameOf(aEvent),
        { { "service", mService },
          { "asked", std::to_string(mAsked) },
          { "retry_after_s", retryAfter } });
    AnswerOwn(kUnavailable, { { "Retry-After", retryAfter } });
  }

  void AnswerFailure(int aStatus, proxy_event aEvent)
  {
    if (mFailedAnswer) {
      // An instance's own failure says more than one of ours.
      mAnswer = std::move(*mFailedAnswer);
      mAnswerBody = std::move(mFailedAnswerBody);
      PassOnAnswer();
      return;
    }
    mParts.counters.Add(aEvent);
    Log(NameOf(aEvent),
        { { "service", mService },
          { "instance", mInstance },
          { "asked", std::to_string(mAsked) } });
    AnswerOwn(aStatus, {});
  }

  void AnswerOwn(int aStatus, header_fields aFields)
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

  void CutAnswer()
  {
    mParts.counters.Add(proxy_event::answer_broken);
    std::shared_ptr<server_session> session = std::move(mSession);
    Finish();
    if (session) {
      session->CutAnswer();
    }
  }

  void CancelRun(instance_chooser::outcome aOutcome)
  {
    std::shared_ptr<run_handle> run = std::move(mRun);
    mRun.reset();
    if (run) {
      run->Cancel();
    }
    EndRun(aOutcome, std::nullopt);
  }

  void EndRun(instance_chooser::outcome aOutcome,
              const std::optional<run_load>& aLoad)
  {
    mRun.reset();
    if (mRunning) {
      mRunning = false;
      mParts.chooser.Ended(mInstance, AsChoice(), aOutcome, aLoad, Now());
    }
  }

  void Finish()
  {
    mSession.reset();
    if (mTimer != 0) {
      Loop().Cancel(mTimer);
      mTimer = 0;
    }
  }

  void Log(std::string_view aEvent, std::initializer_list<log_field> aFields)
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

  ingress& mIngress;
  ingress_parts& mParts;
  /// The configuration by which the request is handled, kept whole.
  traffic_table_ptr mTable;
  received_request mReceived;
  std::shared_ptr<server_session> mSession;
  const traffic_route* mRoute = nullptr;
  std::string mRequestId;
  std::string mService;
  std::string mInstance;
  std::set<std::string> mTried;
  std::shared_ptr<run_handle> mRun;
  timer_id mTimer = 0;
  time_point mGoal{};
  time_point mDeadline{};
  duration mRoomIn{ 0 };
  message_head mAnswer;
  std::optional<std::uint64_t> mAnswerLength;
  std::string mAnswerBody;
  /// A failure that an instance answered before the request was sent again.
  std::optional<message_head> mFailedAnswer;
  std::string mFailedAnswerBody;
  run_load mLoad;
  unsigned mAsked = 0;
  /// Instances that the request was sent to.
  unsigned mReached = 0;
  bool mRunning = false;
  /// A repeat was taken out of the budget before the try was ended.
  bool mRepeatGranted = false;
  trial_draw mTrial;
  bool mMayHaveRun = false;
  bool mStreamedBody = false;
  bool mAnswerBegun = false;
};

ingress::ingress(ingress_parts aParts)
  : mParts(aParts)
{
}

result<void>
ingress::Listen(const endpoint& aAddress)
{
  return mParts.host.Listen(
    aAddress, [this](std::shared_ptr<connection> aConnection) {
      auto session = std::make_shared<server_session>(
        aConnection, *this, mSessions, mParts.host.Loop());
      mSessions.Add(session);
      aConnection->SetObserver(session);
    });
}

void
ingress::SetCallerService(std::string aService)
{
  mCallerService = std::move(aService);
}

void
ingress::SetTable(traffic_table_ptr aTable)
{
  bool rises = !mTable || aTable->Version() > mTable->Version();
  CheckInvariant(invariant::version_only_rises, rises);
  if (rises) {
    mTable = std::move(aTable);
  }
}

void
ingress::SetClosing(bool aClosing)
{
  mClosing = aClosing;
}

traffic_limits
ingress::Limits() const
{
  return mTable ? mTable->Limits() : traffic_limits{};
}

std::shared_ptr<request_owner>
ingress::Begin(received_request aRequest,
               const std::shared_ptr<server_session>& aSession)
{
  auto course =
    std::make_shared<request_course>(*this, std::move(aRequest), aSession);
  course->Start();
  return course;
}

const std::string&
ingress::NextTarget(const traffic_route& aRoute)
{
  if (aRoute.targets.size() == 1) {
    return aRoute.targets.front().service;
  }
  // Smooth weighted round robin: each part gets its exact share.
  std::map<std::string, double>& inHand = mWeights[aRoute.name];
  double total = 0;
  const weighted_service* best = nullptr;
  for (const weighted_service& target : aRoute.targets) {
    double& weight = inHand[target.service];
    weight += target.weight;
    total += target.weight;
    if (best == nullptr || weight > inHand[best->service]) {
      best = &target;
    }
  }
  inHand[best->service] -= total;
  return best->service;
}

std::vector<instance_candidate>
ingress::Candidates(const std::string& aService, const trial_draw& aTrial) const
{
  std::vector<instance_candidate> candidates;
  const version_move* move = mParts.versions.MoveOf(aService);
  time_point now = mParts.host.Loop().Now();
  for (const known_host* host : mParts.directory.Serving(aService)) {
    const instance_record& instance = host->record.instance;
    bool wanted = aTrial.tries
                    ? move != nullptr && instance.version == move->to
                    : mParts.versions.Ordinary(aService, instance.version);
    if (!wanted) {
      continue;
    }
    instance_candidate candidate;
    candidate.host = host->record.name;
    candidate.instance = instance.id;
    candidate.domain = host->record.domain;
    candidate.slots = instance.slots;
    candidate.unreachable = host->unreachable;
    candidate.cold = now - host->learned < instance.cold_left;
    candidates.push_back(std::move(candidate));
  }
  if (aTrial.instance && candidates.size() > 1) {
    // Hosts are in the order of their names, the same on every node.
    return { candidates[*aTrial.instance % candidates.size()] };
  }
  return candidates;
}

} // namespace eelgrasstrack
