#include "harness/quota-simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <vector>

#include "base/hash.h"
#include "harness/virtual-time.h"
#include "quota/permit-bucket.h"
#include "quota/permit-codec.h"
#include "quota/permit-lease.h"

namespace eelgrasstrack::harness {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMicrosecondsPerSecond = 1e6;
/// Bytes of the heads of a request and of a response between nodes.
constexpr std::size_t kRequestHeadBytes = 92;
constexpr std::size_t kResponseHeadBytes = 40;
constexpr duration kAskTimeout = milliseconds(200);
/// From a lost message to the mark as unreachable.
constexpr duration kProbeTimeout = milliseconds(350);
/// Time between two probes of an owner, to one random host each.
constexpr duration kProbePeriod = milliseconds(250);
constexpr int kProbeRounds = 5;
constexpr double kCutPart = 0.3;
constexpr duration kFaultStart = seconds(10);
constexpr duration kFaultEnd = seconds(20);
/// The first part of a run, while buckets fill, is not judged for refusals.
constexpr duration kWarmUp = seconds(2);
/// Tolerances of requests admitted without the owner, as in the product.
constexpr double kSilentSlackPart = 0.5;
constexpr double kSilentOverPart = 0.25;
/// Period at which nodes tell each other their demand, and the bytes of one
/// organisation's demand in a message.
constexpr duration kGossipPeriod = seconds(1);
constexpr double kGossipEntryBytes = 24;

duration
FromSeconds(double aSeconds)
{
  return duration(static_cast<std::int64_t>(aSeconds * kMicrosecondsPerSecond));
}

double
ToSeconds(duration aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosecondsPerSecond;
}

/// One organisation with its load and what was counted.
struct model_organisation
{
  organisation declared;
  quota_terms terms;
  double usual_rate = 0;
  bool hot = false;
  std::discrete_distribution<std::size_t> nodes;
  /// Nodes in the order of the rendezvous weights.
  std::vector<std::size_t> ranking;
  /// Times of the requests that passed in the present window.
  std::deque<time_point> passed;
  std::size_t most_passed = 0;
  std::uint64_t passed_count = 0;
  std::uint64_t judged = 0;
  std::uint64_t judged_refused = 0;
};

struct model_node
{
  std::string name;
  bool cut = false;
  /// The node has noticed the fault.
  bool noticed = false;
  double bytes = 0;
  std::uint64_t received = 0;
};

/// The lease of one node for one organisation, and the requests that wait.
struct model_lease
{
  explicit model_lease(const quota_terms& aTerms)
    : lease(aTerms)
  {
  }

  permit_lease lease;
  std::size_t owner = 0;
  std::size_t waiting = 0;
};

class quota_simulation
{
public:
  explicit quota_simulation(const quota_simulation_options& aOptions);

  quota_outcome_figures Run();

private:
  void BuildNodes();
  void BuildOrganisations();
  void ScheduleFault();
  void ScheduleArrival(std::size_t aOrganisation);
  double RateNow(const model_organisation& aOrganisation) const;
  void HandleRequest(std::size_t aOrganisation, std::size_t aNode);
  void Pass(model_organisation& aOrganisation);
  void Refuse(model_organisation& aOrganisation);

  bool IsDead(std::size_t aNode) const
  {
    return mFaultActive && mKilled == aNode;
  }
  bool CanReach(std::size_t aFrom, std::size_t aTo) const;
  /// Whether a node believes that it reaches another.
  bool Believes(std::size_t aNode, std::size_t aOther) const;
  double ShareSeenBy(std::size_t aNode) const;
  void Notice(std::size_t aNode);
  std::size_t OwnerSeenBy(std::size_t aNode,
                          const model_organisation& aOrganisation) const;

  // Leases of one owner.
  void HandleWithLease(std::size_t aOrganisation, std::size_t aNode);
  model_lease& LeaseOf(std::size_t aOrganisation, std::size_t aNode);
  void Ask(std::size_t aOrganisation, std::size_t aNode, std::size_t aWaiting);
  std::optional<permit_grant> Take(std::size_t aOrganisation,
                                   std::size_t aOwner,
                                   std::size_t aNode,
                                   unsigned aCount);
  void Settle(std::size_t aOrganisation, std::size_t aNode);
  void DecideWithoutPermit(std::size_t aOrganisation, std::size_t aNode);
  bool MayAdmitWithoutOwner(const model_organisation& aOrganisation,
                            std::size_t aNode) const;
  void UpdateOwners();

