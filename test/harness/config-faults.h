#ifndef EELGRASSTRACK_TEST_HARNESS_CONFIG_FAULTS_H_
#define EELGRASSTRACK_TEST_HARNESS_CONFIG_FAULTS_H_

#include <random>

#include "harness/config-fleet.h"

namespace eelgrasstrack::test {

/// What goes on in the fleet while a change is confirmed.
struct config_fault
{
  std::string name;
  /// Begins the fault. Returns the nodes that are themselves disturbed, to
  /// which no bound applies.
  std::function<std::vector<std::size_t>(config_fleet&)> begin;
  /// Ends the fault and brings the fleet back.
  std::function<void(config_fleet&)> end;
  /// The fault disturbs the other nodes too, or the store, at its start: they
  /// have `kStableTime` until the bound applies.
  bool disturbs_all = false;
};

/// One change under a fault.
struct config_play
{
  /// A node that had the change in force after the deadline.
  struct late_node
  {
    std::string name;
    bool watches = false;
    /// Time after the deadline; the end of the play if it never had it.
    duration late{ 0 };
  };

  std::vector<late_node> late_nodes;
  /// Time from the confirmation until the last node had the change in force.
  duration slowest{ 0 };

  duration Latest() const;
};

/// Stated bound from the confirmation of a change until it is in force.
inline constexpr duration kPropagationTime = std::chrono::seconds(2);
/// Time after a disturbance from which the bound applies again.
inline constexpr duration kStableTime = std::chrono::seconds(3);

/// When a fault begins and when the change comes.
struct play_timing
{
  /// Time before the fault, at most as long as a watch of the store.
  duration pause{ 0 };
  /// Time from the fault until the change is confirmed.
  duration offset{ 0 };
};

/// Plays a fault: begins it, confirms a change, measures, ends the fault.
config_play
PlayFault(config_fleet& aFleet,
          const config_fault& aFault,
          const play_timing& aTiming);

/// All faults that concern the fleet, with failure domain 0 as the disturbed
/// one where there is one.
std::vector<config_fault>
AllConfigFaults();

/// The fault with this name. Throws if there is none.
config_fault
ConfigFault(const std::string& aName);

/// Seeded timings: the offset is 0, 0.3 and 1 s in turn, each with a random
/// part of up to 0.1 s.
class timing_source
{
public:
  explicit timing_source(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  play_timing Next();

private:
  std::mt19937_64 mRandom;
  std::size_t mIndex = 0;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_CONFIG_FAULTS_H_
