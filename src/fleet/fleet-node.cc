#include "fleet/fleet-node.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"

namespace eelgrasstrack {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kWatchersPerDomain = 2;
constexpr std::size_t kEagerDeltaBytes = 8192;
constexpr duration kOverlayPeriod = milliseconds(500);
constexpr duration kRetryUnreachablePeriod = seconds(5);
constexpr duration kForgetPeriod = seconds(30);
constexpr duration kTombstoneAge = minutes(10);
constexpr duration kProbedByFor = seconds(10);
constexpr duration kMismatchPatience = seconds(3);
/// A starting node that knows only itself would be a watcher; the others' table
/// arrives within this time of the bootstrap record.
constexpr duration kTableArrivalTime = seconds(1);
constexpr duration kHelloSyncPeriod = seconds(1);
/// Nodes of the bootstrap record that a starting node contacts.
constexpr std::size_t kContactsInDomain = 2;
constexpr std::size_t kContactsElsewhere = 3;
constexpr duration kSyncPeriod = seconds(3);
constexpr duration kRequestPeriod = milliseconds(500);
constexpr duration kPauseGap = seconds(3);
/// A node that nobody answers serves what it has after this long.
constexpr duration kFreshnessPatience = seconds(3);
/// Losses at one time that put a node in doubt.
constexpr std::size_t kLeastLostForDoubt = 2;
constexpr std::size_t kLostPercentForDoubt = 10;
/// After this long every reachable node knows of the losses, so that one that
/// vouches has heard from the store since.
constexpr duration kDoubtSpreadTime = seconds(10);
/// Peers count towards the version floor this long after the start, when a
/// change that was spreading has reached them.
constexpr duration kFloorSettleTime = seconds(2);
constexpr duration kBaselinePollPeriod = seconds(5);
const node_id kNobody;

std::size_t
SizeOf(const config_delta& aDelta)
{
  std::size_t size = 0;
  for (const config_document& document : aDelta.changed) {
    size += document.key.size() + document.text.size();
  }
  return size;
}

} // namespace

fleet_node::fleet_node(fleet_options aOptions,
                       peer_network& aNetwork,
                       object_store& aStore,
                       delayed_tasks& aTasks,
                       const clock_source& aClock,
                       fleet_observer& aObserver)
  : mOptions(std::move(aOptions))
  , mNetwork(aNetwork)
  , mTasks(aTasks)
  , mClock(aClock)
  , mObserver(aObserver)
  , mRandom(mOptions.random_seed)
  , mSelf(mOptions.self)
  , mDetector(mOptions.detector)
  , mWriter(aStore, aTasks, mOptions.random_seed + 100)
  , mFollower(aStore, aTasks, *this, mSelf.domain, mOptions.random_seed + 200)
{
}

void
fleet_node::Start()
{
  time_point now = mClock.Now();
  mStarted = now;
  mLastTick = now;
  mMembers.Merge(mSelf, now);
  for (const node_id& seed : mOptions.seeds) {
    if (seed != mSelf.node) {
      mNetwork.Connect(seed);
    }
  }
  mFollower.Start();
  if (mOptions.mode == distribution_mode::every_node_polls) {
    mFollower.PollEvery(kBaselinePollPeriod);
  }
}

state_digest
fleet_node::Held() const
{
  bool vouches =
    mFloor.Value() && !mInDoubt && mReplica.Version() >= *mFloor.Value();
  return { mReplica.Version(), mMembers.Hash(), mBoard.Hash(), vouches };
}

void
fleet_node::CheckForDoubt(time_point aNow)
{
  if (mDoubtGeneration == mMembers.Generation()) {
    return;
  }
  mDoubtGeneration = mMembers.Generation();
  std::size_t known = 0;
  std::size_t lost = 0;
  for (const auto& [node, entry] : mMembers.Entries()) {
    member_state state = entry.record.state;
    bool gone = state == member_state::suspect || state == member_state::dead;
    known += state != member_state::left ? 1 : 0;
    lost += gone && entry.changed > mDoubtEnded ? 1 : 0;
  }
  bool many =
    lost >= kLeastLostForDoubt && lost * 100 >= known * kLostPercentForDoubt;
  if (many && !mInDoubt) {
    LogEvent(
      log_level::info,
      "many_members_lost",
      { { "lost", std::to_string(lost) }, { "known", std::to_string(known) } });
  }
  if (many && !mInDoubt) {
    mInDoubt = true;
    mDoubtSince = aNow;
  }
}