  // Shares without an owner.
  void HandleWithShare(std::size_t aOrganisation, std::size_t aNode);
  void UpdateShares();

  std::size_t IndexOf(std::size_t aOrganisation, std::size_t aNode) const
  {
    return aOrganisation * mNodes.size() + aNode;
  }

  quota_simulation_options mOptions;
  virtual_time mTime;
  time_point mStart;
  std::mt19937_64 mRandom;
  std::vector<model_node> mNodes;
  std::vector<model_organisation> mOrganisations;
  std::vector<std::unique_ptr<model_lease>> mLeases;
  /// Buckets by organisation and owner, or by organisation and node.
  std::vector<std::unique_ptr<permit_bucket>> mBuckets;
  std::vector<event_rate> mDemand;
  /// Demand as other nodes know it, one exchange old.
  std::vector<double> mTold;
  bool mFaultActive = false;
  std::optional<std::size_t> mKilled;
  std::size_t mCutCount = 0;
  quota_outcome_figures mFigures;
};

quota_simulation::quota_simulation(const quota_simulation_options& aOptions)
  : mOptions(aOptions)
  , mStart(mTime.Now())
  , mRandom(aOptions.seed)
{
  BuildNodes();
  BuildOrganisations();
  std::size_t pairs = mNodes.size() * mOrganisations.size();
  mLeases.resize(pairs);
  mBuckets.resize(pairs);
  if (mOptions.way == quota_way::gossip_shares) {
    mDemand.resize(pairs, event_rate(seconds(2)));
    mTold.resize(pairs, 0);
  }
}

void
quota_simulation::BuildNodes()
{
  std::uniform_real_distribution<double> part(0, 1);
  for (std::size_t i = 0; i < mOptions.nodes; ++i) {
    model_node node;
    node.name = "node-" + std::to_string(i);
    node.cut =
      mOptions.fault == quota_fault::partition && part(mRandom) < kCutPart;
    mCutCount += node.cut ? 1 : 0;
    mNodes.push_back(std::move(node));
  }
}

void
quota_simulation::BuildOrganisations()
{
  double sum = 0;
  for (std::size_t i = 0; i < mOptions.organisations; ++i) {
    sum += std::pow(static_cast<double>(i + 1), -mOptions.exponent);
  }
  std::lognormal_distribution<double> spread(0, mOptions.spread);
  for (std::size_t i = 0; i < mOptions.organisations; ++i) {
    model_organisation entry;
    entry.declared.name = "organisation-" + std::to_string(i);
    entry.usual_rate =
      mOptions.requests_per_second *
      std::pow(static_cast<double>(i + 1), -mOptions.exponent) / sum;
    entry.declared.requests_per_second =
      entry.usual_rate * mOptions.limit_factor;
    entry.declared.burst =
      entry.declared.requests_per_second * mOptions.burst_seconds;
    entry.terms = TermsOf(entry.declared, mOptions.bounds);
    entry.hot = i == mOptions.hot_rank && mOptions.hot_factor > 1;
    std::vector<double> weights;
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      weights.push_back(spread(mRandom));
    }
    entry.nodes = { weights.begin(), weights.end() };
    std::vector<std::uint64_t> order;
    for (const model_node& node : mNodes) {
      order.push_back(RendezvousWeight(entry.declared.name, node.name));
    }
    entry.ranking.resize(mNodes.size());
    std::iota(entry.ranking.begin(), entry.ranking.end(), 0);
    std::sort(entry.ranking.begin(),
              entry.ranking.end(),
              [&order](std::size_t aLeft, std::size_t aRight) {
                return order[aLeft] > order[aRight];
              });
    mOrganisations.push_back(std::move(entry));
  }
}

double
quota_simulation::RateNow(const model_organisation& aOrganisation) const
{
  duration since = mTime.Now() - mStart;
  bool excess =
    aOrganisation.hot &&
    ((since >= seconds(5) && since < seconds(15)) || since >= seconds(20));
  return aOrganisation.usual_rate * (excess ? mOptions.hot_factor : 1);
}

