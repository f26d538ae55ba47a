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

/// One WebSocket (RFC 6455) between two nodes. Each frame that is sent is one
/// message; frames of one link arrive in order.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
  peer_link(peer_transport& aTransport, bool aOutgoing);

  /// Queues a frame. Control frames go before bulk frames.
  void SendControl(std::string aFrame);
  /// Queues a frame before all that wait; for what must open a link.
  void SendFirst(std::string aFrame);
  void SendBulk(std::string aFrame);

  void Close();

  bool IsOpen() const { return mOpen; }
  bool IsOutgoing() const { return mOutgoing; }
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

/// What happens on links.
class peer_link_observer
{
public:
  virtual ~peer_link_observer() = default;
  virtual void OnLinkUp(const std::shared_ptr<peer_link>& aLink) = 0;
  /// Also called for an outgoing link that never came up.
  virtual void OnLinkDown(const std::shared_ptr<peer_link>& aLink) = 0;
  virtual void OnFrame(const std::shared_ptr<peer_link>& aLink,
                       std::string_view aFrame) = 0;
};

struct peer_transport_options
{
  endpoint listen;
  /// Both ends must hold the same secret.
  std::string secret;
  std::size_t max_frame_bytes = std::size_t{ 2 } << 20U;
};

/// Accepts and opens links.
class peer_transport
{
public:
  /// Throws `std::runtime_error` when it can't listen.
  peer_transport(loop& aLoop,
                 peer_link_observer& aObserver,
                 peer_transport_options aOptions);
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  std::shared_ptr<peer_link> Connect(const endpoint& aTarget);

  std::size_t LinkCount() const { return mLinks.size(); }

  /// Entry from the event library.
  int OnEvent(lws* aConnection, int aReason, void* aData, std::size_t aLength);

private:
  friend class peer_link;

  void OpenLink(const std::shared_ptr<peer_link>& aLink,
                const endpoint& aTarget);
  bool SecretMatches(lws* aConnection) const;
  int AppendSecret(unsigned char** aPosition,
                   std::size_t aRoom,
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
