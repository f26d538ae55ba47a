#include "quota/quota-client.h"

#include <algorithm>
#include <limits>

#include "base/hash.h"
#include "base/log.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

constexpr duration kAskTimeout = std::chrono::milliseconds(200);
/// Minimum time between two log lines on refused requests of one organisation.
constexpr duration kLogInterval = std::chrono::seconds(1);
/// Parts of the tolerance for requests admitted while an owner does not answer.
constexpr double kSlackPart = 0.5;
constexpr double kOverPart = 0.25;
constexpr double kMicrosecondsPerSecond = 1e6;

/// Returns the owner's answers, or why there are none.
result<std::vector<permit_answer>>
AnswersIn(const result<buffered_response>& aResponse)
{
  if (!aResponse) {
    return tl::unexpected<error>(aResponse.error());
  }
  if (aResponse->status != status::kOk) {
    return Fail(error_kind::conflict,
                "status " + std::to_string(aResponse->status));
  }
  return DecodePermitAnswers(aResponse->body);
}

std::optional<permit_grant>
FindGrant(const result<std::vector<permit_answer>>& aAnswers,
          const std::string& aOrganisation)
{
  if (!aAnswers) {
    return std::nullopt;
  }
  auto found = std::find_if(
    aAnswers->begin(), aAnswers->end(), [&](const permit_answer& aAnswer) {
      return aAnswer.organisation == aOrganisation;
    });
  return found == aAnswers->end() ? std::nullopt : std::optional(found->grant);
}

} // namespace

quota_client::quota_client(loop& aLoop,
                           control_client& aClient,
                           const host_directory& aDirectory,
                           quota_owners& aOwners,
                           quota_keeper& aKeeper)
  : mLoop(aLoop)
  , mClient(aClient)
  , mDirectory(aDirectory)
  , mOwners(aOwners)
  , mKeeper(aKeeper)
{
}

void
quota_client::SetOrganisations(const organisation_table* aOrganisations)
{
  std::erase_if(mLeased, [aOrganisations](const auto& aEntry) {
    const organisation* found =
      aOrganisations ? aOrganisations->FindByName(aEntry.first) : nullptr;
    bool limited = found != nullptr && found->HasLimit();
    return !limited && aEntry.second.waiters.empty();
  });
  for (auto& [name, leased] : mLeased) {
    const organisation* found =
      aOrganisations ? aOrganisations->FindByName(name) : nullptr;
    if (found != nullptr && found->HasLimit()) {
      LeaseOf(*found);
    }
  }
}

quota_client::leased_organisation&
quota_client::LeaseOf(const organisation& aOrganisation)
{
  quota_terms terms = TermsOf(aOrganisation, mBounds);
  auto [entry, added] = mLeased.try_emplace(aOrganisation.name, terms);
  leased_organisation& leased = entry->second;
  if (!(leased.terms == terms)) {
    leased.terms = terms;
    leased.lease.SetTerms(terms);
  }
  return leased;
}

quota_decision
quota_client::Admit(const organisation& aOrganisation,
                    std::shared_ptr<quota_waiter> aWaiter)
{
  const std::string& name = aOrganisation.name;
  leased_organisation& leased = LeaseOf(aOrganisation);
  time_point now = mLoop.Now();
  leased.lease.RecordDemand(now);
  if (leased.waiters.empty()) {
    if (std::optional<quota_permit> permit = leased.lease.TryUse(now)) {
      Ask(name, leased, 0);
      return { quota_outcome::admitted, *permit };
    }
  }
  Ask(name, leased, leased.waiters.size() + 1);
  if (leased.lease.IsAsking()) {
    leased.waiters.push_back(std::move(aWaiter));
    return { quota_outcome::waiting };
  }
  // This node is the owner, or no ask is made for now.
  if (std::optional<quota_permit> permit = leased.lease.TryUse(now)) {
    return { quota_outcome::admitted, *permit };
  }
  return DecideWithoutPermit(name, leased);
}

void
quota_client::UpdateOwner(const std::string& aName,
                          leased_organisation& aLeased)
{
  const std::string& owner = mOwners.OwnerOf(aName);
  if (owner != aLeased.owner) {
    aLeased.owner = owner;
    aLeased.lease.HandleNewOwner();
  }
}

void
quota_client::Ask(const std::string& aName,
                  leased_organisation& aLeased,
                  std::size_t aWaiting)
{
  if (aLeased.lease.IsAsking()) {
    return;
  }
  UpdateOwner(aName, aLeased);
  time_point now = mLoop.Now();
  unsigned count = aLeased.lease.CountToAsk(aWaiting, now);
  if (count == 0) {
    return;
  }
  mCounts.asked += count;
  aLeased.lease.BeginAsk(count, now);
  if (aLeased.owner.empty()) {
    HandleAnswer(aLeased, count, std::nullopt, false);
    return;
  }
  if (aLeased.owner == mDirectory.Self()) {
    HandleAnswer(
      aLeased, count, mKeeper.Take(aName, aLeased.owner, count), false);
    return;
  }
  ScheduleSending();
  mDue[aLeased.owner].push_back({ aName, count });
}

void
quota_client::ScheduleSending()
{
  if (mDue.empty()) {
    mLoop.RunAfter(duration(0), [this] { SendAsks(); });
  }
}

void
quota_client::SendAsks()
{
  std::map<std::string, std::vector<permit_ask>> due = std::move(mDue);
  mDue.clear();
  for (auto& [owner, asks] : due) {
    SendTo(owner, std::move(asks));
  }
}

