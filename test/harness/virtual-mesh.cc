#include "harness/virtual-mesh.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "call/first-hop.h"
#include "call/last-hop.h"
#include "membership/overlay.h"

namespace eelgrasstrack::harness {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "rota-board";
constexpr const char* kRollout = "move";
constexpr duration kCallTimeout = milliseconds(2000);
/// Standard deviation of the logarithm of the service time.
constexpr double kServiceTimeSpread = 0.35;
constexpr double kNoisyFailureRate = 0.01;
constexpr double kCommonFailureRate = 0.3;
/// A late fault appears after this part of the plan time.
constexpr double kLateFaultProgress = 0.4;
/// Factor on the service time of a slow version.
constexpr int kSlowFactor = 3;
/// Schedule of the baselines: the share of callers, in hundredths of a percent,
/// from each part of the plan time on.
constexpr std::array<double, 6> kBaselineTimes{ 0.0, 0.2, 0.4, 0.6, 0.8, 0.9 };
constexpr std::array<std::uint32_t, 6> kBaselineShares{ 100,  500,  1000,
                                                        2500, 5000, 10000 };
/// Calls to the new version after which `fixed_threshold` evaluates them, and
/// the failure rate above which it rolls back.
constexpr std::uint64_t kBaselineCalls = 100;
constexpr double kBaselineThreshold = 0.05;

constexpr std::array<std::string_view, 13> kFaultNames{
  "none",       "fails_always", "fails_fifth",     "fails_twentieth",
  "slow",       "fails_later",  "slow_under_load", "single_route",
  "one_domain", "one_instance", "truncated",       "common_failure",
  "noisy"
};
constexpr std::array<std::string_view, 4> kPlatformNames{ "calm",
                                                          "store_out",
                                                          "herd_restart",
                                                          "partition" };
constexpr std::array<std::string_view, 3> kPolicyNames{ "product",
                                                        "timed_steps",
                                                        "fixed_threshold" };

} // namespace

std::string_view
NameOf(version_fault aFault)
{
  return kFaultNames[static_cast<std::size_t>(aFault)];
}

std::string_view
NameOf(platform_fault aFault)
{
  return kPlatformNames[static_cast<std::size_t>(aFault)];
}

std::string_view
NameOf(rollout_policy aPolicy)
{
  return kPolicyNames[static_cast<std::size_t>(aPolicy)];
}

/// Simulates the upstream on one host.
class virtual_mesh::fake_upstream final : public upstream_connection
{
public:
  fake_upstream(virtual_mesh& aMesh, std::size_t aInstance, bool aIsNewVersion)
    : mMesh(aMesh)
    , mInstance(aInstance)
    , mIsNewVersion(aIsNewVersion)
  {
  }

  std::shared_ptr<http_call> Start(http_request aRequest,
                                   duration aTimeout,
                                   http_callback aDone) override
  {
    if (mIsNewVersion) {
      mMesh.mLastNewVersionCall = mMesh.mTime.Now();
    }
    bool faulty = mIsNewVersion && mMesh.FaultApplies(mInstance, aRequest.path);
    ++mRunning;
    duration time = ServiceTime(faulty);
    http_result answer = Answer(faulty);
    if (time > aTimeout) {
      time = aTimeout;
      answer =
        Fail(error_kind::deadline_exceeded, "no answer within the timeout");
    }
    mMesh.mTime.RunAfter(time, [this, answer, aDone] {
      --mRunning;
      aDone(answer);
    });
    return nullptr;
  }

private:
  double RandomFraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(mMesh.mRandom);
  }

  duration ServiceTime(bool aFaulty)
  {
    std::lognormal_distribution<double> spread(0, kServiceTimeSpread);
    double factor = spread(mMesh.mRandom);
    version_fault fault = mMesh.mOptions.fault;
    bool loaded = mRunning * 2 > mMesh.mOptions.slots;
    bool slow = fault == version_fault::slow_threefold ||
                (fault == version_fault::slow_under_load && loaded);
    factor *= aFaulty && slow ? kSlowFactor : 1;
    return duration(static_cast<duration::rep>(
      factor * static_cast<double>(mMesh.mOptions.base_time.count())));
  }

  http_result Answer(bool aFaulty)
  {
    double failure = FailureChance(aFaulty);
    if (RandomFraction() >= failure) {
      return http_response{ 200, {}, "ok" };
    }
    if (aFaulty && mMesh.mOptions.fault == version_fault::truncated) {
      return Fail(error_kind::upstream_broken, "the answer is truncated");
    }
    return http_response{ 500, {}, "fault" };
  }

  double FailureChance(bool aFaulty) const
  {
    double progress = mMesh.Progress();
    switch (mMesh.mOptions.fault) {
      case version_fault::noisy:
        return kNoisyFailureRate;
      case version_fault::common_failure:
        return progress > 0.35 && progress < 0.45 ? kCommonFailureRate : 0;
      case version_fault::fails_always:
        return aFaulty ? 1 : 0;
      case version_fault::fails_fifth:
      case version_fault::fails_later:
        return aFaulty ? 0.2 : 0;
      case version_fault::fails_twentieth:
        return aFaulty ? 0.05 : 0;
      case version_fault::single_route:
      case version_fault::one_domain:
      case version_fault::one_instance:
      case version_fault::truncated:
        return aFaulty ? 0.5 : 0;
      default:
        return 0;
    }
  }

  virtual_mesh& mMesh;
  std::size_t mInstance;
  bool mIsNewVersion;
  unsigned mRunning = 0;
};

