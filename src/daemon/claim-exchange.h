#ifndef EELGRASSTRACK_DAEMON_CLAIM_EXCHANGE_H_
#define EELGRASSTRACK_DAEMON_CLAIM_EXCHANGE_H_

#include "call/claims.h"
#include "daemon/peer-switch.h"
#include "routing/request-key-table.h"

namespace eelgrasstrack {

/// Claims over links: asks the two witnesses of a key, by rendezvous hashing
/// over the living nodes, and answers as a witness. One witness that knows the
/// key is enough to find a duplicate, so a repeat is found across any single
/// change of membership.
class claim_exchange final : public claim_service
{
public:
  claim_exchange(loop& aLoop, node_id aSelf);

  void Initialize(peer_switch& aSwitch, const member_table& aMembers);

  void Claim(const std::string& aKey,
             std::uint64_t aSession,
             std::function<void(claim_result)> aDone) override;
  void Release(const std::string& aKey, std::uint64_t aSession) override;

  /// Takes a claim or the answer to one.
  void OnMessage(const link_ptr& aLink, const peer_message& aMessage);

private:
  /// Whether the session may use the key; a full memory grants nothing.
  bool ClaimAsWitness(const std::string& aKey, std::uint64_t aSession);
  struct pending_claim
  {
    std::function<void(claim_result)> done;
    std::size_t unanswered = 0;
    std::size_t granted = 0;
    timer_id timer = 0;
  };

  std::vector<node_id> WitnessesOf(const std::string& aKey) const;
  void SendClaim(const node_id& aWitness, const claim_message& aClaim);
  void OnAnswer(std::uint64_t aId, bool aGranted);
  void Finish(std::uint64_t aId, claim_result aVerdict);

  loop& mLoop;
  node_id mSelf;
  peer_switch* mSwitch = nullptr;
  const member_table* mMembers = nullptr;
  request_key_table mClaimedKeys;
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, pending_claim> mPending;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DAEMON_CLAIM_EXCHANGE_H_
