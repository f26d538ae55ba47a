#ifndef EELGRASSTRACK_DAEMON_PEER_SWITCH_H_
#define EELGRASSTRACK_DAEMON_PEER_SWITCH_H_

#include <array>
#include <map>
#include <set>

#include "fleet/interfaces.h"
#include "peer/codec.h"
#include "peer/link.h"

namespace eelgrasstrack {

/// Messages and bytes of one kind, as they stand in WebSocket frames.
struct traffic_count
{
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

using traffic_counts = std::array<traffic_count, kPeerMessageKinds>;
using link_ptr = std::shared_ptr<peer_link>;

/// Receives what happens on links, by node.
class peer_switch_observer
{
public:
  virtual ~peer_switch_observer() = default;
  virtual void OnPeerUp(const node_id& aNode) = 0;
  virtual void OnPeerDown(const node_id& aNode, bool aWasOpen) = 0;
  virtual void OnPeerMessage(const node_id& aNode,
                             const link_ptr& aLink,
                             peer_message aMessage) = 0;
  /// Any link went down, with what was under way on it.
  virtual void OnLinkLost(const link_ptr& aLink, bool aWasOpen) = 0;
};

/// Links by node: one is opened when something is to be sent, and closed when
/// nothing was for a while.
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
  void Send(const node_id& aNode, const peer_message& aMessage) override;
  bool Linked(const node_id& aNode) const override;

  /// A link to the node, opened if needed; it may not be open yet.
  link_ptr LinkTo(const node_id& aNode);
  void SendOn(const link_ptr& aLink, const peer_message& aMessage);

  /// Closes links that carried nothing since `aBefore`.
  void CloseIdle(time_point aBefore);

  std::size_t LinkCount() const { return mTransport.OpenLinks(); }
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

  link_ptr FindLink(const node_id& aNode) const;
  void SendHello(const node_id& aNode, const peer_message& aHello);
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
