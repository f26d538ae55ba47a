#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "base/log.h"
#include "harness/config-faults.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::seconds;

namespace {

/// Time after a play until the fleet is calm again.
constexpr duration kCalmTime = seconds(4);

/// A number from the environment, for runs by hand.
std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

std::string
TextFromEnvironment(const char* aName)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? "" : text;
}

fleet_size
FleetSizeFromEnvironment()
{
  return { NumberFromEnvironment("CONFIG_DOMAINS", 4),
           NumberFromEnvironment("CONFIG_HOSTS", 4) };
}

/// Bytes of all IP packets that this machine has sent, by the kernel's count.
std::uint64_t
SentOctets()
{
  std::ifstream file("/proc/net/netstat");
  std::string names;
  std::string values;
  while (std::getline(file, names) && std::getline(file, values)) {
    std::istringstream name(names);
    std::istringstream value(values);
    std::string column;
    std::string number;
    while (name >> column && value >> number) {
      if (column == "OutOctets") {
        return std::stoull(number);
      }
    }
  }
  return 0;
}

std::string
Describe(const config_play& aPlay)
{
  std::string text;
  for (const config_play::late_node& node : aPlay.late_nodes) {
    text += " " + node.name + (node.watches ? " (watches)" : "") + " +" +
            std::to_string(Milliseconds(node.late)) + " ms";
  }
  return text;
}

/// Four failure domains of four nodes.
class config_propagation_fixture
{
public:
  explicit config_propagation_fixture(fleet_size aSize = {})
    : mFleet(aSize)
  {
  }

  /// Plays faults one after the other, with a seed, and checks that each change
  /// is in force in time.
  void CheckFaults(const std::vector<std::string>& aFaults, std::uint64_t aSeed)
  {
    timing_source timings(aSeed);
    for (const std::string& name : aFaults) {
      config_play play = PlayFault(mFleet, ConfigFault(name), timings.Next());
      CAPTURE(name, aSeed, Describe(play));
      CHECK(play.late_nodes.empty());
    }
  }

private:
  config_fleet mFleet;
};

/// One failure domain of three nodes, of which two watch the store.
class small_fleet_fixture : public config_propagation_fixture
{
public:
  small_fleet_fixture()
    : config_propagation_fixture({ 1, 3 })
  {
  }
};

} // namespace

// Plays all faults, or those whose names hold CONFIG_FAULT, with a seed of
// CONFIG_SEED, CONFIG_PLAYS times each, on a fleet of CONFIG_DOMAINS times
// CONFIG_HOSTS nodes, and prints how late changes were in force. CONFIG_LOG=1
// shows the nodes' logs.
TEST_CASE("config propagation, all faults, prints how late changes are",
          "[.soak]")
{
  if (NumberFromEnvironment("CONFIG_LOG", 0) != 0) {
    ConfigureLog(log_level::info, log_format::json);
  }
  std::string wanted = TextFromEnvironment("CONFIG_FAULT");
  std::uint64_t plays = NumberFromEnvironment("CONFIG_PLAYS", 6);
  std::uint64_t seed = NumberFromEnvironment("CONFIG_SEED", 1);
  for (const config_fault& fault : AllConfigFaults()) {
    if (fault.name.find(wanted) == std::string::npos) {
      continue;
    }
    config_fleet fleet(FleetSizeFromEnvironment());
    timing_source timings(seed);
    std::uint64_t late = 0;
    duration latest{ 0 };
    duration slowest{ 0 };
    for (std::uint64_t i = 0; i < plays; ++i) {
      play_timing timing = timings.Next();
      std::printf("PLAY %s #%llu offset %lld ms\n",
                  fault.name.c_str(),
                  static_cast<unsigned long long>(i),
                  static_cast<long long>(Milliseconds(timing.offset)));
      config_play play = PlayFault(fleet, fault, timing);
      fleet.RunFor(kCalmTime);
      late += play.late_nodes.empty() ? 0 : 1;
      latest = std::max(latest, play.Latest());
      slowest = std::max(slowest, play.slowest);
      std::printf("SEEN %s #%llu slowest %lld ms late:%s\n",
                  fault.name.c_str(),
                  static_cast<unsigned long long>(i),
                  static_cast<long long>(Milliseconds(play.slowest)),
                  Describe(play).c_str());
      std::fflush(stdout);
    }
    std::printf("TOTAL %s: %llu of %llu plays late, by %lld ms at most, "
                "slowest %lld ms\n",
                fault.name.c_str(),
                static_cast<unsigned long long>(late),
                static_cast<unsigned long long>(plays),
                static_cast<long long>(Milliseconds(latest)),
                static_cast<long long>(Milliseconds(slowest)));
    std::fflush(stdout);
  }
}

// Guards against a change that waits for one fetch after the other over
// connections that are silent: the watchers have it, the other nodes do not.
TEST_CASE_METHOD(config_propagation_fixture,
                 "config propagation, links between nodes silent, change is in "
                 "force in time",
                 "[config-propagation]")
{
  CheckFaults({ "node links silent", "node links silent", "node links silent" },
              1);
}

// Guards against watchers that wait for the store over one silent connection
// after the other, while they count as watchers.
TEST_CASE_METHOD(config_propagation_fixture,
                 "config propagation, links to the store silent, change is in "
                 "force in time",
                 "[config-propagation]")
{
  CheckFaults(
    { "store links silent", "store links silent", "store links silent" }, 1);
}

// Guards against both at once: neither the store nor a watcher is reached
// before all connections that are kept to it have timed out.
TEST_CASE_METHOD(config_propagation_fixture,
                 "config propagation, all links silent, change is in force in "
                 "time",
                 "[config-propagation]")
{
  CheckFaults({ "all links silent", "all links silent", "all links silent" },
              1);
}

