#ifndef EELGRASSTRACK_PROXY_VERSION_GATE_H_
#define EELGRASSTRACK_PROXY_VERSION_GATE_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// How far the move of a service to a new version has come. Later values
/// replace earlier ones when nodes exchange them.
enum class move_phase
{
  /// A small share of requests tries the new version.
  trial,
  /// All requests go to the new version; it can still be taken back.
  widened,
  /// Done: the old version has ended.
  complete,
  /// Taken back for good.
  reverted,
};

std::string_view
NameOf(move_phase aPhase);

/// Returns `trial` for an unknown name.
std::optional<move_phase>
MovePhaseFromName(std::string_view aName);

/// The move of one service, as all nodes agree on it.
struct version_move
{
  std::string service;
  std::string to;
  /// Revision of the order; a later order replaces an earlier one.
  std::uint64_t order = 0;
  move_phase phase = move_phase::trial;
  /// Part of the requests that try the new version in `trial`, 0 to 1.
  double share = 0;
  /// Time from the order to the moment when it must be done.
  duration over{ 0 };
  /// When the order was first seen, by the clock of this process.
  time_point began{};
};

/// Which instance of the new version is loaded by a burst of the trial, as
/// a number that counts up; empty between bursts.
///
/// Some faults show under load only. So a part of the trial comes in short
/// bursts, in which all requests of the service go to one new instance. Nodes
/// agree on the moments by the time since the order.
std::optional<unsigned>
TrialBurst(duration aSinceOrder);

/// How a request takes part in a trial.
struct trial_draw
{
  /// It tries the new version.
  bool tries = false;
  /// It goes to this instance of the new version; empty: to any.
  std::optional<unsigned> instance;
};

/// Which version of a service a request goes to.
class version_gate
{
public:
  /// Takes a move unless a later one, or a later phase, is known. Returns
  /// whether anything changed.
  bool Take(const version_move& aMove);

  const version_move* MoveOf(const std::string& aService) const;
  const std::map<std::string, version_move>& Moves() const { return mMoves; }

  /// Notes a version that serves a service. The first one, or the one of the
  /// oldest instance, is the established one.
  void SeeVersion(const std::string& aService,
                  const std::string& aVersion,
                  std::int64_t aBornMs);

  /// Whether a request that begins now tries the new version.
  trial_draw DrawTrial(const std::string& aService, time_point aNow);

  /// Whether instances of the version take ordinary requests of the service.
  bool Ordinary(const std::string& aService, const std::string& aVersion) const;

private:
  struct established
  {
    std::string version;
    std::int64_t born_ms = 0;
  };

  std::map<std::string, version_move> mMoves;
  std::map<std::string, established> mEstablished;
  std::map<std::string, double> mTrialCredit;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_VERSION_GATE_H_