void
quota_client::SendTo(const std::string& aOwner, std::vector<permit_ask> aAsks)
{
  const known_host* host = mDirectory.Find(aOwner);
  if (host == nullptr) {
    HandleResponse(
      aOwner, aAsks, Fail(error_kind::not_found, "host is not known"));
    return;
  }
  ++mCounts.messages;
  buffered_request request;
  request.method = "POST";
  request.target = kPermitsTarget;
  request.body = EncodePermitRequest({ mDirectory.Self(), aAsks });
  mClient.Call(host->record.control,
               std::move(request),
               kAskTimeout,
               [this, aOwner, asks = std::move(aAsks)](
                 const result<buffered_response>& aResponse) {
                 HandleResponse(aOwner, asks, aResponse);
               });
}

void
quota_client::HandleResponse(const std::string& aOwner,
                             const std::vector<permit_ask>& aAsks,
                             const result<buffered_response>& aResponse)
{
  result<std::vector<permit_answer>> answers = AnswersIn(aResponse);
  if (!answers) {
    LogEvent(log_level::debug,
             "quota_ask_failed",
             { { "host", aOwner }, { "reason", answers.error().message } });
  }
  if (!aResponse && mProbe) {
    mProbe(aOwner);
  }
  bool timedOut =
    !aResponse && aResponse.error().kind == error_kind::deadline_exceeded;
  for (const permit_ask& ask : aAsks) {
    auto leased = mLeased.find(ask.organisation);
    if (leased == mLeased.end() || !leased->second.lease.IsAsking()) {
      continue; // its limit has been lifted meanwhile
    }
    HandleAnswer(leased->second,
                 ask.count,
                 FindGrant(answers, ask.organisation),
                 timedOut);
    SettleWaiters(ask.organisation);
  }
}

void
quota_client::HandleAnswer(leased_organisation& aLeased,
                           unsigned aAsked,
                           const std::optional<permit_grant>& aGrant,
                           bool aTimedOut)
{
  if (!aGrant) {
    ++mCounts.owner_timeouts;
    aLeased.lease.HandleSilentOwner(aTimedOut, mLoop.Now());
    return;
  }
  unsigned granted = std::min(aGrant->count, aAsked);
  mCounts.granted += granted;
  mCounts.refused += aAsked - granted;
  aLeased.lease.HandleGrant(granted, aGrant->wait, mLoop.Now());
}

void
quota_client::SettleWaiters(const std::string& aName)
{
  leased_organisation& leased = mLeased.at(aName);
  using settled = std::pair<std::shared_ptr<quota_waiter>, quota_decision>;
  std::vector<settled> decisions;
  while (!leased.waiters.empty()) {
    quota_decision decision;
    if (std::optional<quota_permit> permit = leased.lease.TryUse(mLoop.Now())) {
      decision = { quota_outcome::admitted, *permit };
    } else {
      bool held = leased.lease.IsHeld(mLoop.Now());
      Ask(aName, leased, leased.waiters.size());
      if (leased.lease.IsAsking()) {
        break;
      }
      if (!held) {
        continue; // this node is the owner now, and has answered
      }
      decision = DecideWithoutPermit(aName, leased);
    }
    decisions.emplace_back(std::move(leased.waiters.front()), decision);
    leased.waiters.pop_front();
  }
  // The waiters may call this object again.
  for (const auto& [waiter, decision] : decisions) {
    if (decision.outcome == quota_outcome::admitted) {
      waiter->OnPermit(decision.permit);
    } else {
      waiter->OnQuotaRefused(decision.retry_after);
    }
  }
}

quota_decision
quota_client::DecideWithoutPermit(const std::string& aName,
                                  leased_organisation& aLeased)
{
  time_point now = mLoop.Now();
  if (aLeased.lease.IsOwnerSilent() &&
      MayAdmitWithoutOwner(aName, aLeased.terms) &&
      aLeased.lease.TryAllowance(mBounds.window, now)) {
    ++mCounts.admitted_without_owner;
    return { quota_outcome::admitted };
  }
  return { quota_outcome::refused, {}, aLeased.lease.RetryAfter(now) };
}

bool
quota_client::MayAdmitWithoutOwner(const std::string& aName,
                                   const quota_terms& aTerms)
{
  double window =
    static_cast<double>(mBounds.window.count()) / kMicrosecondsPerSecond;
  double allNodes = kSlackPart * mBounds.slack + kOverPart * mBounds.over *
                                                   aTerms.permits_per_second *
                                                   window;
  auto nodes = static_cast<double>(
    std::max<std::size_t>(mOwners.KnownCount(mLoop.Now()), 1));
  constexpr auto kMaxWeight =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  double place =
    static_cast<double>(RendezvousWeight(aName, mDirectory.Self())) /
    kMaxWeight;
  return place < allNodes / nodes;
}

void
quota_client::Cancel(const organisation& aOrganisation,
                     const quota_waiter& aWaiter)
{
  auto leased = mLeased.find(aOrganisation.name);
  if (leased != mLeased.end()) {
    std::erase_if(leased->second.waiters, [&aWaiter](const auto& aEntry) {
      return aEntry.get() == &aWaiter;
    });
  }
}

void
quota_client::Return(const organisation& aOrganisation,
                     const quota_permit& aPermit)
{
  auto leased = mLeased.find(aOrganisation.name);
  if (leased != mLeased.end()) {
    leased->second.lease.Return(aPermit, mLoop.Now());
  }
}

std::optional<unsigned>
quota_client::RecordRefusal(const organisation& aOrganisation)
{
  leased_organisation& leased = LeaseOf(aOrganisation);
  ++leased.unlogged_refusals;
  time_point now = mLoop.Now();
  if (leased.logged_at && now - *leased.logged_at < kLogInterval) {
    return std::nullopt;
  }
  leased.logged_at = now;
  return std::exchange(leased.unlogged_refusals, 0);
}

} // namespace eelgrasstrack
