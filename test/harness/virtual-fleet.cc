#include "harness/virtual-fleet.h"

#include "peer/codec.h"

namespace eelgrasstrack::harness {

namespace {

constexpr duration kConnectTimeout = std::chrono::seconds(5);
constexpr duration kStoreCallTimeout = std::chrono::seconds(3);
constexpr std::size_t kFirstPort = 10000;

} // namespace

/// The interfaces that a fleet node needs, bound to one process of a host.
class virtual_fleet::node_environment final
  : public peer_network
  , public fleet_observer
  , public task_scheduler
  , public object_store
{
public:
  node_environment(virtual_fleet& aFleet,
                   std::size_t aNode,
                   std::uint64_t aGeneration)
    : mFleet(aFleet)
    , mNode(aNode)
    , mGeneration(aGeneration)
  {
  }

  void Connect(const node_id& aNode) override
  {
    mFleet.Connect(mNode, IndexOf(aNode));
  }
  void Reconnect(const node_id& aNode) override
  {
    mFleet.Reconnect(mNode, IndexOf(aNode));
  }
  void Send(const node_id& aNode, const peer_message& aMessage) override
  {
    mFleet.Send(mNode, IndexOf(aNode), aMessage);
  }
  bool Linked(const node_id& aNode) const override
  {
    return mFleet.mHosts[mNode].links.count(IndexOf(aNode)) != 0;
  }
  void RunAfter(duration aDelay, std::function<void()> aTask) override
  {
    mFleet.RunOnNode(mNode, mGeneration, aDelay, std::move(aTask));
  }
  void Get(const std::string& aKey, get_callback aDone) override
  {
    if (StoreCut()) {
      TimeOut<stored_object>(std::move(aDone), duration(0));
      return;
    }
    mFleet.mStore.Get(aKey, RunOnNodeLoop<stored_object>(std::move(aDone)));
  }
  void Put(const std::string& aKey,
           std::string aValue,
           std::uint64_t aExpectedVersion,
           put_callback aDone) override
  {
    if (StoreCut()) {
      TimeOut<std::uint64_t>(std::move(aDone), duration(0));
      return;
    }
    mFleet.mStore.Put(aKey,
                      std::move(aValue),
                      aExpectedVersion,
                      RunOnNodeLoop<std::uint64_t>(std::move(aDone)));
  }
  void Watch(const std::string& aKey,
             std::uint64_t aKnownVersion,
             duration aWait,
             get_callback aDone) override
  {
    if (StoreCut()) {
      TimeOut<stored_object>(std::move(aDone), aWait);
      return;
    }
    mFleet.mStore.Watch(aKey,
                        aKnownVersion,
                        aWait,
                        RunOnNodeLoop<stored_object>(std::move(aDone)));
  }
  void OnConfig(const snapshot_ptr&) override {}
  void OnRollouts() override {}
  void OnMembers() override {}
  void OnEvidence(const node_id&, const evidence_report&) override {}
  void OnEvidenceAck(const node_id&, const evidence_ack_message&) override {}

private:
  bool StoreCut() const { return mFleet.mHosts[mNode].store_cut; }

  template<typename T>
  void TimeOut(std::function<void(result<T>)> aDone, duration aWait)
  {
    RunAfter(aWait + kStoreCallTimeout, [aDone = std::move(aDone)] {
      aDone(Fail(error_kind::store_unavailable, "no answer"));
    });
  }

  template<typename T>
  std::function<void(result<T>)> RunOnNodeLoop(
    std::function<void(result<T>)> aDone)
  {
    return
      [this, fleet = &mFleet, node = mNode, generation = mGeneration, aDone](
        result<T> aResult) {
        fleet->RunOnNode(
          node, generation, duration(0), [aDone, aResult] { aDone(aResult); });
      };
  }

  virtual_fleet& mFleet;
  std::size_t mNode;
  std::uint64_t mGeneration;
};

virtual_fleet::virtual_fleet(virtual_fleet_options aOptions)
  : mOptions(aOptions)
  , mStore(mTime, aOptions.seed + 1)
  , mRandom(aOptions.seed)
  , mHosts(aOptions.nodes)
{
}

virtual_fleet::~virtual_fleet() = default;

node_id
virtual_fleet::NameOf(std::size_t aNode)
{
  return "10.0.0.1:" + std::to_string(kFirstPort + aNode);
}

std::size_t
virtual_fleet::IndexOf(const node_id& aNode)
{
  return std::stoul(aNode.substr(aNode.rfind(':') + 1)) - kFirstPort;
}

duration
virtual_fleet::Latency()
{
  std::uniform_int_distribution<duration::rep> draw(
    mOptions.latency.count(), mOptions.latency.count() * 2);
  return duration(draw(mRandom));
}

void
virtual_fleet::RunOnNode(std::size_t aNode,
                         std::uint64_t aGeneration,
                         duration aDelay,
                         std::function<void()> aTask)
{
  mTime.RunAfter(aDelay, [this, aNode, aGeneration, aTask = std::move(aTask)] {
    host& each = mHosts[aNode];
    if (each.generation != aGeneration || each.node == nullptr) {
      return;
    }
    if (mTime.Now() < each.paused_until) {
      RunOnNode(aNode, aGeneration, each.paused_until - mTime.Now(), aTask);
      return;
    }
    aTask();
    CheckServedVersion(aNode);
  });
}

void
virtual_fleet::Start(std::size_t aNode)
{
  host& each = mHosts[aNode];
  ++each.generation;
  each.paused_until = time_point{};
  each.environment =
    std::make_unique<node_environment>(*this, aNode, each.generation);
  fleet_options options;
  options.self.node = NameOf(aNode);
  options.self.domain = "domain-" + std::to_string(DomainOf(aNode));
  options.self.region = "main";
  options.self.incarnation =
    static_cast<std::uint64_t>(mTime.UnixMilliseconds());
  options.mode = mOptions.mode;
  options.random_seed = mRandom();
  // Seeds for a start during a store outage, as in the settings.
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (i < mOptions.domains * 2) {
      options.seeds.push_back(NameOf(i));
    }
  }
  each.node = std::make_unique<fleet_node>(options,
                                           *each.environment,
                                           *each.environment,
                                           *each.environment,
                                           mTime,
                                           *each.environment);
  std::uint64_t generation = each.generation;
  RunOnNode(aNode, generation, duration(0), [this, aNode, generation] {
    mHosts[aNode].node->Start();
    Tick(aNode, generation);
  });
}