/// One node: the product's decision code, with fakes of its environment.
class virtual_mesh::virtual_node final
  : public routing_view
  , public hop_transport
  , public claim_service
  , public attempt_observer
  , public rollout_environment
{
public:
  virtual_node(virtual_mesh& aMesh, std::size_t aIndex, member_record aRecord)
    : mMesh(aMesh)
    , mIndex(aIndex)
    , mRecord(std::move(aRecord))
  {
    Restart();
  }

  /// Starts a new incarnation with empty state.
  void Restart()
  {
    ++mGeneration;
    ++mRecord.incarnation;
    // Calls in progress use the objects of the old incarnation until they end.
    mRetiredFirstHops.push_back(std::move(mFirstHop));
    mRetiredLastHops.push_back(std::move(mLastHop));
    first_hop_options options;
    options.self = mRecord.node;
    options.domain = mRecord.domain;
    options.random_seed = mMesh.mRandom();
    mFirstHop = std::make_unique<first_hop>(
      mMesh.mTime, *this, *this, *this, *this, options);
    mLastHop = std::make_unique<last_hop>(mMesh.mTime, mRecord.incarnation);
    mDriver = std::make_unique<rollout_driver>(*this, mMesh.mTime);
    mRollouts = rollout_state_table{};
    bool isNewVersion = mRecord.upstream->version == "v2";
    std::size_t instance = mIndex % mMesh.mOptions.instances_per_version;
    local_upstream local;
    local.service = kService;
    local.version = mRecord.upstream->version;
    local.limits = { mMesh.mOptions.slots, mMesh.mOptions.slots * 4 };
    local.warm_up_until = mMesh.mTime.Now() + seconds(5);
    mLastHop->SetUpstream(
      local, std::make_shared<fake_upstream>(mMesh, instance, isNewVersion));
  }

  void Tick()
  {
    if (mMesh.mOptions.policy == rollout_policy::product) {
      mDriver->Tick();
    }
    mLastHop->Tick();
  }

  first_hop& FirstHop() { return *mFirstHop; }
  rollout_state_table& MutableRollouts() { return mRollouts; }
  const member_record& Record() const { return mRecord; }

  // routing_view
  bool Ready() const override { return true; }
  const snapshot_ptr& Config() const override { return mMesh.mConfig; }
  const config_knowledge& Knowledge() const override { return mKnowledge; }
  const rollout_state_table& Rollouts() const override { return mRollouts; }
  const std::vector<upstream_candidate>& Candidates(
    const std::string&,
    const std::string& aVersion) override
  {
    mCandidates.clear();
    for (const auto& node : mMesh.mNodes) {
      if (node->mRecord.upstream->version == aVersion) {
        mCandidates.push_back({ node->mRecord.node,
                                node->mRecord.domain,
                                node->mRecord.incarnation,
                                mMesh.mOptions.slots });
      }
    }
    return mCandidates;
  }

  // hop_transport
  hop_token Send(const node_id& aNode,
                 hop_call aCall,
                 duration aTimeout,
                 hop_callback aDone) override
  {
    hop_token token = mNextToken++;
    mPendingCalls[token] = std::move(aDone);
    mMesh.mTime.RunAfter(aTimeout, [this, token] {
      FailCall(token, error_kind::deadline_exceeded);
    });
    std::size_t target = std::stoul(aNode);
    aCall.head.id = token;
    if (!mMesh.IsReachable(mIndex, target)) {
      return token;
    }
    auto call = std::make_shared<hop_call>(std::move(aCall));
    mMesh.mTime.RunAfter(Latency(target), [this, token, target, call] {
      Deliver(token, target, call);
    });
    return token;
  }
  void Cancel(hop_token aToken) override { mPendingCalls.erase(aToken); }

  // claim_service: callers here send no request IDs.
  void Claim(const std::string&,
             std::uint64_t,
             std::function<void(claim_result)> aDone) override
  {
    mMesh.mTime.RunAfter(duration(0),
                         [aDone] { aDone(claim_result::granted); });
  }
  void Release(const std::string&, std::uint64_t) override {}

  // attempt_observer
  attempt_id OnAttemptStarted(const observed_attempt& aAttempt) override
  {
    mDriver->OnAttemptStarted(
      aAttempt.rollout, ++mNextAttempt, RecordOf(aAttempt));
    return mNextAttempt;
  }
  void OnAttemptFinished(attempt_id aId,
                         const observed_attempt& aAttempt) override
  {
    bool counts = aAttempt.result != attempt_result::no_evidence;
    mDriver->OnAttemptFinished(
      aAttempt.rollout, aId, RecordOf(aAttempt), counts);
    bool isNewVersion = aAttempt.exposed && counts;
    mMesh.mBaselineNewCalls += isNewVersion ? 1 : 0;
    mMesh.mBaselineNewFailures +=
      isNewVersion && aAttempt.result == attempt_result::failure ? 1 : 0;
  }
  void OnCallFailed(const std::string& aRollout,
                    const std::string& aCaller) override
  {
    mDriver->OnCallerHurt(aRollout, aCaller);
  }

  // rollout_environment
  const std::string& SelfNode() const override { return mRecord.node; }
  std::uint64_t SelfIncarnation() const override { return mRecord.incarnation; }
  const snapshot_ptr& RolloutConfig() const override { return mMesh.mConfig; }
  const rollout_state_table& RolloutStates() const override
  {
    return mRollouts;
  }
  std::size_t FleetSize() const override { return mMesh.mNodes.size(); }
  std::vector<std::string> CollectorsOf(const std::string& aId) const override
  {
    member_table members;
    for (const auto& node : mMesh.mNodes) {
      if (mMesh.IsReachable(mIndex, node->mIndex)) {
        members.Merge(node->mRecord, mMesh.mTime.Now());
      }
    }
    return RendezvousMembers(members, "collect/" + aId, 2);
  }
  std::uint32_t SlotsOf(const std::string&, const std::string&) const override
  {
    return static_cast<std::uint32_t>(mMesh.mOptions.instances_per_version *
                                      mMesh.mOptions.slots);
  }
  void PublishState(const rollout_state& aState) override
  {
    if (mRollouts.Merge(aState)) {
      mMesh.SpreadState(mIndex, aState);
    }
  }
  void SendReport(const std::string& aCollector,
                  evidence_report aReport) override
  {
    ++mMesh.mOutcome.report_messages;
    std::size_t target = std::stoul(aCollector);
    mMesh.mTime.RunAfter(Latency(target), [this, target, aReport] {
      if (mMesh.IsReachable(mIndex, target)) {
        mMesh.mNodes[target]->mDriver->OnReport(aReport);
      }
    });
  }
  void SendAck(const std::string& aReporter,
               const std::string& aId,
               std::uint64_t aIncarnation,
               std::uint64_t aNextWindow) override
  {
    std::size_t target = std::stoul(aReporter);
    mMesh.mTime.RunAfter(Latency(target), [=, this] {
      if (mMesh.IsReachable(mIndex, target)) {
        mMesh.mNodes[target]->mDriver->OnAck(
          mRecord.node, aId, aIncarnation, aNextWindow);
      }
    });
  }
  void RecordOutcome(const std::string&,
                     rollout_phase aPhase,
                     const rollout_state& aState) override
  {
    if (!mMesh.mStoreDown &&
        mMesh.mPartitionedDomains.count(mIndex % mMesh.mOptions.domains) == 0) {
      mMesh.mTime.RunAfter(milliseconds(10), [this, aPhase, aState] {
        mMesh.ApplyOutcome(aPhase, aState);
      });
    }
  }

private:
  static recorded_attempt RecordOf(const observed_attempt& aAttempt)
  {
    recorded_attempt attempt;
    attempt.route = aAttempt.route;
    attempt.caller = aAttempt.caller;
    attempt.node = aAttempt.node;
    attempt.exposed = aAttempt.exposed;
    attempt.failed = aAttempt.result == attempt_result::failure;
    attempt.warming_up = aAttempt.warming;
    attempt.service_time = aAttempt.service_time;
    return attempt;
  }

  duration Latency(std::size_t aTarget) const
  {
    return aTarget == mIndex ? duration(10) : mMesh.mOptions.latency;
  }

  void Deliver(hop_token aToken,
               std::size_t aTarget,
               const std::shared_ptr<hop_call>& aCall)
  {
    virtual_node& target = *mMesh.mNodes[aTarget];
    std::uint64_t generation = target.mGeneration;
    target.mLastHop->Handle(
      std::move(*aCall),
      [this, aToken, aTarget, generation](hop_answer aAnswer) {
        if (mMesh.mNodes[aTarget]->mGeneration != generation ||
            !mMesh.IsReachable(mIndex, aTarget)) {
          return;
        }
        mMesh.mTime.RunAfter(Latency(aTarget), [this, aToken, aAnswer] {
          auto found = mPendingCalls.find(aToken);
          if (found == mPendingCalls.end()) {
            return;
          }
          hop_callback done = std::move(found->second);
          mPendingCalls.erase(found);
          done(aAnswer);
        });
      });
  }

  void FailCall(hop_token aToken, error_kind aKind)
  {
    auto found = mPendingCalls.find(aToken);
    if (found == mPendingCalls.end()) {
      return;
    }
    hop_callback done = std::move(found->second);
    mPendingCalls.erase(found);
    hop_answer answer;
    answer.from_last_hop = false;
    answer.head.failure = MakeError(aKind, "no answer");
    done(answer);
  }

  virtual_mesh& mMesh;
  std::size_t mIndex;
  member_record mRecord;
  std::uint64_t mGeneration = 0;
  std::unique_ptr<first_hop> mFirstHop;
  std::unique_ptr<last_hop> mLastHop;
  std::vector<std::unique_ptr<first_hop>> mRetiredFirstHops;
  std::vector<std::unique_ptr<last_hop>> mRetiredLastHops;
  std::unique_ptr<rollout_driver> mDriver;
  rollout_state_table mRollouts;
  std::vector<upstream_candidate> mCandidates;
  config_knowledge mKnowledge;
  std::map<hop_token, hop_callback> mPendingCalls;
  hop_token mNextToken = 1;
  attempt_id mNextAttempt = 0;
};