void
fleet_node::EndDoubt()
{
  mInDoubt = false;
  mDoubtEnded = mClock.Now();
}

bool
fleet_node::Ready() const
{
  std::optional<std::uint64_t> floor = mFloor.Value();
  bool reached = floor && mReplica.Version() >= *floor;
  time_point now = mClock.Now();
  bool paused = now - mLastTick > kPauseGap;
  bool stale = mAwaitingFresh && now - mAwaitingSince < kFreshnessPatience;
  return reached && !paused && !stale;
}

void
fleet_node::Tick()
{
  time_point now = mClock.Now();
  mLastTick = now;
  CheckNeighbours(now);
  ExpireSuspects(now);
  CheckForDoubt(now);
  if (now >= mNextOverlay) {
    mNextOverlay = now + kOverlayPeriod;
    RefreshOverlay();
  }
  if (now >= mNextPing) {
    mNextPing = now + mOptions.ping_period;
    PingNeighbours(now);
  }
  if (now >= mNextRetry) {
    mNextRetry = now + kRetryUnreachablePeriod;
    RetryUnreachable(now);
  }
  if (now >= mNextForget) {
    mNextForget = now + kForgetPeriod;
    mMembers.ForgetGone(now - kTombstoneAge);
  }
  FlushFacts();
}

void
fleet_node::CheckNeighbours(time_point aNow)
{
  failure_detector::verdict verdict = mDetector.Check(aNow);
  if (verdict.paused) {
    LogEvent(log_level::warning, "process_was_paused");
    mAwaitingFresh = true;
    mAwaitingSince = aNow;
    mNextPing = aNow;
    return;
  }
  for (const node_id& node : verdict.suspects) {
    const member_entry* entry = mMembers.Find(node);
    if (entry == nullptr || entry->record.state != member_state::alive) {
      continue;
    }
    member_record suspect = entry->record;
    suspect.state = member_state::suspect;
    LogEvent(log_level::warning, "node_suspected", { { "node", node } });
    MergeMember(suspect);
  }
}

void
fleet_node::ExpireSuspects(time_point aNow)
{
  if (mMembers.SuspectCount() == 0) {
    return;
  }
  std::vector<member_record> expired;
  for (const auto& [node, entry] : mMembers.Entries()) {
    bool due = entry.record.state == member_state::suspect &&
               aNow - entry.changed > mOptions.suspicion_timeout;
    if (due && !mMembers.DomainSilent(entry.record.domain)) {
      expired.push_back(entry.record);
    }
  }
  for (member_record& record : expired) {
    record.state = member_state::dead;
    LogEvent(log_level::warning, "node_dead", { { "node", record.node } });
    MergeMember(record);
  }
}

void
fleet_node::RefreshOverlay()
{
  bool unsettled = mClock.Now() - mStarted < kRetryUnreachablePeriod * 2;
  if (mOverlayGeneration == mMembers.Generation() && !unsettled) {
    return;
  }
  mOverlayGeneration = mMembers.Generation();
  mNeighbours = NeighboursOf(mMembers, mSelf.node, mSelf.domain);
  mDetector.Watch(mNeighbours, mClock.Now());
  for (const node_id& node : mNeighbours) {
    if (!mNetwork.Linked(node)) {
      mNetwork.Connect(node);
    }
  }
  bool watch = mOptions.mode == distribution_mode::every_node_watches;
  if (mOptions.mode == distribution_mode::overlay) {
    std::vector<node_id> watchers = RendezvousMembers(
      mMembers, "watch/" + mSelf.domain, kWatchersPerDomain, &mSelf.domain);
    watch =
      KnowsTheOthers() &&
      std::find(watchers.begin(), watchers.end(), mSelf.node) != watchers.end();
  }
  if (watch != mFollower.Watching()) {
    mFollower.SetWatching(watch);
  }
  std::vector<node_id> listed = BootstrapNodesOfDomain();
  bool settled = mClock.Now() - mStarted > kRetryUnreachablePeriod;
  if (settled && !listed.empty() && listed.front() == mSelf.node) {
    mFollower.RefreshBootstrap();
  }
}

bool
fleet_node::KnowsTheOthers() const
{
  time_point now = mClock.Now();
  bool told =
    mBootstrapAt != time_point{} && now - mBootstrapAt >= kTableArrivalTime;
  return told || now - mStarted >= kRetryUnreachablePeriod;
}

std::vector<node_id>
fleet_node::BootstrapNodesOfDomain() const
{
  return RendezvousMembers(
    mMembers, "bootstrap/" + mSelf.domain, kBootstrapNodes, &mSelf.domain);
}