void
virtual_fleet::StartAll()
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    Start(i);
  }
}

void
virtual_fleet::Tick(std::size_t aNode, std::uint64_t aGeneration)
{
  mHosts[aNode].node->Tick();
  RunOnNode(aNode,
            aGeneration,
            fleet_node::kTickPeriod,
            [this, aNode, aGeneration] { Tick(aNode, aGeneration); });
}

void
virtual_fleet::CheckServedVersion(std::size_t aNode)
{
  host& each = mHosts[aNode];
  if (each.node == nullptr || !each.node->Ready()) {
    return;
  }
  std::uint64_t version = each.node->Config()->version;
  if (version < each.highest_served_version) {
    mViolations.push_back("host " + std::to_string(aNode) + " served version " +
                          std::to_string(version) + " after version " +
                          std::to_string(each.highest_served_version));
  }
  each.highest_served_version = std::max(each.highest_served_version, version);
}

void
virtual_fleet::BreakLinks(std::size_t aNode)
{
  std::set<std::size_t> others = std::move(mHosts[aNode].links);
  mHosts[aNode].links.clear();
  for (std::size_t other : others) {
    mHosts[other].links.erase(aNode);
    mSilentLinks.erase(EndsOf(aNode, other));
    RunOnNode(other, mHosts[other].generation, Latency(), [this, other, aNode] {
      mHosts[other].node->OnLinkDown(NameOf(aNode), true);
    });
  }
}

void
virtual_fleet::SilenceOpenLinks()
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    for (std::size_t other : mHosts[i].links) {
      mSilentLinks.insert(EndsOf(i, other));
    }
  }
}

void
virtual_fleet::Kill(std::size_t aNode)
{
  host& each = mHosts[aNode];
  if (each.node == nullptr) {
    return;
  }
  BreakLinks(aNode);
  each.node.reset();
  each.connecting.clear();
  ++each.generation;
}

void
virtual_fleet::Leave(std::size_t aNode)
{
  if (mHosts[aNode].node == nullptr) {
    return;
  }
  mHosts[aNode].node->Leave();
  Advance(std::chrono::milliseconds(200));
  Kill(aNode);
}

void
virtual_fleet::Pause(std::size_t aNode, duration aTime)
{
  mHosts[aNode].paused_until = mTime.Now() + aTime;
}

void
virtual_fleet::SetDomainPartitioned(std::size_t aDomain, bool aCut)
{
  if (aCut) {
    mPartitionedDomains.insert(aDomain);
    return;
  }
  mPartitionedDomains.erase(aDomain);
  // Breaks all links of the domain's nodes. Those to other domains would have
  // timed out during the partition.
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (DomainOf(i) == aDomain) {
      BreakLinks(i);
    }
  }
}