virtual_mesh::virtual_mesh(mesh_options aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
{
  mStart = mTime.Now();
  mStartMs = mTime.UnixMilliseconds();
  mDeadlineMs = mStartMs + Milliseconds(mOptions.plan_time);
  BuildConfig();
  BuildNodes();
}

virtual_mesh::~virtual_mesh() = default;

void
virtual_mesh::BuildConfig()
{
  service_declaration service;
  service.name = kService;
  service.version = "v1";
  service.slots = mOptions.slots;
  config_document document = DocumentOf(service);
  mDocuments[document.key] = document.text;
  nlohmann::json routes = nlohmann::json::array();
  for (std::size_t i = 0; i < mOptions.routes; ++i) {
    routes.push_back({ { "name", "route-" + std::to_string(i) },
                       { "path_prefix", "/route-" + std::to_string(i) },
                       { "service", kService },
                       { "timeout_ms", Milliseconds(kCallTimeout) },
                       { "repeatable", mOptions.repeatable } });
  }
  mDocuments["routes/main"] = nlohmann::json{
    { "kind", "routes" }, { "name", "main" }, { "routes", routes }
  }.dump();
  rollout_declaration rollout;
  rollout.id = kRollout;
  rollout.service = kService;
  rollout.from_version = "v1";
  rollout.to_version = "v2";
  rollout.start_unix_ms = mStartMs;
  rollout.deadline_unix_ms = mDeadlineMs;
  document = DocumentOf(rollout);
  mDocuments[document.key] = document.text;
  mConfig = *BuildSnapshot(1, mDocuments);
}

void
virtual_mesh::BuildNodes()
{
  for (std::size_t i = 0; i < mOptions.instances_per_version * 2; ++i) {
    member_record record;
    record.node = std::to_string(i);
    record.domain = "domain-" + std::to_string(i % mOptions.domains);
    std::string version = i < mOptions.instances_per_version ? "v1" : "v2";
    record.upstream =
      upstream_record{ kService, version, mOptions.slots, false };
    mNodes.push_back(std::make_unique<virtual_node>(*this, i, record));
  }
}

double
virtual_mesh::Progress() const
{
  return std::chrono::duration<double>(mTime.Now() - mStart) /
         std::chrono::duration<double>(mOptions.plan_time);
}

bool
virtual_mesh::FaultApplies(std::size_t aInstance,
                           const std::string& aPath) const
{
  switch (mOptions.fault) {
    case version_fault::fails_later:
      return Progress() >= kLateFaultProgress;
    case version_fault::single_route:
      return aPath.rfind("/route-1", 0) == 0;
    case version_fault::one_domain:
      return aInstance % mOptions.domains == 1;
    case version_fault::one_instance:
      return aInstance == 1;
    default:
      return true;
  }
}

bool
virtual_mesh::IsReachable(std::size_t aFrom, std::size_t aTo) const
{
  std::size_t from = aFrom % mOptions.domains;
  std::size_t to = aTo % mOptions.domains;
  return from == to || (mPartitionedDomains.count(from) == 0 &&
                        mPartitionedDomains.count(to) == 0);
}

void
virtual_mesh::SpreadState(std::size_t aFrom, const rollout_state& aState)
{
  if (aState.halted && mFirstHalt == time_point{}) {
    mFirstHalt = mTime.Now();
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    mTime.RunAfter(mOptions.latency * 2, [this, aFrom, i, aState] {
      if (IsReachable(aFrom, i)) {
        mNodes[i]->MutableRollouts().Merge(aState);
      }
    });
  }
}

void
virtual_mesh::ExchangeStates()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    std::size_t other = (i + 1) % mNodes.size();
    const rollout_state* state = mNodes[i]->MutableRollouts().Find(kRollout);
    if (state != nullptr && IsReachable(i, other)) {
      mNodes[other]->MutableRollouts().Merge(rollout_state(*state));
    }
  }
  mTime.RunAfter(milliseconds(500), [this] { ExchangeStates(); });
}

