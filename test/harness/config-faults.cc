#include "harness/config-faults.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace eelgrasstrack::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A change that is not in force at all nodes after this time counts as lost.
constexpr duration kPlayTime = seconds(15);
/// Time from the last messages about instances until a fault begins.
constexpr duration kSettlingTime = milliseconds(1000);
/// Longest time that the store holds a watch without a change.
constexpr duration kLongestWatch = milliseconds(2500);
/// Outage that is long enough for the retries to reach their longest delay.
constexpr duration kLongOutage = seconds(8);

std::vector<std::size_t>
Nobody()
{
  return {};
}

void
DoNothing(config_fleet&)
{
}

config_fault
SilentLinks(const std::string& aName, link_kind aLinks, silence_kind aKind)
{
  return { aName,
           [aLinks, aKind](config_fleet& aFleet) {
             aFleet.Silence(aLinks, aKind);
             return Nobody();
           },
           DoNothing,
           true };
}

/// A fault that hits the watchers of failure domain 0, after `aBefore`.
config_fault
WatchersHit(const std::string& aName,
            const std::function<void(config_fleet&, std::size_t aNode)>& aBegin,
            const std::function<void(config_fleet&, std::size_t aNode)>& aEnd,
            const std::function<void(config_fleet&)>& aAtAll = DoNothing,
            bool aDisturbsAll = false,
            duration aTimeInFault = duration(0))
{
  auto hit = std::make_shared<std::vector<std::size_t>>();
  return { aName,
           [=](config_fleet& aFleet) {
             *hit = aFleet.WatchersOf(0);
             for (std::size_t node : *hit) {
               aBegin(aFleet, node);
             }
             aAtAll(aFleet);
             aFleet.RunFor(aTimeInFault);
             return *hit;
           },
           [=](config_fleet& aFleet) {
             for (std::size_t node : *hit) {
               aEnd(aFleet, node);
             }
           },
           aDisturbsAll };
}

void
Freeze(config_fleet& aFleet, std::size_t aNode)
{
  aFleet.SetFrozen(aNode, true);
}

void
Thaw(config_fleet& aFleet, std::size_t aNode)
{
  aFleet.SetFrozen(aNode, false);
}

void
Kill(config_fleet& aFleet, std::size_t aNode)
{
  aFleet.Kill(aNode);
}

void
Restart(config_fleet& aFleet, std::size_t aNode)
{
  aFleet.Restart(aNode);
}

void
CutOff(config_fleet& aFleet, std::size_t aNode)
{
  aFleet.SetStoreCutOff(aNode, true);
}

void
Reconnect(config_fleet& aFleet, std::size_t aNode)
{
  aFleet.SetStoreCutOff(aNode, false);
}

std::function<void(config_fleet&, std::size_t)>
TurnAway(std::optional<platform_store::fault> aFault)
{
  return [aFault](config_fleet& aFleet, std::size_t aNode) {
    aFleet.Store().SetFaultAt(aFleet.StoreAddressOf(aNode), aFault);
  };
}

std::function<void(config_fleet&)>
Silencing(link_kind aLinks)
{
  return [aLinks](config_fleet& aFleet) { aFleet.Silence(aLinks); };
}

/// A disturbance of the store that is over before the change.
config_fault
PastStoreFault(const std::string& aName,
               platform_store::fault aFault,
               duration aTime)
{
  return { aName,
           [=](config_fleet& aFleet) {
             aFleet.Store().SetFault(aFault);
             aFleet.RunFor(aTime);
             aFleet.Store().SetFault(platform_store::fault::none);
             return Nobody();
           },
           DoNothing,
           true };
}

std::vector<config_fault>
LinkFaults()
{
  std::vector<config_fault> faults;
  faults.push_back(
    { "calm", [](config_fleet&) { return Nobody(); }, DoNothing });
  const std::array<std::pair<const char*, link_kind>, 3> links{
    { { "store", link_kind::store },
      { "node", link_kind::nodes },
      { "all", link_kind::all } }
  };
  for (const auto& [name, kind] : links) {
    std::string text = std::string(name) + " links ";
    faults.push_back(SilentLinks(text + "silent", kind, silence_kind::stalled));
    faults.push_back(
      SilentLinks(text + "lose packets", kind, silence_kind::packets_lost));
  }
  return faults;
}

