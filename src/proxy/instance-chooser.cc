#include "proxy/instance-chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace eelgrasstrack {

namespace {

/// Time a request is taken to need where nothing is known, in microseconds.
constexpr double kUnknownTypical = 50000;
/// Weight of the newest outcome in the average of failures.
constexpr double kOutcomeWeight = 0.1;
/// Time in which a failure is half forgotten.
constexpr double kFailureHalfLifeSeconds = 4;
/// How much an instance that always fails seems slower.
constexpr double kFailurePenalty = 12;
/// How much a full instance is slower than an idle one.
constexpr double kCrowdingPenalty = 0.4;
/// Part of the goal that crossing failure domains counts as: bytes between
/// them are paid for.
constexpr double kCrossingShare = 0.35;
constexpr double kColdPenalty = 2;
/// Microseconds, more than any request may take.
constexpr double kUnreachablePenalty = 1e9;
/// Random part of an expected time, so that nodes do not choose alike.
constexpr double kJitter = 0.08;
/// Weight of the newest report in the usual load.
constexpr double kUsualWeight = 0.3;
/// Reported load of other nodes is taken to become the usual one over this
/// time.
constexpr double kReportFadeSeconds = 0.5;
constexpr duration kShortestFull = std::chrono::milliseconds(10);
constexpr duration kLongestFull = std::chrono::milliseconds(150);
constexpr duration kForgetAfter = std::chrono::seconds(60);

double
Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

instance_chooser::instance_chooser(std::string aDomain, std::uint64_t aSeed)
  : mDomain(std::move(aDomain))
  , mRandom(aSeed)
{
}

double
instance_chooser::UsualTypical(
  const std::vector<instance_candidate>& aCandidates) const
{
  double sum = 0;
  unsigned known = 0;
  for (const instance_candidate& candidate : aCandidates) {
    auto load = mLoads.find(candidate.instance);
    if (load != mLoads.end() && load->second.typical > 0) {
      sum += load->second.typical;
      ++known;
    }
  }
  return known > 0 ? sum / known : kUnknownTypical;
}

double
instance_chooser::ExpectedMicroseconds(const instance_candidate& aCandidate,
                                       double aUsualTypical,
                                       duration aGoalLeft,
                                       time_point aNow)
{
  const instance_load& load = mLoads[aCandidate.instance];
  double typical = load.typical > 0 ? load.typical : aUsualTypical;
  double fade = std::exp(-Seconds(aNow - load.reported) / kReportFadeSeconds);
  double others = load.usual_others + (load.others - load.usual_others) * fade;
  double ahead = load.outstanding + others;
  double slots = aCandidate.slots;
  double crowding = std::min(1.0, ahead / slots);
  double expected = typical * (1 + kCrowdingPenalty * crowding * crowding);
  if (ahead + 1 > slots) {
    expected += typical * (ahead + 1 - slots) / slots;
  }
  if (aCandidate.cold) {
    expected *= kColdPenalty;
  }
  double forgotten =
    std::exp2(-Seconds(aNow - load.failed_at) / kFailureHalfLifeSeconds);
  expected *= 1 + kFailurePenalty * load.failures * forgotten;
  if (aCandidate.domain != mDomain) {
    expected += kCrossingShare * static_cast<double>(aGoalLeft.count());
  }
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  return expected * jitter(mRandom);
}

time_point
instance_chooser::FullUntil(const instance_load& aLoad,
                            const choice_request& aRequest)
{
  std::size_t rank = std::min<std::size_t>(aRequest.rank, kRanks - 1);
  return aLoad.full_until[rank][aRequest.goal_left <= duration(0) ? 1 : 0];
}

void
instance_chooser::NoteFull(instance_load& aLoad,
                           const choice_request& aRequest,
                           time_point aUntil)
{
  // What is full for a request is full for less urgent ones; a late request
  // says nothing about those that can reach their goal.
  bool late = aRequest.goal_left <= duration(0);
  for (std::size_t rank = aRequest.rank; rank < kRanks; ++rank) {
    aLoad.full_until[rank][1] = std::max(aLoad.full_until[rank][1], aUntil);
    if (!late) {
      aLoad.full_until[rank][0] = std::max(aLoad.full_until[rank][0], aUntil);
    }
  }
}

std::optional<std::size_t>
instance_chooser::Choose(const std::vector<instance_candidate>& aCandidates,
                         const std::set<std::string>& aTried,
                         const choice_request& aRequest,
                         time_point aNow)
{
  duration goalLeft = std::max(aRequest.goal_left, duration(0));
  double usual = UsualTypical(aCandidates);
  std::optional<std::size_t> best;
  double bestExpected = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const instance_candidate& candidate = aCandidates[i];
    if (aTried.count(candidate.instance) > 0) {
      continue;
    }
    if (aNow < FullUntil(mLoads[candidate.instance], aRequest)) {
      continue;
    }
    double expected = ExpectedMicroseconds(candidate, usual, goalLeft, aNow);
    if (candidate.unreachable) {
      // Only where nothing else is left.
      expected += kUnreachablePenalty;
    }
    if (expected < bestExpected) {
      bestExpected = expected;
      best = i;
    }
  }
  if (best) {
    mLoads[aCandidates[*best].instance].used = aNow;
  }
  return best;
}

void
instance_chooser::Started(const std::string& aInstance)
{
  ++mLoads[aInstance].outstanding;
}

void
instance_chooser::Ended(const std::string& aInstance,
                        const choice_request& aRequest,
                        outcome aOutcome,
                        const std::optional<run_load>& aLoad,
                        time_point aNow)
{
  instance_load& load = mLoads[aInstance];
  if (load.outstanding > 0) {
    --load.outstanding;
  }
  if (aLoad && aLoad->slots > 0) {
    double all = aLoad->busy + aLoad->waiting;
    load.others = std::max(0.0, all - load.outstanding);
    load.usual_others += kUsualWeight * (load.others - load.usual_others);
    load.reported = aNow;
    if (aLoad->average_duration > duration(0)) {
      load.typical = static_cast<double>(aLoad->average_duration.count());
    }
  }
  if (aOutcome == outcome::withdrawn) {
    return;
  }
  if (aOutcome == outcome::refused) {
    auto pause = duration(static_cast<std::int64_t>(load.typical / 4));
    NoteFull(
      load, aRequest, aNow + std::clamp(pause, kShortestFull, kLongestFull));
    return;
  }
  double failed = aOutcome == outcome::failed ? 1 : 0;
  load.failures += kOutcomeWeight * (failed - load.failures);
  if (aOutcome == outcome::failed) {
    load.failed_at = aNow;
  }
}

void
instance_chooser::Forget(time_point aNow)
{
  std::erase_if(mLoads, [&](const auto& aEntry) {
    return aEntry.second.outstanding == 0 &&
           aNow - aEntry.second.used > kForgetAfter;
  });
}

} // namespace eelgrasstrack