void
quota_simulation::ScheduleArrival(std::size_t aOrganisation)
{
  // Thinning of a Poisson process at the highest rate.
  model_organisation& entry = mOrganisations[aOrganisation];
  double highest = entry.usual_rate * (entry.hot ? mOptions.hot_factor : 1);
  std::exponential_distribution<double> gap(highest);
  mTime.RunAfter(FromSeconds(gap(mRandom)), [this, aOrganisation, highest] {
    model_organisation& arrived = mOrganisations[aOrganisation];
    std::uniform_real_distribution<double> chance(0, highest);
    if (chance(mRandom) < RateNow(arrived)) {
      HandleRequest(aOrganisation, arrived.nodes(mRandom));
    }
    ScheduleArrival(aOrganisation);
  });
}

void
quota_simulation::HandleRequest(std::size_t aOrganisation, std::size_t aNode)
{
  if (IsDead(aNode)) {
    return; // its callers get no answer, whatever the way
  }
  ++mFigures.requests;
  if (mOptions.way == quota_way::owner_leases) {
    HandleWithLease(aOrganisation, aNode);
  } else {
    HandleWithShare(aOrganisation, aNode);
  }
}

void
quota_simulation::Pass(model_organisation& aOrganisation)
{
  time_point now = mTime.Now();
  std::deque<time_point>& passed = aOrganisation.passed;
  passed.push_back(now);
  while (now - passed.front() > mOptions.bounds.window) {
    passed.pop_front();
  }
  aOrganisation.most_passed =
    std::max(aOrganisation.most_passed, passed.size());
  ++aOrganisation.passed_count;
  aOrganisation.judged += now - mStart > kWarmUp ? 1 : 0;
}

void
quota_simulation::Refuse(model_organisation& aOrganisation)
{
  if (mTime.Now() - mStart > kWarmUp) {
    ++aOrganisation.judged;
    ++aOrganisation.judged_refused;
  }
}

bool
quota_simulation::CanReach(std::size_t aFrom, std::size_t aTo) const
{
  return !mFaultActive || (mNodes[aFrom].cut == mNodes[aTo].cut &&
                           mKilled != aFrom && mKilled != aTo);
}

bool
quota_simulation::Believes(std::size_t aNode, std::size_t aOther) const
{
  if (!mNodes[aNode].noticed) {
    return true;
  }
  return mNodes[aNode].cut == mNodes[aOther].cut && mKilled != aOther;
}

double
quota_simulation::ShareSeenBy(std::size_t aNode) const
{
  if (!mNodes[aNode].noticed) {
    return 1;
  }
  std::size_t reached =
    mNodes[aNode].cut ? mCutCount : mNodes.size() - mCutCount;
  reached -= mKilled ? 1 : 0;
  return static_cast<double>(reached) / static_cast<double>(mNodes.size());
}

std::size_t
quota_simulation::OwnerSeenBy(std::size_t aNode,
                              const model_organisation& aOrganisation) const
{
  return *std::find_if(
    aOrganisation.ranking.begin(),
    aOrganisation.ranking.end(),
    [this, aNode](std::size_t aOther) { return Believes(aNode, aOther); });
}

void
quota_simulation::Notice(std::size_t aNode)
{
  if (mFaultActive && !IsDead(aNode)) {
    mNodes[aNode].noticed = true;
  }
}

void
quota_simulation::ScheduleFault()
{
  if (mOptions.fault == quota_fault::none) {
    return;
  }
  mTime.RunAfter(kFaultStart, [this] {
    mFaultActive = true;
    if (mOptions.fault == quota_fault::owner_killed) {
      mKilled = mOrganisations[mOptions.hot_rank].ranking.front();
    }
    if (mOptions.fault != quota_fault::partition) {
      return;
    }
    // An owner finds one of the lost hosts by its probes, then the others in a
    // few rounds of probes of a part of the hosts.
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      double lost = mNodes[node].cut ? 1 - kCutPart : kCutPart;
      std::geometric_distribution<int> misses(lost);
      mTime.RunAfter(kProbePeriod * (1 + misses(mRandom)) +
                       kProbeRounds * kProbeTimeout,
                     [this, node] { Notice(node); });
    }
  });
  mTime.RunAfter(kFaultEnd, [this] {
    mFaultActive = false;
    // Unreachable hosts are probed twice a second.
    std::uniform_real_distribution<double> delay(0, 0.5);
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      mTime.RunAfter(FromSeconds(delay(mRandom)),
                     [this, node] { mNodes[node].noticed = false; });
    }
  });
}