void
fleet_node::PingNeighbours(time_point)
{
  ping_message ping{ ++mPingSequence, Held() };
  if (!mFloor.Value()) {
    // Neighbours alone may be too few to vouch for the floor.
    for (const auto& [node, view] : mPeers) {
      mNetwork.Send(node, ping);
    }
  }
  for (const node_id& node : mNeighbours) {
    if (mNetwork.Linked(node)) {
      mNetwork.Send(node, ping);
    } else {
      mNetwork.Connect(node);
    }
  }
}

void
fleet_node::RetryUnreachable(time_point)
{
  std::vector<node_id> silent;
  for (const auto& [node, entry] : mMembers.Entries()) {
    bool gone = entry.record.state == member_state::suspect ||
                entry.record.state == member_state::dead;
    if (gone && !mNetwork.Linked(node)) {
      silent.push_back(node);
    }
  }
  if (mMembers.AliveCount() <= 1) {
    for (const node_id& seed : mOptions.seeds) {
      if (seed != mSelf.node) {
        silent.push_back(seed);
      }
    }
  }
  if (silent.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, silent.size() - 1);
  mNetwork.Connect(silent[draw(mRandom)]);
}

void
fleet_node::OnLinkUp(const node_id& aNode)
{
  mPeers[aNode] = peer_view{};
  mNetwork.Send(aNode, hello_message{ mSelf, Held() });
}

void
fleet_node::OnLinkDown(const node_id& aNode, bool aWasOpen)
{
  mPeers.erase(aNode);
  bool neighbour = std::find(mNeighbours.begin(), mNeighbours.end(), aNode) !=
                   mNeighbours.end();
  if (!neighbour || mLeft) {
    return;
  }
  if (aWasOpen) {
    mNetwork.Connect(aNode);
    return;
  }
  mDetector.Unreachable(aNode);
}

void
fleet_node::OnMessage(const node_id& aFrom, const peer_message& aMessage)
{
  mDetector.Heard(aFrom, mClock.Now());
  std::visit([&](const auto& aKind) { Receive(aFrom, aKind); }, aMessage);
}

void
fleet_node::Receive(const node_id& aFrom, const hello_message& aMessage)
{
  const member_entry* known = mMembers.Find(aFrom);
  bool outdated = known != nullptr && Supersedes(known->record, aMessage.self);
  if (outdated) {
    // It does not know that it was held to be gone, and will refute.
    mNetwork.Send(aFrom, member_facts_message{ { known->record } });
  } else {
    MergeMember(aMessage.self);
  }
  CountTowardsFloor(aFrom, aMessage.digest);
  // Several contacts answer a start; one whole table is enough, and what it
  // lacks shows in the digests.
  time_point now = mClock.Now();
  bool differs = aMessage.digest.member_hash != mMembers.Hash();
  if (differs && now - mLastSync >= kHelloSyncPeriod) {
    mLastSync = now;
    mNetwork.Send(aFrom, member_sync_message{ mMembers.BucketHashes() });
  }
  Compare(aFrom, aMessage.digest);
}

void
fleet_node::Receive(const node_id& aFrom, const ping_message& aMessage)
{
  mPeers[aFrom].probed_us = mClock.Now();
  mNetwork.Send(aFrom, pong_message{ aMessage.sequence, Held() });
  Compare(aFrom, aMessage.digest);
}

void
fleet_node::Receive(const node_id& aFrom, const pong_message& aMessage)
{
  CountTowardsFloor(aFrom, aMessage.digest);
  Compare(aFrom, aMessage.digest);
}

void
fleet_node::CountTowardsFloor(const node_id& aPeer, const state_digest& aTheirs)
{
  if (!aTheirs.version_is_floor) {
    return;
  }
  bool shared = mClock.Now() - mDoubtSince >= kDoubtSpreadTime;
  if (mInDoubt && shared && aTheirs.config_version <= mReplica.Version()) {
    EndDoubt();
  }
  const member_entry* entry = mMembers.Find(aPeer);
  bool settled = mClock.Now() - mStarted >= kFloorSettleTime;
  if (settled && entry != nullptr) {
    mFloor.FromPeer(aPeer, entry->record.domain, aTheirs.config_version);
  }
}