// Guards against the first one in a fleet without other failure domains.
TEST_CASE_METHOD(small_fleet_fixture,
                 "config propagation of a small fleet, links between nodes "
                 "silent, change is in force in time",
                 "[config-propagation][small-fleet]")
{
  CheckFaults({ "node links silent", "node links silent", "node links silent" },
              1);
}

// Guards against the others in a fleet without other failure domains.
TEST_CASE_METHOD(small_fleet_fixture,
                 "config propagation of a small fleet, links to the store "
                 "silent, change is in force in time",
                 "[config-propagation][small-fleet]")
{
  CheckFaults({ "store links silent", "all links silent" }, 1);
}

// Guards against nodes that together call the store more often than it bears
// while it answers none of them, or with a configuration that they refuse.
TEST_CASE("config propagation, store of no use, calls stay within its rate",
          "[config-propagation]")
{
  // The store takes 2,000 reads a second, of 300 hosts at the most.
  constexpr double kCallsPerHost = 2000.0 / 300;
  constexpr duration kTime = seconds(6);
  config_fleet fleet(FleetSizeFromEnvironment());
  fleet.RunFor(seconds(3));
  auto callsPerHost = [&] {
    unsigned before = fleet.Store().CallCount();
    fleet.RunFor(kTime);
    return static_cast<double>(fleet.Store().CallCount() - before) /
           std::chrono::duration<double>(kTime).count() /
           static_cast<double>(fleet.Size());
  };
  fleet.Store().SetFault(platform_store::fault::unavailable);
  CHECK(callsPerHost() < kCallsPerHost);
  fleet.Store().SetFault(platform_store::fault::drops_answers);
  CHECK(callsPerHost() < kCallsPerHost);
  fleet.Store().SetFault(platform_store::fault::none);
  fleet.Store().Put("config", "main", { { "version", 7 } });
  CHECK(callsPerHost() < kCallsPerHost);
}

// Guards against nodes that wait for watchers which no longer serve them.
TEST_CASE_METHOD(config_propagation_fixture,
                 "config propagation, watchers of a domain fail, change is in "
                 "force in time at the others",
                 "[config-propagation]")
{
  CheckFaults({ "watchers frozen", "watchers killed" }, 1);
}

// Guards against nodes that rely on watchers which the store does not reach.
TEST_CASE_METHOD(config_propagation_fixture,
                 "config propagation, watchers of a domain cut off from the "
                 "store, change is in force in time at the others",
                 "[config-propagation]")
{
  CheckFaults({ "watchers cut off from the store", "watchers get 503" }, 1);
}

// Guards against a node that waits for watchers whose last answer of the store
// is too old, where no other failure domain supplies the change.
TEST_CASE_METHOD(small_fleet_fixture,
                 "config propagation of a small fleet, watchers cut off from "
                 "the store, change is in force in time at the other",
                 "[config-propagation][small-fleet]")
{
  CheckFaults({ "watchers cut off from the store" }, 1);
}

// Guards against watchers and connections that have to be replaced at once.
TEST_CASE_METHOD(config_propagation_fixture,
                 "config propagation, all links silent and watchers frozen, "
                 "change is in force in time at the others",
                 "[config-propagation]")
{
  CheckFaults({ "all links silent, watchers frozen" }, 1);
}

// Guards against retries that have become rare during an outage of the store.
TEST_CASE_METHOD(config_propagation_fixture,
                 "config propagation, store was out, change is in force in "
                 "time",
                 "[config-propagation]")
{
  CheckFaults({ "store was out for 4 s", "store drops its history" }, 1);
}

// Prints what calm changes cost and how soon they are in force, on a fleet of
// CONFIG_DOMAINS times CONFIG_HOSTS nodes. The bytes are those of the whole
// machine.
TEST_CASE("config propagation, calm fleet, prints calls and times",
          "[.measure]")
{
  constexpr int kChanges = 20;
  constexpr duration kPeriod = seconds(1);
  config_fleet fleet(FleetSizeFromEnvironment());
  fleet.RunFor(seconds(3));
  auto print = [&fleet](const char* aPhase, const auto& aRun) {
    time_point began = fleet.Now();
    unsigned calls = fleet.Store().CallCount();
    std::uint64_t messages = fleet.Count(proxy_event::peer_message);
    std::uint64_t octets = SentOctets();
    aRun();
    double elapsed = std::chrono::duration<double>(fleet.Now() - began).count();
    auto rate = [elapsed](std::uint64_t aCount) {
      return static_cast<double>(aCount) / elapsed;
    };
    std::printf("%s: %.1f calls to the store a second, %.1f messages a second, "
                "%.1f KB a second\n",
                aPhase,
                rate(fleet.Store().CallCount() - calls),
                rate(fleet.Count(proxy_event::peer_message) - messages),
                rate(SentOctets() - octets) / 1000);
  };
  print("calm", [&] { fleet.RunFor(seconds(20)); });
  std::vector<duration> times;
  print("a change a second", [&] {
    for (int i = 0; i < kChanges; ++i) {
      fleet.ConfirmNextVersion();
      fleet.RunFor(kPeriod);
      for (std::size_t node = 0; node < fleet.Size(); ++node) {
        times.push_back(fleet.InForceAt(node).value_or(fleet.Now()) -
                        fleet.ConfirmedAt());
      }
    }
  });
  std::sort(times.begin(), times.end());
  std::printf("in force after %lld ms (median), %lld ms (max)\n",
              static_cast<long long>(Milliseconds(times[times.size() / 2])),
              static_cast<long long>(Milliseconds(times.back())));
}
