#include "proxy/instance-chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "net/bandwidth-scheduler.h"

namespace eelgrasstrack {

namespace {

/// Assumed duration of a request where none is known.
constexpr double kDefaultMicroseconds = 50000;
/// Weight of the newest outcome in the failure rate.
constexpr double kOutcomeWeight = 0.1;
/// Half-life of the failure rate after the last failure.
constexpr double kFailureHalfLifeSeconds = 4;
/// An instance that always fails counts as slower by this many times the
/// expected time.
constexpr double kFailurePenalty = 12;
/// A full instance is slower than an idle one by this fraction.
constexpr double kLoadPenalty = 0.4;
/// Fraction of the time to the soft deadline that is added for an instance in
/// another failure domain, because traffic between domains is paid for: for a
/// small answer, and for one of `kLargeAnswerBytes` or more.
constexpr double kSmallCrossDomainShare = 0.1;
constexpr double kLargeCrossDomainShare = 0.35;
constexpr std::size_t kLargeAnswerBytes = 64U << 10U;
/// Factor for an instance that is still warming up.
constexpr double kWarmUpPenalty = 2;
/// Added for an unreachable host, in microseconds; exceeds any request timeout.
constexpr double kUnreachablePenalty = 1e9;
/// Maximum random increase of an expected time, as a fraction. It keeps nodes
/// from all choosing the same instance.
constexpr double kJitter = 0.08;
/// Weight of the newest report in the average load of other nodes.
constexpr double kReportWeight = 0.3;
/// Time constant with which the estimated load of other nodes moves from the
/// last report to the average.
constexpr double kReportDecaySeconds = 0.5;
/// Bounds of the time for which an instance counts as full after a refusal.
constexpr duration kMinFullTime = std::chrono::milliseconds(10);
constexpr duration kMaxFullTime = std::chrono::milliseconds(150);
constexpr duration kMaxUnusedTime = std::chrono::seconds(60);

double
CrossDomainShare(std::size_t aAnswerBytes)
{
  double size =
    std::min(1.0, static_cast<double>(aAnswerBytes) / kLargeAnswerBytes);
  return kSmallCrossDomainShare +
         size * (kLargeCrossDomainShare - kSmallCrossDomainShare);
}

/// The part of a reported wait that is left after the time since the report.
double
RemainingMicroseconds(duration aWait, duration aSinceReport)
{
  return static_cast<double>(
    std::max(aWait - aSinceReport, duration(0)).count());
}

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
instance_chooser::MeanMicroseconds(
  const std::vector<instance_candidate>& aCandidates) const
{
  double sum = 0;
  unsigned known = 0;
  for (const instance_candidate& candidate : aCandidates) {
    auto load = mLoads.find(candidate.instance);
    if (load != mLoads.end() && load->second.average_microseconds > 0) {
      sum += load->second.average_microseconds;
      ++known;
    }
  }
  return known > 0 ? sum / known : kDefaultMicroseconds;
}

double
instance_chooser::ExpectedMicroseconds(const instance_candidate& aCandidate,
                                       double aMeanMicroseconds,
                                       const request_urgency& aRequest,
                                       time_point aNow)
{
  const instance_load& load = mLoads[aCandidate.instance];
  double average = load.average_microseconds > 0 ? load.average_microseconds
                                                 : aMeanMicroseconds;
  double decay =
    std::exp(-Seconds(aNow - load.reported_at) / kReportDecaySeconds);
  double otherRequests =
    load.average_other_requests +
    (load.other_requests - load.average_other_requests) * decay;
  double requests = load.outstanding + otherRequests;
  double slots = aCandidate.slots;
  double utilization = std::min(1.0, requests / slots);
  double expected = average * (1 + kLoadPenalty * utilization * utilization);
  if (requests + 1 > slots) {
    expected += average * (requests + 1 - slots) / slots;
  }
  if (aCandidate.warming_up) {
    expected *= kWarmUpPenalty;
  }
  double failureDecay =
    std::exp2(-Seconds(aNow - load.failed_at) / kFailureHalfLifeSeconds);
  expected *= 1 + kFailurePenalty * load.failure_rate * failureDecay;
  if (aCandidate.domain != mDomain) {
    duration left = std::max(aRequest.time_to_soft_deadline, duration(0));
    expected += CrossDomainShare(aRequest.answer_bytes) *
                static_cast<double>(left.count());
  }
  if (aRequest.answer_bytes > kSmallMessageBytes) {
    expected += RemainingMicroseconds(load.link_wait, aNow - load.reported_at);
  }
  expected += RemainingMicroseconds(load.limit_wait, aNow - load.reported_at);
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  return expected * jitter(mRandom);
}

time_point
instance_chooser::FullUntil(const instance_load& aLoad,
                            const request_urgency& aRequest)
{
  std::size_t priority =
    std::min<std::size_t>(aRequest.priority, kPriorityLevels - 1);
  return aLoad
    .full_until[priority]
               [aRequest.time_to_soft_deadline <= duration(0) ? 1 : 0];
}

void
instance_chooser::MarkFull(instance_load& aLoad,
                           const request_urgency& aRequest,
                           time_point aUntil)
{
  // An instance that is full for one request is also full for requests of lower
  // priority. A refused late request says nothing about requests that can still
  // meet their soft deadline, since those go first.
  bool late = aRequest.time_to_soft_deadline <= duration(0);
  std::size_t first =
    std::min<std::size_t>(aRequest.priority, kPriorityLevels - 1);
  for (std::size_t priority = first; priority < kPriorityLevels; ++priority) {
    aLoad.full_until[priority][1] =
      std::max(aLoad.full_until[priority][1], aUntil);
    if (!late) {
      aLoad.full_until[priority][0] =
        std::max(aLoad.full_until[priority][0], aUntil);
    }
  }
}

std::optional<std::size_t>
instance_chooser::Choose(const std::vector<instance_candidate>& aCandidates,
                         const std::set<std::string>& aAttempted,
                         const request_urgency& aRequest,
                         time_point aNow)
{
  double mean = MeanMicroseconds(aCandidates);
  std::optional<std::size_t> best;
  double bestExpected = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const instance_candidate& candidate = aCandidates[i];
    if (aAttempted.count(candidate.instance) > 0) {
      continue;
    }
    if (aNow < FullUntil(mLoads[candidate.instance], aRequest)) {
      continue;
    }
    double expected = ExpectedMicroseconds(candidate, mean, aRequest, aNow);
    if (candidate.unreachable) {
      // Chosen only if there is no reachable candidate.
      expected += kUnreachablePenalty;
    }
    if (expected < bestExpected) {
      bestExpected = expected;
      best = i;
    }
  }
  if (best) {
    mLoads[aCandidates[*best].instance].last_used = aNow;
  }
  return best;
}

void
instance_chooser::RecordStart(const std::string& aInstance)
{
  ++mLoads[aInstance].outstanding;
}

void
instance_chooser::RecordEnd(const std::string& aInstance,
                            const request_urgency& aRequest,
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
    load.other_requests = std::max(0.0, all - load.outstanding);
    load.average_other_requests +=
      kReportWeight * (load.other_requests - load.average_other_requests);
    load.reported_at = aNow;
    load.link_wait = aLoad->link_wait;
    load.limit_wait = aLoad->limit_wait;
    if (aLoad->average_duration > duration(0)) {
      load.average_microseconds =
        static_cast<double>(aLoad->average_duration.count());
    }
  }
  if (aOutcome == outcome::cancelled) {
    return;
  }
  if (aOutcome == outcome::refused) {
    auto fullTime =
      duration(static_cast<std::int64_t>(load.average_microseconds / 4));
    MarkFull(
      load, aRequest, aNow + std::clamp(fullTime, kMinFullTime, kMaxFullTime));
    return;
  }
  double failed = aOutcome == outcome::failed ? 1 : 0;
  load.failure_rate += kOutcomeWeight * (failed - load.failure_rate);
  if (aOutcome == outcome::failed) {
    load.failed_at = aNow;
  }
}

void
instance_chooser::RemoveUnused(time_point aNow)
{
  std::erase_if(mLoads, [&](const auto& aEntry) {
    return aEntry.second.outstanding == 0 &&
           aNow - aEntry.second.last_used > kMaxUnusedTime;
  });
}

} // namespace eelgrasstrack