void
fleet_node::Compare(const node_id& aPeer, const state_digest& aTheirs)
{
  time_point now = mClock.Now();
  peer_view& view = mPeers[aPeer];
  view.held = aTheirs;
  if (aTheirs.config_version < mReplica.Version()) {
    SendConfigTo(aPeer, aTheirs.config_version);
  } else if (aTheirs.config_version > mReplica.Version()) {
    RequestConfig(aPeer);
  } else {
    mAwaitingFresh = false;
  }
  if (aTheirs.rollout_hash != mBoard.Hash() && !mBoard.States().empty()) {
    rollout_facts_message facts;
    for (const auto& [id, state] : mBoard.States()) {
      facts.states.push_back(state);
    }
    mNetwork.Send(aPeer, facts);
  }
  if (aTheirs.member_hash == mMembers.Hash()) {
    view.mismatch_since = time_point{};
    return;
  }
  if (view.mismatch_since == time_point{}) {
    view.mismatch_since = now;
  }
  bool lasting = now - view.mismatch_since >= kMismatchPatience;
  // One whole comparison at a time, with whichever neighbour speaks next.
  if (lasting && now - mLastSync >= kSyncPeriod) {
    mLastSync = now;
    mNetwork.Send(aPeer, member_sync_message{ mMembers.BucketHashes() });
  }
}

void
fleet_node::Receive(const node_id& aFrom, const member_facts_message& aMessage)
{
  for (const member_record& record : aMessage.records) {
    MergeMember(record);
    if (aMessage.is_sync_reply) {
      mPendingFacts.erase(record.node);
    }
  }
  CountTowardsFloor(aFrom, mPeers[aFrom].held);
}

void
fleet_node::Receive(const node_id& aFrom, const member_sync_message& aMessage)
{
  member_facts_message facts;
  facts.is_sync_reply = true;
  for (std::size_t i = 0; i < kMemberBuckets; ++i) {
    if (aMessage.buckets[i] == mMembers.BucketHashes()[i]) {
      continue;
    }
    for (member_record& record : mMembers.RecordsIn(i)) {
      facts.records.push_back(std::move(record));
    }
  }
  if (!facts.records.empty()) {
    mNetwork.Send(aFrom, facts);
  }
}

bool
fleet_node::MergeMember(const member_record& aRecord)
{
  if (aRecord.node == mSelf.node) {
    RefuteIfNeeded(aRecord);
    return false;
  }
  if (!mMembers.Merge(aRecord, mClock.Now())) {
    return false;
  }
  QueueFact(aRecord.node);
  mObserver.OnMembers();
  return true;
}

void
fleet_node::RefuteIfNeeded(const member_record& aRecord)
{
  if (mLeft || !Supersedes(aRecord, mSelf)) {
    return;
  }
  if (aRecord.incarnation > mSelf.incarnation) {
    mSelf.incarnation = aRecord.incarnation + 1;
  } else {
    mSelf.sequence = std::max(mSelf.sequence, aRecord.sequence);
  }
  ChangeSelf();
}

void
fleet_node::ChangeSelf()
{
  ++mSelf.sequence;
  mMembers.Merge(mSelf, mClock.Now());
  QueueFact(mSelf.node);
  mObserver.OnMembers();
}

void
fleet_node::QueueFact(const node_id& aNode)
{
  mPendingFacts.insert(aNode);
}

std::vector<node_id>
fleet_node::SpreadTargets(const node_id& aExcept) const
{
  time_point now = mClock.Now();
  std::vector<node_id> targets;
  for (const auto& [node, view] : mPeers) {
    bool neighbour = std::find(mNeighbours.begin(), mNeighbours.end(), node) !=
                     mNeighbours.end();
    bool probesUs =
      view.probed_us != time_point{} && now - view.probed_us < kProbedByFor;
    bool starting = now - mStarted < kRetryUnreachablePeriod;
    if (node != aExcept && (neighbour || probesUs || starting)) {
      targets.push_back(node);
    }
  }
  return targets;
}

void
fleet_node::FlushFacts()
{
  if (mPendingFacts.empty()) {
    return;
  }
  member_facts_message facts;
  for (const node_id& node : mPendingFacts) {
    const member_entry* entry = mMembers.Find(node);
    if (entry != nullptr) {
      facts.records.push_back(entry->record);
    }
  }
  mPendingFacts.clear();
  for (const node_id& target : SpreadTargets(kNobody)) {
    mNetwork.Send(target, facts);
  }
}

void
fleet_node::SetUpstream(std::optional<upstream_record> aUpstream)
{
  if (mSelf.upstream == aUpstream) {
    return;
  }
  mSelf.upstream = std::move(aUpstream);
  ChangeSelf();
  FlushFacts();
}