bool
virtual_fleet::Reachable(std::size_t aFrom, std::size_t aTo) const
{
  std::size_t from = DomainOf(aFrom);
  std::size_t to = DomainOf(aTo);
  bool cut =
    mPartitionedDomains.count(from) != 0 || mPartitionedDomains.count(to) != 0;
  return from == to || !cut;
}

void
virtual_fleet::Connect(std::size_t aFrom, std::size_t aTo)
{
  if (mHosts[aFrom].links.count(aTo) == 0) {
    Reconnect(aFrom, aTo);
  }
}

void
virtual_fleet::Reconnect(std::size_t aFrom, std::size_t aTo)
{
  host& from = mHosts[aFrom];
  if (aFrom == aTo || !from.connecting.insert(aTo).second) {
    return;
  }
  std::uint64_t generation = from.generation;
  bool reachable = Reachable(aFrom, aTo);
  duration wait = reachable ? Latency() : kConnectTimeout;
  RunOnNode(aFrom, generation, wait, [this, aFrom, aTo, reachable] {
    host& self = mHosts[aFrom];
    host& other = mHosts[aTo];
    self.connecting.erase(aTo);
    bool established =
      reachable && Reachable(aFrom, aTo) && other.node != nullptr;
    if (!established) {
      if (self.links.count(aTo) == 0) {
        self.node->OnLinkDown(NameOf(aTo), false);
      }
      return;
    }
    mSilentLinks.erase(EndsOf(aFrom, aTo));
    self.links.insert(aTo);
    other.links.insert(aFrom);
    self.node->OnLinkUp(NameOf(aTo));
    RunOnNode(aTo, other.generation, duration(0), [this, aFrom, aTo] {
      mHosts[aTo].node->OnLinkUp(NameOf(aFrom));
    });
  });
}

void
virtual_fleet::Send(std::size_t aFrom,
                    std::size_t aTo,
                    const peer_message& aMessage)
{
  host& from = mHosts[aFrom];
  if (from.links.count(aTo) == 0) {
    Connect(aFrom, aTo);
    return;
  }
  ++from.sent.messages[aMessage.index()];
  if (mSilentLinks.count(EndsOf(aFrom, aTo)) != 0) {
    return;
  }
  if (mOptions.count_bytes) {
    from.sent.bytes[aMessage.index()] += EncodeMessage(aMessage).size();
  }
  std::uint64_t generation = mHosts[aTo].generation;
  duration latency = Latency();
  RunOnNode(aTo, generation, latency, [this, aFrom, aTo, aMessage] {
    bool linked = mHosts[aTo].links.count(aFrom) != 0;
    if (linked && Reachable(aFrom, aTo)) {
      mHosts[aTo].node->OnMessage(NameOf(aFrom), aMessage);
    }
  });
}

duration
virtual_fleet::MeasureConvergenceTime(std::uint64_t aVersion, duration aLongest)
{
  constexpr duration kStep = std::chrono::milliseconds(1);
  time_point start = mTime.Now();
  while (mTime.Now() - start < aLongest) {
    bool everywhere = true;
    for (const host& each : mHosts) {
      bool behind =
        each.node != nullptr && each.node->Config()->version < aVersion;
      everywhere = everywhere && !behind;
    }
    if (everywhere) {
      return mTime.Now() - start;
    }
    Advance(kStep);
  }
  return aLongest;
}

std::string
virtual_fleet::FindDisagreement()
{
  const fleet_node* first = nullptr;
  std::set<node_id> running;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (mHosts[i].node != nullptr) {
      running.insert(NameOf(i));
      first = first == nullptr ? mHosts[i].node.get() : first;
    }
  }
  for (const host& each : mHosts) {
    if (each.node == nullptr) {
      continue;
    }
    const fleet_node& node = *each.node;
    if (node.Config()->hash != first->Config()->hash ||
        node.Config()->version != first->Config()->version) {
      return node.Self().node + " has version " +
             std::to_string(node.Config()->version) + ", " +
             first->Self().node + " has " +
             std::to_string(first->Config()->version);
    }
    std::vector<node_id> alive = node.Members().AliveNodes();
    if (std::set<node_id>(alive.begin(), alive.end()) != running) {
      return node.Self().node + " sees " + std::to_string(alive.size()) +
             " nodes alive, but " + std::to_string(running.size()) +
             " are running";
    }
    if (!node.Ready()) {
      return node.Self().node + " is not ready";
    }
    if (node.Rollouts().Hash() != first->Rollouts().Hash()) {
      return node.Self().node + " has different rollout states";
    }
  }
  return {};
}

} // namespace eelgrasstrack::harness
