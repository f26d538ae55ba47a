#ifndef EELGRASSTRACK_FLEET_INTERFACES_H_
#define EELGRASSTRACK_FLEET_INTERFACES_H_

#include <vector>

#include "peer/messages.h"

namespace eelgrasstrack {

/// Links to other nodes. The network reports events through
/// `fleet_node::OnLinkUp`, `OnLinkDown` and `OnMessage`.
class peer_network
{
public:
  virtual ~peer_network() = default;

  /// Opens a link unless one is open or being opened.
  virtual void Connect(const node_id& aNode) = 0;

  /// Opens a new link, which replaces the open one for further messages, unless
  /// a link is being opened. The open one may have fallen silent; it stays for
  /// answers that are expected on it.
  virtual void Reconnect(const node_id& aNode) = 0;

  /// Sends a message over the link and opens a link if there is none. Messages
  /// may be lost.
  virtual void Send(const node_id& aNode, const peer_message& aMessage) = 0;

  /// Whether a link to the node is open.
  virtual bool Linked(const node_id& aNode) const = 0;
};

/// Receives changes of the fleet state from a `fleet_node`.
class fleet_observer
{
public:
  virtual ~fleet_observer() = default;
  virtual void OnConfig(const snapshot_ptr& aSnapshot) = 0;
  virtual void OnRollouts() = 0;
  virtual void OnMembers() = 0;
  virtual void OnEvidence(const node_id& aFrom,
                          const evidence_report& aReport) = 0;
  virtual void OnEvidenceAck(const node_id& aFrom,
                             const evidence_ack_message& aAck) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_INTERFACES_H_