void
virtual_mesh::ApplyOutcome(rollout_phase aPhase, const rollout_state& aState)
{
  auto open = mConfig->rollouts.find(kRollout);
  if (!open->second.IsOpen()) {
    return;
  }
  mOutcome.done = aPhase == rollout_phase::done;
  mOutcome.taken_back = aPhase == rollout_phase::taken_back;
  mOutcome.reason = aState.halt_reason;
  rollout_declaration rollout = open->second;
  rollout.phase = aPhase;
  config_document document = DocumentOf(rollout);
  mDocuments[document.key] = document.text;
  if (mOutcome.done) {
    service_declaration service = *mConfig->FindService(kService);
    service.version = "v2";
    document = DocumentOf(service);
    mDocuments[document.key] = document.text;
  }
  mConfig = *BuildSnapshot(mConfig->version + 1, mDocuments);
}

void
virtual_mesh::ScheduleCalls()
{
  std::exponential_distribution<double> gap(mOptions.calls_per_second);
  auto wait = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(gap(mRandom)));
  mTime.RunAfter(wait, [this] {
    SendCall();
    ScheduleCalls();
  });
}

void
virtual_mesh::SendCall()
{
  std::uniform_int_distribution<std::size_t> draw(0, mOptions.callers - 1);
  std::size_t caller = draw(mRandom);
  std::uniform_real_distribution<double> fraction(0, 1);
  // Route 1 has the least traffic; the other routes share the rest evenly.
  std::size_t route = 1;
  if (mOptions.routes > 1 && fraction(mRandom) >= mOptions.quiet_route_share) {
    std::uniform_int_distribution<std::size_t> other(0, mOptions.routes - 2);
    route = other(mRandom);
    route += route >= 1 ? 1 : 0;
  }
  caller_request call;
  call.request.method = "GET";
  call.request.path =
    "/route-" + std::to_string(route % mOptions.routes) + "/x";
  call.request.headers = { { "x-caller", "caller-" + std::to_string(caller) } };
  time_point started = mTime.Now();
  call.respond = [this, caller, started](const http_response& aResponse) {
    bool isNewVersion = HeaderValue(aResponse.headers, "x-version") == "v2";
    // Far above the service times of the old version, so callers notice it.
    bool slow = isNewVersion && mTime.Now() - started > mOptions.base_time * 4;
    bool failed = aResponse.status >= 500;
    ++mOutcome.calls;
    if (isNewVersion) {
      mExposedCallers.insert(caller);
    }
    if ((failed || slow) && FaultAffectsCallers()) {
      ++mOutcome.calls_hurt;
      mAffectedCallers.insert(caller);
    }
  };
  mNodes[caller % mNodes.size()]->FirstHop().StartCall(std::move(call));
}

