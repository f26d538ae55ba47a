#include "fleet/fleet-node.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"

namespace eelgrasstrack {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Nodes of each failure domain that watch the store.
constexpr std::size_t kWatchersPerDomain = 2;
/// Larger deltas are announced and sent on request.
constexpr std::size_t kMaxPushedDeltaBytes = 8192;
constexpr duration kOverlayRefreshPeriod = milliseconds(500);
/// Time between two attempts to reach an unreachable node. Also the time for
/// which a node counts as starting.
constexpr duration kRetryUnreachablePeriod = seconds(5);
constexpr duration kTombstonePurgePeriod = seconds(30);
/// Dead and left members are kept for this long.
constexpr duration kTombstoneRetention = minutes(10);
/// A peer that pinged this node within this time also receives its updates.
constexpr duration kPingSenderTimeout = seconds(10);
/// Member tables that differ for longer than this are synchronised.
constexpr duration kMismatchGracePeriod = seconds(3);
/// Time after the bootstrap record within which the member table of other nodes
/// arrives. Until then a starting node knows only itself and would choose
/// itself as a watcher.
constexpr duration kMemberTableArrivalTime = seconds(1);
/// Minimum time between two member syncs that hellos start.
constexpr duration kMinHelloSyncInterval = seconds(1);
/// Numbers of nodes of the bootstrap record that a starting node contacts. In
/// other domains, it contacts one node of each domain chosen.
constexpr std::size_t kContactsInOwnDomain = 2;
constexpr std::size_t kContactsInOtherDomains = 3;
/// Minimum time between two member syncs that differing digests start.
constexpr duration kMinSyncInterval = seconds(3);
/// Minimum time between two configuration requests to the same peer.
constexpr duration kMinConfigRequestInterval = milliseconds(500);
/// Time without a tick after which the node counts as paused.
constexpr duration kPauseThreshold = seconds(3);
/// After a pause, a node whose version no peer and no store read confirms
/// serves its current configuration after this time.
constexpr duration kContactTimeout = seconds(3);
/// A mass failure: at least this many members, and at least this
/// percentage of the known ones, became suspect or dead since the last one was
/// cleared.
constexpr std::size_t kMinLostForMassFailure = 2;
constexpr std::size_t kMassFailureLostPercent = 10;
/// Time after a mass failure by which every reachable node knows of it. A node
/// that sets `version_is_floor` after this time has, since the failure, read
/// the store or received the digest of a node that had.
constexpr duration kFailureSpreadTime = seconds(10);
/// Time after the start before peers count towards the version floor. A change
/// that was spreading at the start has reached them by then.
constexpr duration kFloorSettleTime = seconds(2);
/// Time between two reads of the store in mode `every_node_polls`.
constexpr duration kBaselinePollPeriod = seconds(5);
/// Used where no node is to be excluded, and as the origin of a change that
/// came from the store.
const node_id kNoNode;

/// Size of the changed documents with their keys, in bytes.
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
                       task_scheduler& aScheduler,
                       const clock_source& aClock,
                       fleet_observer& aObserver)
  : mOptions(std::move(aOptions))
  , mNetwork(aNetwork)
  , mScheduler(aScheduler)
  , mClock(aClock)
  , mObserver(aObserver)
  , mRandom(mOptions.random_seed)
  , mSelf(mOptions.self)
  , mDetector(mOptions.detector)
  , mWriter(aStore, aScheduler, mOptions.random_seed + 100)
  , mFollower(aStore,
              aScheduler,
              aClock,
              *this,
              mSelf.domain,
              mOptions.random_seed + 200)
{
}

