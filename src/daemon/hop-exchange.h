#ifndef EELGRASSTRACK_DAEMON_HOP_EXCHANGE_H_
#define EELGRASSTRACK_DAEMON_HOP_EXCHANGE_H_

#include <tuple>

#include "call/call-types.h"
#include "call/last-hop.h"
#include "daemon/peer-switch.h"

namespace eelgrasstrack {

/// Calls over links, in both directions: ids, bodies in parts, deadlines,
/// cancellation, and the end of a link with calls on it.
class hop_exchange final : public hop_transport
{
public:
  hop_exchange(loop& aLoop,
               node_id aSelf,
               last_hop& aLastHop,
               std::size_t aMaxBodyBytes);

  void SetSwitch(peer_switch& aSwitch) { mSwitch = &aSwitch; }

  hop_token Send(const node_id& aNode,
                 hop_call aCall,
                 duration aTimeout,
                 hop_callback aDone) override;
  void Cancel(hop_token aToken) override;

  /// Takes a call, answer, body or cancel message.
  void OnMessage(const link_ptr& aLink, peer_message& aMessage);
  void OnLinkLost(const link_ptr& aLink, bool aWasOpen);

  std::size_t OutgoingCount() const { return mOutgoing.size(); }

private:
  /// A call that this node sent.
  struct outgoing_call
  {
    link_ptr link;
    hop_callback done;
    timer_id timer = 0;
    hop_answer answer;
    bool head_received = false;
    /// Set for a call to the upstream beside this node.
    admission_id local_admission = 0;
  };

  /// A call that another node sent.
  struct incoming_call
  {
    hop_call call;
    admission_id admission = 0;
    time_point arrived_at{};
    bool submitted = false;
  };

  struct incoming_key
  {
    peer_link* link;
    std::uint64_t id;
    bool operator<(const incoming_key& aOther) const
    {
      return std::tie(link, id) < std::tie(aOther.link, aOther.id);
    }
  };

  void SendLocal(hop_token aToken, hop_call aCall);
  void SendBody(const link_ptr& aLink,
                std::uint64_t aId,
                bool aOfAnswer,
                const std::string& aBody);
  void Finish(hop_token aToken, hop_answer aAnswer);
  void FinishWithError(hop_token aToken, error aFailure);
  void Receive(const link_ptr& aLink, call_message& aMessage);
  void Receive(const link_ptr& aLink, answer_message& aMessage);
  void Receive(const link_ptr& aLink, body_message& aMessage);
  void Receive(const link_ptr& aLink, const cancel_message& aMessage);
  void SubmitIfComplete(const link_ptr& aLink, const incoming_key& aKey);
  void SendAnswer(const link_ptr& aLink, std::uint64_t aId, hop_answer aAnswer);

  loop& mLoop;
  node_id mSelf;
  last_hop& mLastHop;
  std::size_t mMaxBodyBytes;
  peer_switch* mSwitch = nullptr;
  hop_token mNextToken = 1;
  std::map<hop_token, outgoing_call> mOutgoing;
  std::map<incoming_key, incoming_call> mIncoming;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DAEMON_HOP_EXCHANGE_H_