model_lease&
quota_simulation::LeaseOf(std::size_t aOrganisation, std::size_t aNode)
{
  std::unique_ptr<model_lease>& lease = mLeases[IndexOf(aOrganisation, aNode)];
  if (!lease) {
    lease = std::make_unique<model_lease>(mOrganisations[aOrganisation].terms);
  }
  return *lease;
}

void
quota_simulation::HandleWithLease(std::size_t aOrganisation, std::size_t aNode)
{
  model_lease& held = LeaseOf(aOrganisation, aNode);
  time_point now = mTime.Now();
  held.lease.RecordDemand(now);
  if (held.waiting == 0 && held.lease.TryUse(now)) {
    Pass(mOrganisations[aOrganisation]);
    Ask(aOrganisation, aNode, 0);
    return;
  }
  Ask(aOrganisation, aNode, held.waiting + 1);
  if (held.lease.IsAsking()) {
    ++held.waiting;
    return;
  }
  if (held.lease.TryUse(now)) {
    Pass(mOrganisations[aOrganisation]);
    return;
  }
  DecideWithoutPermit(aOrganisation, aNode);
}

void
quota_simulation::DecideWithoutPermit(std::size_t aOrganisation,
                                      std::size_t aNode)
{
  model_organisation& entry = mOrganisations[aOrganisation];
  model_lease& held = LeaseOf(aOrganisation, aNode);
  if (held.lease.IsOwnerSilent() && MayAdmitWithoutOwner(entry, aNode) &&
      held.lease.TryAllowance(mOptions.bounds.window, mTime.Now())) {
    Pass(entry);
    return;
  }
  Refuse(entry);
}

bool
quota_simulation::MayAdmitWithoutOwner(const model_organisation& aOrganisation,
                                       std::size_t aNode) const
{
  double allNodes = kSilentSlackPart * mOptions.bounds.slack +
                    kSilentOverPart * mOptions.bounds.over *
                      aOrganisation.declared.requests_per_second *
                      ToSeconds(mOptions.bounds.window);
  double place = static_cast<double>(RendezvousWeight(
                   aOrganisation.declared.name, mNodes[aNode].name)) /
                 std::pow(2.0, 64);
  return place < allNodes / static_cast<double>(mNodes.size());
}

void
quota_simulation::Ask(std::size_t aOrganisation,
                      std::size_t aNode,
                      std::size_t aWaiting)
{
  model_lease& held = LeaseOf(aOrganisation, aNode);
  if (held.lease.IsAsking()) {
    return;
  }
  model_organisation& entry = mOrganisations[aOrganisation];
  std::size_t owner = OwnerSeenBy(aNode, entry);
  if (owner != held.owner) {
    held.owner = owner;
    held.lease.HandleNewOwner();
  }
  time_point now = mTime.Now();
  unsigned count = held.lease.CountToAsk(aWaiting, now);
  if (count == 0) {
    return;
  }
  held.lease.BeginAsk(count, now);
  if (owner == aNode) {
    permit_grant grant = *Take(aOrganisation, owner, aNode, count);
    held.lease.HandleGrant(grant.count, grant.wait, now);
    return;
  }
  auto bytes = static_cast<double>(
    kRequestHeadBytes +
    EncodePermitRequest(
      { mNodes[aNode].name, { { entry.declared.name, count } } })
      .size());
  mNodes[aNode].bytes += bytes;
  if (!CanReach(aNode, owner)) {
    mTime.RunAfter(kAskTimeout, [this, aOrganisation, aNode] {
      LeaseOf(aOrganisation, aNode).lease.HandleSilentOwner(true, mTime.Now());
      Settle(aOrganisation, aNode);
      mTime.RunAfter(kProbeTimeout, [this, aNode] { Notice(aNode); });
    });
    return;
  }
  mTime.RunAfter(mOptions.latency, [=, this] {
    mNodes[owner].bytes += bytes;
    ++mNodes[owner].received;
    std::optional<permit_grant> grant =
      Take(aOrganisation, owner, aNode, count);
    std::size_t answered = kResponseHeadBytes;
    if (grant) {
      answered += EncodePermitAnswers(
                    { { mOrganisations[aOrganisation].declared.name, *grant } })
                    .size();
    }
    mNodes[owner].bytes += static_cast<double>(answered);
    mTime.RunAfter(mOptions.latency, [=, this] {
      mNodes[aNode].bytes += static_cast<double>(answered);
      permit_lease& lease = LeaseOf(aOrganisation, aNode).lease;
      if (grant) {
        lease.HandleGrant(grant->count, grant->wait, mTime.Now());
      } else {
        lease.HandleSilentOwner(false, mTime.Now());
      }
      Settle(aOrganisation, aNode);
    });
  });
}

