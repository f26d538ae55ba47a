#ifndef EELGRASSTRACK_FLEET_INTERFACES_H_
#define EELGRASSTRACK_FLEET_INTERFACES_H_

#include <vector>

#include "peer/messages.h"

namespace eelgrasstrack {

/// Links to other nodes, as the fleet logic sees them. The network reports
/// back through `fleet_node::OnLinkUp`, `OnLinkDown` and `OnMessage`.
class peer_network
{
public:
  virtual ~peer_network() = default;

  /// Opens a link unless there is one.
  virtual void Connect(const node_id& aNode) = 0;

  /// Sends over the link, opening one if needed. May lose the message.
  virtual void Send(const node_id& aNode, const peer_message& aMessage) = 0;

  virtual bool Linked(const node_id& aNode) const = 0;
};

/// What the rest of the process learns from the fleet logic.
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