void
fleet_node::Leave()
{
  if (mLeft) {
    return;
  }
  mLeft = true;
  mSelf.state = member_state::left;
  ChangeSelf();
  FlushFacts();
}

void
fleet_node::SendConfigTo(const node_id& aPeer, std::uint64_t aTheirVersion)
{
  peer_view& view = mPeers[aPeer];
  if (view.sent_version >= mReplica.Version()) {
    return;
  }
  view.sent_version = mReplica.Version();
  std::optional<config_delta> delta = mReplica.DeltaFrom(aTheirVersion);
  if (delta) {
    mNetwork.Send(aPeer, config_delta_message{ std::move(*delta) });
    return;
  }
  config_whole_message whole;
  whole.version = mReplica.Version();
  whole.hash = mReplica.Current()->hash;
  for (const auto& [key, text] : mReplica.Current()->documents) {
    whole.documents.push_back({ key, text });
  }
  mNetwork.Send(aPeer, whole);
}

void
fleet_node::RequestConfig(const node_id& aPeer)
{
  peer_view& view = mPeers[aPeer];
  time_point now = mClock.Now();
  if (view.last_request != time_point{} &&
      now - view.last_request < kRequestPeriod) {
    return;
  }
  view.last_request = now;
  mNetwork.Send(aPeer, config_request_message{ mReplica.Version() });
}

void
fleet_node::Receive(const node_id& aFrom,
                    const config_request_message& aMessage)
{
  if (aMessage.have_version < mReplica.Version()) {
    mPeers[aFrom].sent_version = 0;
    SendConfigTo(aFrom, aMessage.have_version);
  }
}

void
fleet_node::Receive(const node_id& aFrom,
                    const config_announce_message& aMessage)
{
  mPeers[aFrom].held.config_version = aMessage.version;
  if (aMessage.version > mReplica.Version()) {
    RequestConfig(aFrom);
  }
}

void
fleet_node::Receive(const node_id& aFrom, const config_delta_message& aMessage)
{
  if (aMessage.delta.to_version <= mReplica.Version()) {
    return;
  }
  result<snapshot_ptr> applied =
    ApplyDelta(*mReplica.Current(), aMessage.delta);
  if (applied) {
    InstallConfig(*applied, aFrom);
    return;
  }
  LogEvent(log_level::info,
           "delta_refused",
           { { "from", aFrom }, { "reason", applied.error().message } });
  // Version 0 is no base of any delta, so the whole configuration comes.
  mNetwork.Send(aFrom, config_request_message{ 0 });
}

void
fleet_node::Receive(const node_id& aFrom, const config_whole_message& aMessage)
{
  if (aMessage.version <= mReplica.Version()) {
    return;
  }
  document_map documents;
  for (const config_document& document : aMessage.documents) {
    documents[document.key] = document.text;
  }
  if (HashOf(documents) != aMessage.hash) {
    LogEvent(log_level::error, "config_hash_differs", { { "from", aFrom } });
    return;
  }
  result<snapshot_ptr> built =
    BuildSnapshot(aMessage.version, std::move(documents));
  if (!built) {
    LogEvent(log_level::error,
             "config_refused",
             { { "from", aFrom }, { "reason", built.error().message } });
    return;
  }
  InstallConfig(*built, aFrom);
}

bool
fleet_node::InstallConfig(const snapshot_ptr& aSnapshot, const node_id& aFrom)
{
  if (!mReplica.Install(aSnapshot)) {
    return false;
  }
  LogEvent(log_level::info,
           "config_in_force",
           { { "version", std::to_string(aSnapshot->version) },
             { "from", aFrom.empty() ? "store" : aFrom } });
  std::set<std::string> open;
  for (const auto& [id, rollout] : aSnapshot->rollouts) {
    if (rollout.Open()) {
      open.insert(id);
    }
  }
  mBoard.KeepOnly(open);
  mObserver.OnConfig(aSnapshot);
  SpreadConfig(aFrom);
  return true;
}

void
fleet_node::SpreadConfig(const node_id& aExcept)
{
  if (mOptions.mode != distribution_mode::overlay) {
    return;
  }
  for (const node_id& target : SpreadTargets(aExcept)) {
    const peer_view& view = mPeers[target];
    if (view.held.config_version >= mReplica.Version()) {
      continue;
    }
    std::optional<config_delta> delta =
      mReplica.DeltaFrom(view.held.config_version);
    if (delta && SizeOf(*delta) <= kEagerDeltaBytes) {
      SendConfigTo(target, view.held.config_version);
    } else {
      mNetwork.Send(target, config_announce_message{ mReplica.Version() });
    }
    mPeers[target].held.config_version = mReplica.Version();
  }
}