void
fleet_node::Start()
{
  time_point now = mClock.Now();
  mStartedAt = now;
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
fleet_node::CurrentDigest() const
{
  bool versionIsFloor = mFloor.Value() && !mVersionUncertain &&
                        mReplica.Version() >= *mFloor.Value();
  return { mReplica.Version(),
           mMembers.Hash(),
           mRollouts.Hash(),
           versionIsFloor,
           mKnowledge.StoreAge(mClock.Now()) };
}

void
fleet_node::CheckForMassFailure(time_point aNow)
{
  if (mMassFailureCheckGeneration == mMembers.Generation()) {
    return;
  }
  mMassFailureCheckGeneration = mMembers.Generation();
  std::size_t known = 0;
  std::size_t lost = 0;
  for (const auto& [node, entry] : mMembers.Entries()) {
    member_state state = entry.record.state;
    bool suspectOrDead =
      state == member_state::suspect || state == member_state::dead;
    known += state != member_state::left ? 1 : 0;
    lost += suspectOrDead && entry.learned_at > mUncertaintyClearedAt ? 1 : 0;
  }
  bool massFailure = lost >= kMinLostForMassFailure &&
                     lost * 100 >= known * kMassFailureLostPercent;
  if (massFailure && !mVersionUncertain) {
    LogEvent(
      log_level::info,
      "many_members_lost",
      { { "lost", std::to_string(lost) }, { "known", std::to_string(known) } });
  }
  if (massFailure && !mVersionUncertain) {
    mVersionUncertain = true;
    mUncertainSince = aNow;
  }
}

void
fleet_node::ClearVersionUncertainty()
{
  mVersionUncertain = false;
  mUncertaintyClearedAt = mClock.Now();
}

bool
fleet_node::Ready() const
{
  std::optional<std::uint64_t> floor = mFloor.Value();
  bool reached = floor && mReplica.Version() >= *floor;
  time_point now = mClock.Now();
  bool paused = now - mLastTick > kPauseThreshold;
  bool stale =
    mAwaitingContact && now - mAwaitingContactSince < kContactTimeout;
  return reached && !paused && !stale;
}

void
fleet_node::Tick()
{
  time_point now = mClock.Now();
  mLastTick = now;
  CheckNeighbours(now);
  ExpireSuspects(now);
  CheckForMassFailure(now);
  if (now >= mNextOverlay) {
    mNextOverlay = now + kOverlayRefreshPeriod;
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
  mFollower.ReadIfStale(mKnowledge.confirmed_at.value_or(mStartedAt));
  if (now >= mNextTombstonePurge) {
    mNextTombstonePurge = now + kTombstonePurgePeriod;
    mMembers.PurgeTombstones(now - kTombstoneRetention);
  }
  FlushMemberFacts();
}

void
fleet_node::CheckNeighbours(time_point aNow)
{
  failure_detector::check_result check = mDetector.Check(aNow);
  if (check.process_paused) {
    LogEvent(log_level::warning, "process_was_paused");
    mAwaitingContact = true;
    mAwaitingContactSince = aNow;
    mNextPing = aNow;
    return;
  }
  for (const node_id& node : check.suspects) {
    // The link may have fallen silent while new ones work.
    mNetwork.Reconnect(node);
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
               aNow - entry.learned_at > mOptions.suspicion_timeout;
    if (due && !mMembers.DomainUnreachable(entry.record.domain)) {
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
  bool unsettled = mClock.Now() - mStartedAt < kRetryUnreachablePeriod * 2;
  if (mOverlayGeneration == mMembers.Generation() && !unsettled) {
    return;
  }
  mOverlayGeneration = mMembers.Generation();
  mNeighbours = NeighboursOf(mMembers, mSelf.node, mSelf.domain);
  mDetector.SetNeighbours(mNeighbours, mClock.Now());
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
      MemberTableExpected() &&
      std::find(watchers.begin(), watchers.end(), mSelf.node) != watchers.end();
  }
  if (watch != mFollower.Watching()) {
    mFollower.SetWatching(watch);
  }
  std::vector<node_id> listed = BootstrapNodesOfDomain();
  bool settled = mClock.Now() - mStartedAt > kRetryUnreachablePeriod;
  if (settled && !listed.empty() && listed.front() == mSelf.node) {
    mFollower.RefreshBootstrap();
  }
}

bool
fleet_node::MemberTableExpected() const
{
  time_point now = mClock.Now();
  bool tableArrived = mBootstrapReadAt != time_point{} &&
                      now - mBootstrapReadAt >= kMemberTableArrivalTime;
  return tableArrived || now - mStartedAt >= kRetryUnreachablePeriod;
}

std::vector<node_id>
fleet_node::BootstrapNodesOfDomain() const
{
  return RendezvousMembers(mMembers,
                           "bootstrap/" + mSelf.domain,
                           kBootstrapNodesPerDomain,
                           &mSelf.domain);
}

void
fleet_node::PingNeighbours(time_point)
{
  ping_message ping{ ++mPingSequence, CurrentDigest() };
  if (!mFloor.Value()) {
    // Pings all linked peers: the neighbours may be too few for the version
    // floor.
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
  std::vector<node_id> unreachable;
  for (const auto& [node, entry] : mMembers.Entries()) {
    bool suspectOrDead = entry.record.state == member_state::suspect ||
                         entry.record.state == member_state::dead;
    if (suspectOrDead) {
      unreachable.push_back(node);
    }
  }
  if (mMembers.AliveCount() <= 1) {
    for (const node_id& seed : mOptions.seeds) {
      if (seed != mSelf.node) {
        unreachable.push_back(seed);
      }
    }
  }
  if (unreachable.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, unreachable.size() - 1);
  mNetwork.Reconnect(unreachable[draw(mRandom)]);
}

void
fleet_node::OnLinkUp(const node_id& aNode)
{
  mPeers[aNode] = peer_state{};
  mNetwork.Send(aNode, hello_message{ mSelf, CurrentDigest() });
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
  mDetector.MarkUnreachable(aNode);
}

void
fleet_node::OnMessage(const node_id& aFrom, const peer_message& aMessage)
{
  mDetector.RecordActivity(aFrom, mClock.Now());
  std::visit([&](const auto& aKind) { Receive(aFrom, aKind); }, aMessage);
}

void
fleet_node::Receive(const node_id& aFrom, const hello_message& aMessage)
{
  const member_entry* known = mMembers.Find(aFrom);
  bool outdated = known != nullptr && Supersedes(known->record, aMessage.self);
  if (outdated) {
    // The peer was declared suspect, dead or left without knowing it. It
    // refutes the record when it receives it.
    mNetwork.Send(aFrom, member_facts_message{ { known->record } });
  } else {
    MergeMember(aMessage.self);
  }
  HandleFloorVersion(aFrom, aMessage.digest);
  // A starting node gets a hello from each of its contacts. One sync is enough:
  // later digests show if members are still missing.
  time_point now = mClock.Now();
  bool differs = aMessage.digest.member_hash != mMembers.Hash();
  if (differs && now - mLastSync >= kMinHelloSyncInterval) {
    mLastSync = now;
    mNetwork.Send(aFrom, member_sync_message{ mMembers.BucketHashes() });
  }
  CompareDigests(aFrom, aMessage.digest);
}

void
fleet_node::Receive(const node_id& aFrom, const ping_message& aMessage)
{
  mPeers[aFrom].last_ping_received = mClock.Now();
  mNetwork.Send(aFrom, pong_message{ aMessage.sequence, CurrentDigest() });
  CompareDigests(aFrom, aMessage.digest);
}

void
fleet_node::Receive(const node_id& aFrom, const pong_message& aMessage)
{
  HandleFloorVersion(aFrom, aMessage.digest);
  CompareDigests(aFrom, aMessage.digest);
}

void
fleet_node::HandleFloorVersion(const node_id& aPeer,
                               const state_digest& aTheirs)
{
  if (!aTheirs.version_is_floor) {
    return;
  }
  bool failureIsKnown = mClock.Now() - mUncertainSince >= kFailureSpreadTime;
  if (mVersionUncertain && failureIsKnown &&
      aTheirs.config_version <= mReplica.Version()) {
    ClearVersionUncertainty();
  }
  const member_entry* entry = mMembers.Find(aPeer);
  bool settled = mClock.Now() - mStartedAt >= kFloorSettleTime;
  if (settled && entry != nullptr) {
    mFloor.AddPeerVersion(aPeer, entry->record.domain, aTheirs.config_version);
  }
}

void
fleet_node::CompareDigests(const node_id& aPeer, const state_digest& aTheirs)
{
  time_point now = mClock.Now();
  peer_state& view = mPeers[aPeer];
  view.last_digest = aTheirs;
  if (aTheirs.store_age) {
    ConfirmVersion(aTheirs.config_version, now - *aTheirs.store_age);
  }
  if (aTheirs.config_version < mReplica.Version()) {
    SendConfigTo(aPeer, aTheirs.config_version);
  } else if (aTheirs.config_version > mReplica.Version()) {
    RequestConfig(aPeer);
  } else {
    mAwaitingContact = false;
  }
  if (aTheirs.rollout_hash != mRollouts.Hash() && !mRollouts.States().empty()) {
    rollout_facts_message facts;
    for (const auto& [id, state] : mRollouts.States()) {
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
  bool persistent = now - view.mismatch_since >= kMismatchGracePeriod;
  // At most one sync per interval, with the peer that sends the next digest.
  if (persistent && now - mLastSync >= kMinSyncInterval) {
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
      mPendingMemberFacts.erase(record.node);
    }
  }
  HandleFloorVersion(aFrom, mPeers[aFrom].last_digest);
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
    for (member_record& record : mMembers.RecordsInBucket(i)) {
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
  QueueMemberFact(aRecord.node);
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
  PublishSelfRecord();
}

void
fleet_node::PublishSelfRecord()
{
  ++mSelf.sequence;
  mMembers.Merge(mSelf, mClock.Now());
  QueueMemberFact(mSelf.node);
  mObserver.OnMembers();
}

void
fleet_node::QueueMemberFact(const node_id& aNode)
{
  mPendingMemberFacts.insert(aNode);
}

std::vector<node_id>
fleet_node::SpreadTargets(const node_id& aExcept) const
{
  time_point now = mClock.Now();
  std::vector<node_id> targets;
  for (const auto& [node, view] : mPeers) {
    bool neighbour = std::find(mNeighbours.begin(), mNeighbours.end(), node) !=
                     mNeighbours.end();
    bool pingsUs = view.last_ping_received != time_point{} &&
                   now - view.last_ping_received < kPingSenderTimeout;
    bool starting = now - mStartedAt < kRetryUnreachablePeriod;
    if (node != aExcept && (neighbour || pingsUs || starting)) {
      targets.push_back(node);
    }
  }
  return targets;
}

void
fleet_node::FlushMemberFacts()
{
  if (mPendingMemberFacts.empty()) {
    return;
  }
  member_facts_message facts;
  for (const node_id& node : mPendingMemberFacts) {
    const member_entry* entry = mMembers.Find(node);
    if (entry != nullptr) {
      facts.records.push_back(entry->record);
    }
  }
  mPendingMemberFacts.clear();
  for (const node_id& target : SpreadTargets(kNoNode)) {
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
  PublishSelfRecord();
  FlushMemberFacts();
}

void
fleet_node::Leave()
{
  if (mLeft) {
    return;
  }
  mLeft = true;
  mSelf.state = member_state::left;
  PublishSelfRecord();
  FlushMemberFacts();
}

void
fleet_node::SendConfigTo(const node_id& aPeer, std::uint64_t aTheirVersion)
{
  peer_state& view = mPeers[aPeer];
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
  peer_state& view = mPeers[aPeer];
  time_point now = mClock.Now();
  if (view.last_config_request != time_point{} &&
      now - view.last_config_request < kMinConfigRequestInterval) {
    return;
  }
  view.last_config_request = now;
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
  mPeers[aFrom].last_digest.config_version = aMessage.version;
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
  // Requests the changes since version 0, like a node without a configuration.
  // The peer sends the complete configuration, unless its history still
  // contains version 0.
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
  time_point now = mClock.Now();
  mKnowledge.source = aFrom.empty() ? "store" : aFrom;
  LogEvent(log_level::info,
           "config_in_force",
           { { "version", std::to_string(aSnapshot->version) },
             { "before", std::to_string(mKnowledge.version) },
             { "from", mKnowledge.source },
             { "store_age_ms", StoreAgeText(mKnowledge, now) } });
  mKnowledge.version = aSnapshot->version;
  mKnowledge.taken_at = now;
  std::set<std::string> open;
  for (const auto& [id, rollout] : aSnapshot->rollouts) {
    if (rollout.IsOpen()) {
      open.insert(id);
    }
  }
  mRollouts.KeepOnly(open);
  mObserver.OnConfig(aSnapshot);
  SpreadConfig(aFrom);
  return true;
}

void
fleet_node::ConfirmVersion(std::uint64_t aVersion, time_point aAsOf)
{
  if (aVersion > mReplica.Version()) {
    return;
  }
  mKnowledge.confirmed_at =
    std::max(mKnowledge.confirmed_at.value_or(aAsOf), aAsOf);
}

void
fleet_node::SpreadConfig(const node_id& aExcept)
{
  if (mOptions.mode != distribution_mode::overlay) {
    return;
  }
  for (const node_id& target : SpreadTargets(aExcept)) {
    const peer_state& view = mPeers[target];
    if (view.last_digest.config_version >= mReplica.Version()) {
      continue;
    }
    std::optional<config_delta> delta =
      mReplica.DeltaFrom(view.last_digest.config_version);
    if (delta && SizeOf(*delta) <= kMaxPushedDeltaBytes) {
      SendConfigTo(target, view.last_digest.config_version);
    } else {
      mNetwork.Send(target, config_announce_message{ mReplica.Version() });
    }
    mPeers[target].last_digest.config_version = mReplica.Version();
  }
}

void
fleet_node::OnStoreConfig(const config_state& aState, time_point aAsOf)
{
  mFloor.AddStoreVersion(aState.version);
  ClearVersionUncertainty();
  mAwaitingContact = false;
  if (aState.version <= mReplica.Version()) {
    ConfirmVersion(aState.version, aAsOf);
    return;
  }
  result<snapshot_ptr> built = BuildSnapshot(aState.version, aState.documents);
  if (!built) {
    LogEvent(log_level::error,
             "config_refused",
             { { "from", "store" }, { "reason", built.error().message } });
    return;
  }
  InstallConfig(*built, kNoNode);
  ConfirmVersion(aState.version, aAsOf);
}

void
fleet_node::OnStoreEmpty(time_point aAsOf)
{
  ConfirmVersion(0, aAsOf);
  ClearVersionUncertainty();
  mFloor.AddStoreVersion(0);
}

void
fleet_node::OnBootstrap(const bootstrap_record& aRecord)
{
  mBootstrapReadAt = mClock.Now();
  std::vector<std::string> others;
  for (const auto& [domain, nodes] : aRecord.domains) {
    if (domain != mSelf.domain) {
      others.push_back(domain);
    }
  }
  std::shuffle(others.begin(), others.end(), mRandom);
  others.resize(std::min(others.size(), kContactsInOtherDomains));
  auto own = aRecord.domains.find(mSelf.domain);
  if (own != aRecord.domains.end()) {
    ConnectToRandomNodes(own->second, kContactsInOwnDomain);
  }
  for (const std::string& domain : others) {
    ConnectToRandomNodes(aRecord.domains.at(domain), 1);
  }
}

void
fleet_node::ConnectToRandomNodes(std::vector<node_id> aNodes,
                                 std::size_t aCount)
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
                     mFloor.AddStoreVersion(aAccepted->snapshot->version);
                     InstallConfig(aAccepted->snapshot, kNoNode);
                   }
                   aDone(std::move(aAccepted));
                 });
}

void
fleet_node::PublishRollout(const rollout_state& aState)
{
  if (!mRollouts.Merge(aState)) {
    return;
  }
  mObserver.OnRollouts();
  rollout_facts_message facts{ { *mRollouts.Find(aState.id) } };
  for (const node_id& target : SpreadTargets(kNoNode)) {
    mNetwork.Send(target, facts);
  }
}

void
fleet_node::Receive(const node_id& aFrom, const rollout_facts_message& aMessage)
{
  rollout_facts_message newFacts;
  for (const rollout_state& state : aMessage.states) {
    auto rollout = mReplica.Current()->rollouts.find(state.id);
    bool ended = rollout != mReplica.Current()->rollouts.end() &&
                 !rollout->second.IsOpen();
    if (!ended && mRollouts.Merge(state)) {
      newFacts.states.push_back(*mRollouts.Find(state.id));
    }
  }
  if (newFacts.states.empty()) {
    return;
  }
  mObserver.OnRollouts();
  for (const node_id& target : SpreadTargets(aFrom)) {
    mNetwork.Send(target, newFacts);
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