std::vector<config_fault>
WatcherFaults()
{
  using fault = platform_store::fault;
  duration watch = kLongestWatch + seconds(1);
  std::vector<config_fault> faults{
    WatchersHit("watchers killed", Kill, Restart),
    WatchersHit("watchers frozen", Freeze, Thaw),
    WatchersHit("watchers cut off from the store", CutOff, Reconnect),
    WatchersHit("watchers cut off for a while",
                CutOff,
                Reconnect,
                DoNothing,
                false,
                watch),
    WatchersHit("watchers get 503",
                TurnAway(fault::unavailable),
                TurnAway(std::nullopt),
                DoNothing,
                false,
                watch),
    WatchersHit("watchers get 429",
                TurnAway(fault::rate_limited),
                TurnAway(std::nullopt),
                DoNothing,
                false,
                watch),
    WatchersHit("watchers get no answers",
                TurnAway(fault::drops_answers),
                TurnAway(std::nullopt)),
    WatchersHit("node links silent, watchers frozen",
                Freeze,
                Thaw,
                Silencing(link_kind::nodes),
                true),
    WatchersHit("store links silent, watchers frozen",
                Freeze,
                Thaw,
                Silencing(link_kind::store),
                true),
    WatchersHit("all links silent, watchers frozen",
                Freeze,
                Thaw,
                Silencing(link_kind::all),
                true),
    WatchersHit("all links silent, watchers killed",
                Kill,
                Restart,
                Silencing(link_kind::all),
                true),
    WatchersHit("all links silent, watchers cut off from the store",
                CutOff,
                Reconnect,
                Silencing(link_kind::all),
                true),
  };
  return faults;
}

std::vector<config_fault>
StoreFaults()
{
  using fault = platform_store::fault;
  return {
    { "store late by 200 ms",
      [](config_fleet& aFleet) {
        aFleet.Store().SetResponseDelay(milliseconds(200));
        return Nobody();
      },
      [](config_fleet& aFleet) {
        aFleet.Store().SetResponseDelay(duration(0));
      } },
    { "store drops its history",
      [](config_fleet& aFleet) {
        aFleet.Store().Compact();
        return Nobody();
      },
      DoNothing },
    PastStoreFault(
      "store has lost answers for 4 s", fault::drops_answers, seconds(4)),
    PastStoreFault("store was out for 8 s", fault::unavailable, kLongOutage),
    PastStoreFault(
      "store was out for 4 s", fault::unavailable, kLongOutage / 2),
    { "store was out for 8 s and lists nothing for 1 s",
      [](config_fleet& aFleet) {
        aFleet.Store().SetFault(fault::unavailable);
        aFleet.RunFor(kLongOutage);
        aFleet.Store().Compact();
        aFleet.Store().Put("other", "x", { { "i", 1 } });
        aFleet.Store().Compact(); // watches from before get 410
        aFleet.Store().SetFault(fault::empty_listings);
        aFleet.ConfirmNextVersion();
        aFleet.RunFor(seconds(1));
        aFleet.Store().SetFault(fault::none);
        return Nobody();
      },
      DoNothing,
      true },
  };
}

} // namespace

duration
config_play::Latest() const
{
  duration latest{ 0 };
  for (const late_node& each : late_nodes) {
    latest = std::max(latest, each.late);
  }
  return latest;
}

config_play
PlayFault(config_fleet& aFleet,
          const config_fault& aFault,
          const play_timing& aTiming)
{
  aFleet.RestartInstances();
  aFleet.RunFor(kSettlingTime + aTiming.pause);
  std::vector<std::size_t> disturbed = aFault.begin(aFleet);
  time_point stable = aFleet.Now() + kStableTime;
  aFleet.RunFor(aTiming.offset);
  std::vector<bool> watched;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    watched.push_back(aFleet.Watches(i));
  }
  aFleet.ConfirmNextVersion();
  time_point deadline = aFleet.ConfirmedAt() + kPropagationTime;
  if (aFault.disturbs_all) {
    deadline = std::max(deadline, stable);
  }
  aFleet.RunUntil([&] { return aFleet.InForceExcept(disturbed); }, kPlayTime);
  config_play play;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (std::find(disturbed.begin(), disturbed.end(), i) != disturbed.end()) {
      continue;
    }
    time_point at = aFleet.InForceAt(i).value_or(aFleet.Now());
    play.slowest = std::max(play.slowest, at - aFleet.ConfirmedAt());
    if (at > deadline) {
      play.late_nodes.push_back(
        { aFleet.NameOf(i), watched.at(i), at - deadline });
    }
  }
  aFault.end(aFleet);
  return play;
}

std::vector<config_fault>
AllConfigFaults()
{
  std::vector<config_fault> faults = LinkFaults();
  for (const std::vector<config_fault>& more :
       { WatcherFaults(), StoreFaults() }) {
    faults.insert(faults.end(), more.begin(), more.end());
  }
  return faults;
}

config_fault
ConfigFault(const std::string& aName)
{
  for (const config_fault& fault : AllConfigFaults()) {
    if (fault.name == aName) {
      return fault;
    }
  }
  throw std::invalid_argument("no such fault: " + aName);
}

play_timing
timing_source::Next()
{
  constexpr std::array<duration, 3> kOffsets{ milliseconds(0),
                                              milliseconds(300),
                                              milliseconds(1000) };
  constexpr duration kMaxJitter = milliseconds(100);
  std::uniform_int_distribution<std::int64_t> pause(0, kLongestWatch.count());
  std::uniform_int_distribution<std::int64_t> jitter(0, kMaxJitter.count());
  play_timing timing;
  timing.pause = duration(pause(mRandom));
  timing.offset =
    kOffsets.at(mIndex++ % kOffsets.size()) + duration(jitter(mRandom));
  return timing;
}

} // namespace eelgrasstrack::test