void
fleet_node::OnStoreConfig(const config_state& aState)
{
  mFloor.FromStore(aState.version);
  EndDoubt();
  mAwaitingFresh = false;
  if (aState.version <= mReplica.Version()) {
    return;
  }
  result<snapshot_ptr> built = BuildSnapshot(aState.version, aState.documents);
  if (!built) {
    LogEvent(log_level::error,
             "config_refused",
             { { "from", "store" }, { "reason", built.error().message } });
    return;
  }
  InstallConfig(*built, kNobody);
}

void
fleet_node::OnStoreEmpty()
{
  EndDoubt();
  mFloor.FromStore(0);
}

void
fleet_node::OnBootstrap(const bootstrap_record& aRecord)
{
  mBootstrapAt = mClock.Now();
  std::vector<std::string> others;
  for (const auto& [domain, nodes] : aRecord.domains) {
    if (domain != mSelf.domain) {
      others.push_back(domain);
    }
  }
  std::shuffle(others.begin(), others.end(), mRandom);
  others.resize(std::min(others.size(), kContactsElsewhere));
  auto own = aRecord.domains.find(mSelf.domain);
  if (own != aRecord.domains.end()) {
    ConnectToSome(own->second, kContactsInDomain);
  }
  for (const std::string& domain : others) {
    ConnectToSome(aRecord.domains.at(domain), 1);
  }
}

void
fleet_node::ConnectToSome(std::vector<node_id> aNodes, std::size_t aCount)
{
  std::shuffle(aNodes.begin(), aNodes.end(), mRandom);
  std::size_t contacted = 0;
  for (const node_id& node : aNodes) {
    if (node != mSelf.node && contacted < aCount) {
      mNetwork.Connect(node);
      ++contacted;
    }
  }
}

void
fleet_node::Submit(config_command aCommand, accept_callback aDone)
{
  mWriter.Submit(std::move(aCommand),
                 [this, aDone](result<accepted_config> aAccepted) {
                   if (aAccepted) {
                     mFloor.FromStore(aAccepted->snapshot->version);
                     InstallConfig(aAccepted->snapshot, kNobody);
                   }
                   aDone(std::move(aAccepted));
                 });
}

void
fleet_node::Publish(const rollout_state& aState)
{
  if (!mBoard.Merge(aState)) {
    return;
  }
  mObserver.OnRollouts();
  rollout_facts_message facts{ { *mBoard.Find(aState.id) } };
  for (const node_id& target : SpreadTargets(kNobody)) {
    mNetwork.Send(target, facts);
  }
}

void
fleet_node::Receive(const node_id& aFrom, const rollout_facts_message& aMessage)
{
  rollout_facts_message news;
  for (const rollout_state& state : aMessage.states) {
    auto rollout = mReplica.Current()->rollouts.find(state.id);
    bool ended =
      rollout != mReplica.Current()->rollouts.end() && !rollout->second.Open();
    if (!ended && mBoard.Merge(state)) {
      news.states.push_back(*mBoard.Find(state.id));
    }
  }
  if (news.states.empty()) {
    return;
  }
  mObserver.OnRollouts();
  for (const node_id& target : SpreadTargets(aFrom)) {
    mNetwork.Send(target, news);
  }
}

void
fleet_node::SendEvidence(const node_id& aCollector, evidence_report aReport)
{
  if (aCollector == mSelf.node) {
    mObserver.OnEvidence(mSelf.node, aReport);
    return;
  }
  mNetwork.Send(aCollector, evidence_message{ std::move(aReport) });
}

void
fleet_node::SendEvidenceAck(const node_id& aReporter, evidence_ack_message aAck)
{
  if (aReporter == mSelf.node) {
    mObserver.OnEvidenceAck(mSelf.node, aAck);
    return;
  }
  mNetwork.Send(aReporter, std::move(aAck));
}

void
fleet_node::Receive(const node_id& aFrom, const evidence_message& aMessage)
{
  mObserver.OnEvidence(aFrom, aMessage.report);
}

void
fleet_node::Receive(const node_id& aFrom, const evidence_ack_message& aMessage)
{
  mObserver.OnEvidenceAck(aFrom, aMessage);
}

} // namespace eelgrasstrack