std::optional<permit_grant>
quota_simulation::Take(std::size_t aOrganisation,
                       std::size_t aOwner,
                       std::size_t aNode,
                       unsigned aCount)
{
  model_organisation& entry = mOrganisations[aOrganisation];
  if (OwnerSeenBy(aOwner, entry) != aOwner) {
    mTime.RunAfter(kProbeTimeout, [this, aOwner] { Notice(aOwner); });
    return std::nullopt;
  }
  time_point now = mTime.Now();
  std::unique_ptr<permit_bucket>& bucket =
    mBuckets[IndexOf(aOrganisation, aOwner)];
  if (!bucket) {
    bucket = std::make_unique<permit_bucket>(entry.terms, now);
  }
  bucket->SetShare(ShareSeenBy(aOwner), now);
  return bucket->Take(mNodes[aNode].name, aCount, now);
}

void
quota_simulation::Settle(std::size_t aOrganisation, std::size_t aNode)
{
  model_lease& held = LeaseOf(aOrganisation, aNode);
  while (held.waiting > 0) {
    if (held.lease.TryUse(mTime.Now())) {
      Pass(mOrganisations[aOrganisation]);
      --held.waiting;
      continue;
    }
    bool blocked = held.lease.IsHeld(mTime.Now());
    Ask(aOrganisation, aNode, held.waiting);
    if (held.lease.IsAsking()) {
      return;
    }
    if (blocked) {
      DecideWithoutPermit(aOrganisation, aNode);
      --held.waiting;
    }
  }
}

void
quota_simulation::UpdateOwners()
{
  // As in the product: an owner begins with an empty bucket when it learns that
  // it is one, and drops the bucket when it is none any more.
  for (std::size_t i = 0; i < mOrganisations.size(); ++i) {
    for (std::size_t node : mOrganisations[i].ranking) {
      std::unique_ptr<permit_bucket>& bucket = mBuckets[IndexOf(i, node)];
      bool owns = !IsDead(node) && OwnerSeenBy(node, mOrganisations[i]) == node;
      if (owns && !bucket) {
        bucket =
          std::make_unique<permit_bucket>(mOrganisations[i].terms, mTime.Now());
      } else if (!owns) {
        bucket.reset();
      }
    }
  }
  mTime.RunAfter(milliseconds(200), [this] { UpdateOwners(); });
}

void
quota_simulation::HandleWithShare(std::size_t aOrganisation, std::size_t aNode)
{
  model_organisation& entry = mOrganisations[aOrganisation];
  time_point now = mTime.Now();
  std::size_t index = IndexOf(aOrganisation, aNode);
  if (!mDemand.empty()) {
    mDemand[index].Record(1, now);
  }
  if (!mBuckets[index]) {
    quota_terms terms = entry.terms;
    double part = 1 / static_cast<double>(mNodes.size());
    terms.permits_per_second *= part;
    // The bound without outstanding permits; a node can't admit less than one.
    double depth =
      entry.declared.burst + mOptions.bounds.over / 2 *
                               (entry.declared.requests_per_second *
                                  ToSeconds(mOptions.bounds.window) +
                                entry.declared.burst);
    terms.depth = std::max(depth * part, 1.0);
    mBuckets[index] = std::make_unique<permit_bucket>(terms, now);
  }
  permit_grant grant = mBuckets[index]->Take(mNodes[aNode].name, 1, now);
  if (grant.count == 1) {
    Pass(entry);
  } else {
    Refuse(entry);
  }
}