bool
virtual_mesh::FaultAffectsCallers() const
{
  return mOptions.fault != version_fault::none &&
         mOptions.fault != version_fault::noisy &&
         mOptions.fault != version_fault::common_failure;
}

void
virtual_mesh::ApplyPlatformFault()
{
  duration plan = mOptions.plan_time;
  switch (mOptions.platform) {
    case platform_fault::none:
      return;
    case platform_fault::store_out:
      mTime.RunAfter(plan / 10, [this] { mStoreDown = true; });
      mTime.RunAfter(plan + seconds(30), [this] { mStoreDown = false; });
      return;
    case platform_fault::herd_restart:
      mTime.RunAfter(plan / 5, [this] {
        for (std::size_t i = 0; i < mNodes.size(); i += 2) {
          mNodes[i]->Restart();
        }
      });
      return;
    case platform_fault::partition:
      mTime.RunAfter(plan / 5, [this] { mPartitionedDomains.insert(2); });
      mTime.RunAfter(plan * 2 / 5, [this] { mPartitionedDomains.clear(); });
      return;
  }
}

void
virtual_mesh::RunBaselineStep()
{
  if (mOptions.policy == rollout_policy::product ||
      !mConfig->rollouts.at(kRollout).IsOpen()) {
    return;
  }
  double progress = Progress();
  rollout_state state;
  state.id = kRollout;
  for (std::size_t i = 0; i < kBaselineTimes.size(); ++i) {
    state.share =
      progress >= kBaselineTimes[i] ? kBaselineShares[i] : state.share;
  }
  bool evaluate = mOptions.policy == rollout_policy::fixed_threshold &&
                  mBaselineNewCalls >= kBaselineCalls;
  if (evaluate) {
    double rate = static_cast<double>(mBaselineNewFailures) /
                  static_cast<double>(mBaselineNewCalls);
    state.halted = rate > kBaselineThreshold;
    state.halt_reason = "threshold";
    mBaselineNewCalls = 0;
    mBaselineNewFailures = 0;
  }
  mNodes[0]->PublishState(state);
  if (state.halted) {
    ApplyOutcome(rollout_phase::taken_back, state);
  } else if (progress >= 0.95) {
    ApplyOutcome(rollout_phase::done, state);
  }
}

