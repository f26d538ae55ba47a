#ifndef EELGRASSTRACK_DAEMON_CLAIM_EXCHANGE_H_
#define EELGRASSTRACK_DAEMON_CLAIM_EXCHANGE_H_

#include "call/claims.h"
#include "daemon/peer-switch.h"
#include "routing/request-key-table.h"

namespace eelgrasstrack {

/// Claims request keys over links. Asks the two witnesses of a key, which
/// rendezvous hashing selects among the alive nodes, and answers claims of
/// other nodes as a witness. A claim fails if one witness refuses it, so a
/// repeated call is detected across any single change of membership.
class claim_exchange final : public claim_service
{
public:
  claim_exchange(loop& aLoop, node_id aSelf);

  /// Must be called before any other function.
  void Initialize(peer_switch& aSwitch, const member_table& aMembers);

  void Claim(const std::string& aKey,
             std::uint64_t aSession,
             std::function<void(claim_result)> aDone) override;
  void Release(const std::string& aKey, std::uint64_t aSession) override;

  /// Handles a claim, a release or the answer to a claim.
  void OnMessage(const link_ptr& aLink, const peer_message& aMessage);

private:
  /// Claims a key as a witness. Returns false if another session holds the key
  /// or if the table is full.
  bool ClaimAsWitness(const std::string& aKey, std::uint64_t aSession);
  /// A claim of this node that has no result yet.
  struct pending_claim
  {
    std::function<void(claim_result)> done;
    /// Number of witnesses that have not answered.
    std::size_t unanswered = 0;
    /// Number of witnesses that granted the claim.
    std::size_t granted = 0;
    timer_id timer = 0;
  };

  std::vector<node_id> WitnessesOf(const std::string& aKey) const;
  void SendClaim(const node_id& aWitness, const claim_message& aClaim);
  void OnAnswer(std::uint64_t aId, bool aGranted);
  void Finish(std::uint64_t aId, claim_result aResult);

  loop& mLoop;
  node_id mSelf;
  peer_switch* mSwitch = nullptr;
  const member_table* mMembers = nullptr;
  /// Keys that this node recorded as a witness.
  request_key_table mClaimedKeys;
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, pending_claim> mPending;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DAEMON_CLAIM_EXCHANGE_H_
