#ifndef EELGRASSTRACK_DAEMON_PEER_SWITCH_H_
#define EELGRASSTRACK_DAEMON_PEER_SWITCH_H_

#include <array>
#include <map>
#include <set>

#include "fleet/interfaces.h"
#include "peer/codec.h"
#include "peer/link.h"

namespace eelgrasstrack {

/// Number and size of the messages of one kind. Sizes are those of the
/// WebSocket payload.
struct traffic_count
{
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

/// Counts by index of the message kind.
using traffic_counts = std::array<traffic_count, kPeerMessageKinds>;
using link_ptr = std::shared_ptr<peer_link>;

/// Receives events and messages of links, by node.
class peer_switch_observer
{
public:
  virtual ~peer_switch_observer() = default;
  /// A link to the node opened, or an incoming link was found to be from it.
  virtual void OnPeerUp(const node_id& aNode) = 0;
  /// The last link to the node was lost. `aWasOpen` is false if that link never
  /// opened.
  virtual void OnPeerDown(const node_id& aNode, bool aWasOpen) = 0;
  virtual void OnPeerMessage(const node_id& aNode,
                             const link_ptr& aLink,
                             peer_message aMessage) = 0;
  /// A link was lost, together with the messages in transit. Called for every
  /// link, before `OnPeerDown`.
  virtual void OnLinkLost(const link_ptr& aLink, bool aWasOpen) = 0;
};

/// Manages the links to other nodes. A link is opened when the first message is
/// sent and closed by `CloseIdle` when it is no longer used.
class peer_switch final
  : public peer_network
  , public peer_link_observer
{
public:
  peer_switch(loop& aLoop,
              peer_switch_observer& aObserver,
              node_id aSelf,
              peer_transport_options aOptions);

  void Connect(const node_id& aNode) override;
  void Reconnect(const node_id& aNode) override;
  void Send(const node_id& aNode, const peer_message& aMessage) override;
  bool Linked(const node_id& aNode) const override;

  /// Returns a link to the node and opens one if there is none. The link may
  /// still be connecting.
  link_ptr LinkTo(const node_id& aNode);
  /// Sends a message over the link, or queues it until the link opens.
  void SendOn(const link_ptr& aLink, const peer_message& aMessage);

  /// Closes open links that carried no message since `aBefore`.
  void CloseIdle(time_point aBefore);

  /// Number of links of the transport.
  std::size_t LinkCount() const { return mTransport.LinkCount(); }
  const traffic_counts& Traffic() const { return mTraffic; }

  // peer_link_observer
  void OnLinkUp(const link_ptr& aLink) override;
  void OnLinkDown(const link_ptr& aLink) override;
  void OnFrame(const link_ptr& aLink, std::string_view aFrame) override;

private:
  struct link_state
  {
    link_ptr link;
    time_point last_used{};
    bool was_open = false;
    bool hello_sent = false;
  };

  /// Returns the newest open link to the node, else one that is connecting,
  /// else null. The nodes may have opened it because an older one is silent.
  link_ptr FindLink(const node_id& aNode) const;
  link_ptr OpenLink(const node_id& aNode);
  /// Sends a hello over each open link to the node that has not carried one.
  void SendHello(const node_id& aNode, const peer_message& aHello);
  /// Sets the node of an incoming link after its hello was received.
  void AssignNode(const link_ptr& aLink, const node_id& aNode);

  loop& mLoop;
  peer_switch_observer& mObserver;
  node_id mSelf;
  peer_transport mTransport;
  std::map<peer_link*, link_state> mLinks;
  std::multimap<node_id, link_ptr> mByNode;
  traffic_counts mTraffic{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DAEMON_PEER_SWITCH_H_