mesh_outcome
virtual_mesh::Run()
{
  constexpr duration kTick = milliseconds(100);
  constexpr duration kGrace = seconds(60);
  ScheduleCalls();
  ExchangeStates();
  ApplyPlatformFault();
  duration elapsed{};
  duration sinceEnd{};
  while (elapsed < mOptions.plan_time + kGrace) {
    mTime.Advance(kTick);
    elapsed += kTick;
    for (const auto& node : mNodes) {
      node->Tick();
    }
    RunBaselineStep();
    if (mConfig->rollouts.at(kRollout).IsOpen()) {
      mOutcome.ended_s = std::chrono::duration<double>(elapsed).count();
      continue;
    }
    sinceEnd += kTick;
    // Calls after the end of the rollout are not attributed to it.
    if (sinceEnd >= seconds(1)) {
      break;
    }
  }
  double plan = std::chrono::duration<double>(mOptions.plan_time).count();
  // With a store outage, the outcome is recorded only after the outage, which
  // ends 30 s after the deadline: up to 40 s late counts as on time.
  const rollout_state* state = mNodes[0]->MutableRollouts().Find(kRollout);
  mOutcome.ejected = state == nullptr ? 0 : state->ejected.size();
  bool waitedForStore = mOptions.platform == platform_fault::store_out;
  mOutcome.on_time =
    mOutcome.done && (mOutcome.ended_s <= plan ||
                      (waitedForStore && mOutcome.ended_s <= plan + 40));
  mOutcome.callers = mOptions.callers;
  mOutcome.callers_exposed = mExposedCallers.size();
  mOutcome.callers_hurt = mAffectedCallers.size();
  if (mFirstHalt != time_point{}) {
    mOutcome.stop_after_halt_s =
      std::chrono::duration<double>(mLastNewVersionCall - mFirstHalt).count();
  }
  return mOutcome;
}

} // namespace eelgrasstrack::harness
