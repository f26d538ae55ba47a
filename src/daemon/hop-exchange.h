#ifndef EELGRASSTRACK_DAEMON_HOP_EXCHANGE_H_
#define EELGRASSTRACK_DAEMON_HOP_EXCHANGE_H_

#include <tuple>

#include "call/call-types.h"
#include "call/last-hop.h"
#include "daemon/peer-switch.h"

namespace eelgrasstrack {

/// Sends calls to last hops and receives calls from other nodes over links.
/// Assigns call ids, transfers bodies in parts, enforces deadlines, forwards
/// cancellations and ends the calls on a lost link.
class hop_exchange final : public hop_transport
{
public:
  hop_exchange(loop& aLoop,
               node_id aSelf,
               last_hop& aLastHop,
               std::size_t aMaxBodyBytes);

  /// Must be called before any other function.
  void SetSwitch(peer_switch& aSwitch) { mSwitch = &aSwitch; }

  hop_token Send(const node_id& aNode,
                 hop_call aCall,
                 duration aTimeout,
                 hop_callback aDone) override;
  void Cancel(hop_token aToken) override;

  /// Handles a call, answer, body or cancel message.
  void OnMessage(const link_ptr& aLink, peer_message& aMessage);
  /// Fails the calls that were sent over the link and cancels those received
  /// over it. If the link never opened, the calls sent are known not to have
  /// run.
  void OnLinkLost(const link_ptr& aLink, bool aWasOpen);

  /// Number of sent calls without a complete answer.
  std::size_t OutgoingCount() const { return mOutgoing.size(); }

private:
  /// A call that this node sent.
  struct outgoing_call
  {
    /// Null for a call to the upstream of this node.
    link_ptr link;
    hop_callback done;
    timer_id timer = 0;
    hop_answer answer;
    /// Whether the head of the answer has arrived.
    bool head_received = false;
    /// Admission at the last hop of this node; 0 unless the call was sent to
    /// the upstream of this node.
    admission_id local_admission = 0;
  };

  /// A call received from another node.
  struct incoming_call
  {
    hop_call call;
    /// Zero until the last hop has admitted the call.
    admission_id admission = 0;
    time_point arrived_at{};
    /// Whether the complete call was passed to the last hop.
    bool submitted = false;
  };

  /// Identifies an incoming call. Ids are unique per link only.
  struct incoming_key
  {
    peer_link* link;
    std::uint64_t id;
    bool operator<(const incoming_key& aOther) const
    {
      return std::tie(link, id) < std::tie(aOther.link, aOther.id);
    }
  };

  /// Passes a call to the last hop of this node.
  void SendLocal(hop_token aToken, hop_call aCall);
  void SendBody(const link_ptr& aLink,
                std::uint64_t aId,
                bool aIsAnswer,
                const std::string& aBody);
  void Finish(hop_token aToken, hop_answer aAnswer);
  void FinishWithError(hop_token aToken, error aFailure);
  void Receive(const link_ptr& aLink, call_message& aMessage);
  void Receive(const link_ptr& aLink, answer_message& aMessage);
  void Receive(const link_ptr& aLink, body_message& aMessage);
  void Receive(const link_ptr& aLink, const cancel_message& aMessage);
  /// Passes an incoming call to the last hop once its body is complete. Deducts
  /// the time since the arrival from its timeout.
  void SubmitIfComplete(const link_ptr& aLink, const incoming_key& aKey);
  /// Answers an incoming call, unless its link is closed.
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
