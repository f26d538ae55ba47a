#include "proxy/ingress.h"

#include "base/invariant.h"
#include "proxy/proxied-request.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// Seconds after which a client refused for memory should come again: bodies
/// that stall are ended within this time.
constexpr std::string_view kRetryAfterMemory = "1";

} // namespace

ingress::ingress(ingress_dependencies aDependencies)
  : mDependencies(aDependencies)
{
}

result<void>
ingress::Listen(const endpoint& aAddress)
{
  return mSessions.Listen(mDependencies.transport, aAddress, *this);
}

void
ingress::SetCallerService(std::string aService)
{
  mCallerService = std::move(aService);
}

void
ingress::SetTable(traffic_table_ptr aTable)
{
  bool increases = !mTable || aTable->Version() > mTable->Version();
  CheckInvariant(invariant::version_only_rises, increases);
  if (increases) {
    mTable = std::move(aTable);
  }
}

void
ingress::SetClosing(bool aClosing)
{
  mClosing = aClosing;
}

void
ingress::SetClientLimits(const body_budget& aBodies,
                         const body_budget& aAnswers,
                         const session_limits& aLimits)
{
  mSessions.SetBudget(aBodies);
  mSessions.SetAnswerBudget(aAnswers);
  mSessions.SetLimits(aLimits);
}

header_fields
ingress::RefusalFields(int aStatus) const
{
  if (aStatus != status::kUnavailable) {
    return {};
  }
  return { { "Retry-After", std::string(kRetryAfterMemory) } };
}

void
ingress::Sweep(time_point aNow)
{
  mSessions.Sweep(aNow);
  mRequestLimits.RemoveUnconfirmed(aNow);
}

traffic_limits
ingress::Limits() const
{
  return mTable ? mTable->Limits() : traffic_limits{};
}

std::shared_ptr<request_handler>
ingress::Begin(received_request aRequest,
               const std::shared_ptr<server_exchange>& aExchange)
{
  auto request =
    std::make_shared<proxied_request>(*this, std::move(aRequest), aExchange);
  request->Start();
  return request;
}

const std::string&
ingress::SelectTarget(const traffic_route& aRoute)
{
  if (aRoute.targets.size() == 1) {
    return aRoute.targets.front().service;
  }
  // Smooth weighted round robin: each target gets its exact share.
  std::map<std::string, double>& currentWeights = mCurrentWeights[aRoute.name];
  double total = 0;
  const weighted_service* best = nullptr;
  for (const weighted_service& target : aRoute.targets) {
    double& weight = currentWeights[target.service];
    weight += target.weight;
    total += target.weight;
    if (best == nullptr || weight > currentWeights[best->service]) {
      best = &target;
    }
  }
  currentWeights[best->service] -= total;
  return best->service;
}

std::vector<instance_candidate>
ingress::Candidates(const std::string& aService,
                    const canary_decision& aCanary) const
{
  std::vector<instance_candidate> candidates;
  const canary_rollout* rollout = mDependencies.versions.CanaryOf(aService);
  time_point now = mDependencies.transport.Loop().Now();
  for (const known_host* host :
       mDependencies.directory.ServingHosts(aService)) {
    const instance_record& instance = host->record.instance;
    if (mDependencies.evacuations.Contains(host->record.domain)) {
      continue;
    }
    bool wanted =
      aCanary.uses_canary
        ? rollout != nullptr && instance.version == rollout->target_version
        : mDependencies.versions.ServesOrdinaryRequests(aService,
                                                        instance.version);
    if (!wanted) {
      continue;
    }
    instance_candidate candidate;
    candidate.host = host->record.name;
    candidate.instance = instance.id;
    candidate.domain = host->record.domain;
    candidate.slots = instance.slots;
    candidate.unreachable = host->unreachable;
    candidate.warming_up = now - host->updated_at < instance.warmup_left;
    candidate.started_unix_ms = instance.started_unix_ms;
    candidates.push_back(std::move(candidate));
  }
  if (aCanary.instance && candidates.size() > 1) {
    // Hosts are sorted by name, so every node picks the same instance.
    return { candidates[*aCanary.instance % candidates.size()] };
  }
  return candidates;
}

} // namespace eelgrasstrack
