#include "daemon/claim-exchange.h"

#include "membership/overlay.h"

namespace eelgrasstrack {

namespace {

constexpr std::size_t kWitnessCount = 2;
/// Time after which a claimed key expires at a witness.
constexpr duration kClaimWindow = std::chrono::minutes(5);
/// Maximum number of keys that a witness records.
constexpr std::size_t kMaxKeys = 200000;
/// Time after which a claim is decided by the answers received so far.
constexpr duration kAnswerTimeout = std::chrono::milliseconds(200);

} // namespace

claim_exchange::claim_exchange(loop& aLoop, node_id aSelf)
  : mLoop(aLoop)
  , mSelf(std::move(aSelf))
  , mClaimedKeys({ kClaimWindow, kMaxKeys })
{
}

bool
claim_exchange::ClaimAsWitness(const std::string& aKey, std::uint64_t aSession)
{
  request_key_table::claim_status status =
    mClaimedKeys.Claim(aKey, aSession, mLoop.Now());
  return status == request_key_table::claim_status::claimed ||
         status == request_key_table::claim_status::already_claimed;
}

void
claim_exchange::Initialize(peer_switch& aSwitch, const member_table& aMembers)
{
  mSwitch = &aSwitch;
  mMembers = &aMembers;
}

std::vector<node_id>
claim_exchange::WitnessesOf(const std::string& aKey) const
{
  return RendezvousMembers(*mMembers, "claim/" + aKey, kWitnessCount);
}

void
claim_exchange::Claim(const std::string& aKey,
                      std::uint64_t aSession,
                      std::function<void(claim_result)> aDone)
{
  std::uint64_t id = mNextId++;
  std::vector<node_id> witnesses = WitnessesOf(aKey);
  pending_claim& pending = mPending[id];
  pending.done = std::move(aDone);
  pending.unanswered = witnesses.size();
  pending.timer = mLoop.RunAfter(kAnswerTimeout, [this, id] {
    auto found = mPending.find(id);
    if (found != mPending.end()) {
      Finish(id,
             found->second.granted > 0 ? claim_result::granted
                                       : claim_result::unanswered);
    }
  });
  for (const node_id& witness : witnesses) {
    SendClaim(witness, claim_message{ id, aKey, aSession, false });
  }
}

void
claim_exchange::SendClaim(const node_id& aWitness, const claim_message& aClaim)
{
  if (aWitness != mSelf) {
    mSwitch->Send(aWitness, aClaim);
    return;
  }
  bool granted = ClaimAsWitness(aClaim.request_key, aClaim.session_id);
  std::uint64_t id = aClaim.id;
  mLoop.RunAfter(duration(0), [this, id, granted] { OnAnswer(id, granted); });
}

void
claim_exchange::Release(const std::string& aKey, std::uint64_t aSession)
{
  for (const node_id& witness : WitnessesOf(aKey)) {
    if (witness == mSelf) {
      mClaimedKeys.Release(aKey, aSession);
    } else {
      mSwitch->Send(witness, claim_message{ 0, aKey, aSession, true });
    }
  }
}

void
claim_exchange::OnMessage(const link_ptr& aLink, const peer_message& aMessage)
{
  if (const auto* answer = std::get_if<claim_answer_message>(&aMessage)) {
    OnAnswer(answer->id, answer->granted);
    return;
  }
  const auto* claim = std::get_if<claim_message>(&aMessage);
  if (claim == nullptr) {
    return;
  }
  if (claim->release) {
    mClaimedKeys.Release(claim->request_key, claim->session_id);
    return;
  }
  bool granted = ClaimAsWitness(claim->request_key, claim->session_id);
  mSwitch->SendOn(aLink, claim_answer_message{ claim->id, granted });
}

void
claim_exchange::OnAnswer(std::uint64_t aId, bool aGranted)
{
  auto found = mPending.find(aId);
  if (found == mPending.end()) {
    return;
  }
  if (!aGranted) {
    Finish(aId, claim_result::duplicate);
    return;
  }
  ++found->second.granted;
  if (--found->second.unanswered == 0) {
    Finish(aId, claim_result::granted);
  }
}

void
claim_exchange::Finish(std::uint64_t aId, claim_result aResult)
{
  auto found = mPending.find(aId);
  pending_claim pending = std::move(found->second);
  mPending.erase(found);
  mLoop.Cancel(pending.timer);
  pending.done(aResult);
}

} // namespace eelgrasstrack
