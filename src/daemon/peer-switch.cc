#include "daemon/peer-switch.h"

#include <algorithm>

#include "base/log.h"

namespace eelgrasstrack {

peer_switch::peer_switch(loop& aLoop,
                         peer_switch_observer& aObserver,
                         node_id aSelf,
                         peer_transport_options aOptions)
  : mLoop(aLoop)
  , mObserver(aObserver)
  , mSelf(std::move(aSelf))
  , mTransport(aLoop, *this, std::move(aOptions))
{
}

link_ptr
peer_switch::FindLink(const node_id& aNode) const
{
  link_ptr open;
  link_ptr connecting;
  auto [begin, end] = mByNode.equal_range(aNode);
  for (auto entry = begin; entry != end; ++entry) {
    (entry->second->IsOpen() ? open : connecting) = entry->second;
  }
  return open != nullptr ? open : connecting;
}

bool
peer_switch::Linked(const node_id& aNode) const
{
  link_ptr link = FindLink(aNode);
  return link != nullptr && link->IsOpen();
}

link_ptr
peer_switch::LinkTo(const node_id& aNode)
{
  link_ptr link = FindLink(aNode);
  return link != nullptr ? link : OpenLink(aNode);
}

link_ptr
peer_switch::OpenLink(const node_id& aNode)
{
  link_ptr link = mTransport.Connect(ParseEndpoint(aNode));
  link->node = aNode;
  mLinks[link.get()] = link_state{ link, mLoop.Now(), false };
  mByNode.emplace(aNode, link);
  return link;
}

void
peer_switch::Connect(const node_id& aNode)
{
  if (aNode != mSelf) {
    LinkTo(aNode);
  }
}

void
peer_switch::Reconnect(const node_id& aNode)
{
  if (aNode == mSelf) {
    return;
  }
  auto [begin, end] = mByNode.equal_range(aNode);
  bool connecting = std::any_of(
    begin, end, [](const auto& aEntry) { return !aEntry.second->IsOpen(); });
  if (!connecting) {
    OpenLink(aNode);
  }
}

void
peer_switch::Send(const node_id& aNode, const peer_message& aMessage)
{
  if (std::holds_alternative<hello_message>(aMessage)) {
    SendHello(aNode, aMessage);
  } else if (aNode != mSelf) {
    SendOn(LinkTo(aNode), aMessage);
  }
}

void
peer_switch::SendHello(const node_id& aNode, const peer_message& aHello)
{
  // Both nodes may have opened a link at the same time; each link needs its own
  // hello.
  auto [begin, end] = mByNode.equal_range(aNode);
  for (auto entry = begin; entry != end; ++entry) {
    link_state& state = mLinks[entry->second.get()];
    if (entry->second->IsOpen() && !state.hello_sent) {
      state.hello_sent = true;
      SendOn(entry->second, aHello);
    }
  }
}

void
peer_switch::SendOn(const link_ptr& aLink, const peer_message& aMessage)
{
  std::string frame = EncodeMessage(aMessage);
  traffic_count& count = mTraffic[aMessage.index()];
  ++count.sent_messages;
  count.sent_bytes += frame.size();
  auto state = mLinks.find(aLink.get());
  if (state != mLinks.end()) {
    state->second.last_used = mLoop.Now();
  }
  if (std::holds_alternative<hello_message>(aMessage)) {
    // Calls may already be queued for the link; the hello must precede them.
    aLink->SendFirst(std::move(frame));
  } else if (std::holds_alternative<body_message>(aMessage)) {
    aLink->SendBulk(std::move(frame));
  } else {
    aLink->SendControl(std::move(frame));
  }
}

void
peer_switch::CloseIdle(time_point aBefore)
{
  for (const auto& [key, state] : mLinks) {
    if (state.link->IsOpen() && state.last_used < aBefore) {
      state.link->Close();
    }
  }
}

void
peer_switch::OnLinkUp(const link_ptr& aLink)
{
  link_state& state = mLinks[aLink.get()];
  state.link = aLink;
  state.last_used = mLoop.Now();
  state.was_open = true;
  if (!aLink->node.empty()) {
    mObserver.OnPeerUp(aLink->node);
  }
}

void
peer_switch::OnLinkDown(const link_ptr& aLink)
{
  auto found = mLinks.find(aLink.get());
  if (found == mLinks.end()) {
    return;
  }
  bool wasOpen = found->second.was_open;
  LogEvent(log_level::debug,
           "link_down",
           { { "node", aLink->node },
             { "outgoing", aLink->IsOutgoing() ? "true" : "false" },
             { "was_open", wasOpen ? "true" : "false" } });
  mLinks.erase(found);
  node_id node = aLink->node;
  auto [begin, end] = mByNode.equal_range(node);
  for (auto entry = begin; entry != end; ++entry) {
    if (entry->second == aLink) {
      mByNode.erase(entry);
      break;
    }
  }
  mObserver.OnLinkLost(aLink, wasOpen);
  if (!node.empty() && FindLink(node) == nullptr) {
    mObserver.OnPeerDown(node, wasOpen);
  }
}

void
peer_switch::AssignNode(const link_ptr& aLink, const node_id& aNode)
{
  aLink->node = aNode;
  mByNode.emplace(aNode, aLink);
  mObserver.OnPeerUp(aNode);
}

void
peer_switch::OnFrame(const link_ptr& aLink, std::string_view aFrame)
{
  result<peer_message> message = DecodeMessage(aFrame);
  if (!message) {
    LogEvent(
      log_level::warning,
      "peer_message_refused",
      { { "node", aLink->node }, { "reason", message.error().message } });
    aLink->Close();
    return;
  }
  traffic_count& count = mTraffic[message->index()];
  ++count.received_messages;
  count.received_bytes += aFrame.size();
  mLinks[aLink.get()].last_used = mLoop.Now();
  const auto* hello = std::get_if<hello_message>(&*message);
  if (aLink->node.empty()) {
    if (hello == nullptr || ParseEndpoint(hello->self.node).port == 0) {
      LogEvent(log_level::warning, "peer_without_hello");
      aLink->Close();
      return;
    }
    AssignNode(aLink, hello->self.node);
  }
  node_id node = aLink->node;
  mObserver.OnPeerMessage(node, aLink, std::move(*message));
}

} // namespace eelgrasstrack
