#ifndef EELGRASSTRACK_PEER_LINK_H_
#define EELGRASSTRACK_PEER_LINK_H_

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "http/loop.h"
#include "http/message.h"

struct lws;
struct lws_vhost;

namespace eelgrasstrack {

class peer_transport;

/// One WebSocket connection (RFC 6455) between two nodes. Each frame carries
/// one message. Frames arrive in the order in which they are written.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
  peer_link(peer_transport& aTransport, bool aOutgoing);

  /// Queues a control frame. Control frames are written before bulk frames.
  void SendControl(std::string aFrame);
  /// Queues a frame ahead of all others, for the first message of a link.
  void SendFirst(std::string aFrame);
  /// Queues a bulk frame.
  void SendBulk(std::string aFrame);

  /// Closes the link. Queued frames are not sent.
  void Close();

  bool IsOpen() const { return mOpen; }
  bool IsOutgoing() const { return mOutgoing; }
  /// Total size of the frames that are not yet written.
  std::size_t QueuedBytes() const { return mQueuedBytes; }

  /// Name of the node at the other end, once known.
  std::string node;

private:
  friend class peer_transport;

  void Enqueue(std::deque<std::string>& aQueue, std::string aFrame);
  void RequestWrite();

  peer_transport& mTransport;
  lws* mConnection = nullptr;
  std::deque<std::string> mControlQueue;
  std::deque<std::string> mBulkQueue;
  std::string mReceived;
  std::size_t mQueuedBytes = 0;
  bool mOutgoing;
  bool mOpen = false;
  bool mClosing = false;
};

/// Receives the events of links.
class peer_link_observer
{
public:
  virtual ~peer_link_observer() = default;
  virtual void OnLinkUp(const std::shared_ptr<peer_link>& aLink) = 0;
  /// Also called for an outgoing link that could not be opened.
  virtual void OnLinkDown(const std::shared_ptr<peer_link>& aLink) = 0;
  virtual void OnFrame(const std::shared_ptr<peer_link>& aLink,
                       std::string_view aFrame) = 0;
};

struct peer_transport_options
{
  endpoint listen;
  /// Shared secret; both ends of a link must have the same one.
  std::string secret;
  /// Maximum size of a received frame.
  std::size_t max_frame_bytes = std::size_t{ 2 } << 20U;
};

/// Accepts and opens links between nodes.
class peer_transport
{
public:
  /// Throws `std::runtime_error` if it cannot listen on the address.
  peer_transport(loop& aLoop,
                 peer_link_observer& aObserver,
                 peer_transport_options aOptions);
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /// Starts to open a link. The observer receives the outcome.
  std::shared_ptr<peer_link> Connect(const endpoint& aTarget);

  /// Number of links, including those that are still connecting.
  std::size_t LinkCount() const { return mLinks.size(); }

  /// Handles an event from libwebsockets.
  int OnEvent(lws* aConnection, int aReason, void* aData, std::size_t aLength);

private:
  friend class peer_link;

  void OpenLink(const std::shared_ptr<peer_link>& aLink,
                const endpoint& aTarget);
  bool SecretMatches(lws* aConnection) const;
  int AppendSecret(unsigned char** aPosition,
                   std::size_t aCapacity,
                   lws* aConnection);
  int Write(lws* aConnection);
  int Receive(lws* aConnection, std::string_view aBytes);
  void HandleOpened(lws* aConnection);
  void HandleClosed(lws* aConnection);
  std::shared_ptr<peer_link> FindLink(lws* aConnection);

  loop& mLoop;
  peer_link_observer& mObserver;
  peer_transport_options mOptions;
  lws_vhost* mServerVhost = nullptr;
  lws_vhost* mClientVhost = nullptr;
  std::unordered_map<lws*, std::shared_ptr<peer_link>> mLinks;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PEER_LINK_H_