void
quota_simulation::UpdateShares()
{
  time_point now = mTime.Now();
  std::vector<double> told(mTold.size());
  for (std::size_t i = 0; i < mOrganisations.size(); ++i) {
    const model_organisation& entry = mOrganisations[i];
    // Each node divides by what it has heard of the others an exchange ago.
    std::array<double, 2> sides{ 0, 0 };
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      sides[mNodes[node].cut ? 1 : 0] += mTold[IndexOf(i, node)];
    }
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      std::size_t index = IndexOf(i, node);
      told[index] = mDemand[index].PerSecond(now);
      if (!mBuckets[index]) {
        continue;
      }
      double others = mFaultActive && mNodes[node].noticed
                        ? sides[mNodes[node].cut ? 1 : 0]
                        : sides[0] + sides[1];
      double sum = std::max(others - mTold[index] + told[index], 1e-9);
      double part = std::min(told[index] / sum, 1.0) *
                    (mNodes[node].noticed ? ShareSeenBy(node) : 1.0);
      quota_terms terms = entry.terms;
      terms.permits_per_second *= std::max(part, 1e-9);
      terms.depth = std::max(
        part * (entry.declared.burst + mOptions.bounds.over / 2 *
                                         (entry.declared.requests_per_second *
                                            ToSeconds(mOptions.bounds.window) +
                                          entry.declared.burst)),
        1.0);
      mBuckets[index]->SetTerms(terms, now);
    }
  }
  mTold = std::move(told);
  // Each node hears of every other node's organisations once a period.
  double entries = 0;
  for (double demand : mTold) {
    entries += demand > 0.1 ? 1 : 0;
  }
  for (model_node& node : mNodes) {
    node.bytes += 2 * entries * kGossipEntryBytes;
    node.received += 2;
  }
  mTime.RunAfter(kGossipPeriod, [this] { UpdateShares(); });
}

quota_outcome_figures
quota_simulation::Run()
{
  ScheduleFault();
  for (std::size_t i = 0; i < mOrganisations.size(); ++i) {
    ScheduleArrival(i);
  }
  if (mOptions.way == quota_way::owner_leases) {
    UpdateOwners();
  } else if (mOptions.way == quota_way::gossip_shares) {
    UpdateShares();
  }
  mTime.Advance(mOptions.run_time);
  std::uint64_t judged = 0;
  std::uint64_t refused = 0;
  for (const model_organisation& entry : mOrganisations) {
    double bound =
      (entry.declared.requests_per_second * ToSeconds(mOptions.bounds.window) +
       entry.declared.burst) *
        (1 + mOptions.bounds.over) +
      mOptions.bounds.slack;
    mFigures.most_of_bound = std::max(
      mFigures.most_of_bound, static_cast<double>(entry.most_passed) / bound);
    if (entry.hot) {
      mFigures.passed_of_limit =
        static_cast<double>(entry.passed_count) /
        (entry.declared.requests_per_second * ToSeconds(mOptions.run_time));
      continue;
    }
    judged += entry.judged;
    refused += entry.judged_refused;
  }
  mFigures.refused_below_limit =
    static_cast<double>(refused) /
    static_cast<double>(std::max<std::uint64_t>(judged, 1));
  double total = 0;
  double time = ToSeconds(mOptions.run_time);
  for (const model_node& node : mNodes) {
    total += node.bytes;
    mFigures.most_bytes_per_second =
      std::max(mFigures.most_bytes_per_second, node.bytes / time);
    mFigures.most_messages_per_second =
      std::max(mFigures.most_messages_per_second,
               static_cast<double>(node.received) / time);
  }
  mFigures.bytes_per_node_second =
    total / time / static_cast<double>(mNodes.size());
  return mFigures;
}

} // namespace

std::string_view
NameOf(quota_way aWay)
{
  constexpr std::array<std::string_view, 3> kNames{ "fixed_shares",
                                                    "owner_leases",
                                                    "gossip_shares" };
  return kNames[static_cast<std::size_t>(aWay)];
}

std::string_view
NameOf(quota_fault aFault)
{
  constexpr std::array<std::string_view, 3> kNames{ "none",
                                                    "partition",
                                                    "owner_killed" };
  return kNames[static_cast<std::size_t>(aFault)];
}

quota_outcome_figures
SimulateQuotas(const quota_simulation_options& aOptions)
{
  return quota_simulation(aOptions).Run();
}

} // namespace eelgrasstrack::harness
