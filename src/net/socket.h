#ifndef EELGRASSTRACK_NET_SOCKET_H_
#define EELGRASSTRACK_NET_SOCKET_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/error.h"
#include "http/loop.h"
#include "http/message.h"

struct lws;
struct lws_vhost;

namespace eelgrasstrack {

/// Why a connection was closed.
enum class close_reason
{
  /// The peer closed it normally.
  closed_by_peer,
  /// It was reset or timed out, as the kernel reported to a read or a write;
  /// bytes in transit may have been lost.
  broken,
  /// It was never established, so nothing was sent.
  connect_failed,
};

class tcp_transport;

/// One TCP connection on the loop. It keeps itself alive until it is closed.
///
/// The descriptor is registered with libwebsockets as a raw file. The raw
/// socket role does not distinguish a reset from a normal close, and that
/// difference decides whether a response without a length is complete.
class connection final : public std::enable_shared_from_this<connection>
{
public:
  /// Receives the events of a connection. `OnEnded` is the last one.
  class observer
  {
  public:
    virtual ~observer() = default;
    virtual void OnConnected() {}
    virtual void OnReceived(std::string_view aBytes) = 0;
    /// All queued bytes were handed to the kernel.
    virtual void OnSent() {}
    virtual void OnEnded(close_reason aReason) = 0;
  };

  connection(tcp_transport& aTransport, int aDescriptor, bool aConnected);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Sets the observer and keeps it alive until the connection is closed.
  void SetObserver(std::shared_ptr<observer> aObserver);

  /// Sends bytes, and queues those that the kernel does not accept yet.
  void Send(std::string_view aBytes);

  /// Sends the queued bytes, then closes; or closes if the peer reads none of
  /// them for 15 s. The observer gets no further events.
  void CloseAfterSending();

  /// Closes immediately. The observer gets no further events.
  void Close();

  /// Stops reading from the socket, or resumes it if `aPaused` is false.
  void PauseReading(bool aPaused);

  bool Closed() const { return mDescriptor < 0; }
  /// Number of queued bytes that were not yet handed to the kernel.
  std::size_t Unsent() const { return mOutgoing.size() - mSentOffset; }
  /// Memory for queued bytes. What an idle connection keeps is not counted.
  std::size_t QueueMemory() const;
  /// Whether any byte was handed to the kernel.
  bool HasSentBytes() const { return mSentBytes > 0; }
  /// Number of bytes that were handed to the kernel.
  std::uint64_t SentBytes() const { return mSentBytes; }

private:
  friend class tcp_transport;
  friend struct socket_dispatch;

  void Adopt();
  /// Event handlers; those with a result return whether the connection is open.
  bool HandleReadable();
  bool HandleWritable();
  void HandleReleased();
  void ReadOnce();
  void Deliver(std::string_view aBytes);
  bool PeerHasClosed() const;
  bool Flush();
  void End(close_reason aReason);
  void Release();
  /// Closes the connection after a while if nothing was sent meanwhile.
  void CloseUnlessSending();
  void RequestWritable();

  tcp_transport& mTransport;
  int mDescriptor;
  bool mConnected;
  /// Whether the peer opened the connection.
  bool mAccepted;
  std::uint64_t mSentBytes = 0;
  /// A write has failed, so the end of the connection is not in order.
  bool mSendFailed = false;
  bool mCloseWhenSent = false;
  bool mInCallback = false;
  bool mWritableRequested = false;
  lws* mSession = nullptr;
  std::string mOutgoing;
  std::size_t mSentOffset = 0;
  std::shared_ptr<observer> mObserver;
  std::shared_ptr<connection> mSelf;
};

/// Receives each accepted connection.
using accept_handler = std::function<void(std::shared_ptr<connection>)>;

struct connect_options
{
  /// How long sent bytes may stay unacknowledged before the connection breaks
  /// (TCP_USER_TIMEOUT, RFC 5482).
  duration unacknowledged_timeout = std::chrono::seconds(2);
};

/// Opens and accepts TCP connections on a loop.
class tcp_transport
{
public:
  explicit tcp_transport(loop& aLoop);
  /// Stops listening and closes all connections without notifying their
  /// observers.
  ~tcp_transport();
  tcp_transport(const tcp_transport&) = delete;
  tcp_transport& operator=(const tcp_transport&) = delete;

  loop& Loop() { return mLoop; }

  /// Accepts connections on an IP address. Fails with `internal` if it cannot
  /// listen there.
  result<void> Listen(const endpoint& aEndpoint, accept_handler aHandler);

  /// Starts to connect; a refusal or a later failure is reported to the
  /// observer. Returns null if the attempt can't be made, for example because
  /// the process has no file descriptor left.
  std::shared_ptr<connection> Connect(const endpoint& aEndpoint,
                                      const connect_options& aOptions);

private:
  friend class connection;
  friend struct socket_dispatch;

  struct listener
  {
    int descriptor;
    accept_handler handler;
    lws* session;
  };

  /// Accepts connections that wait, up to a number for one iteration of the
  /// loop.
  void AcceptWaiting(listener& aListener);
  /// A connection that was refused at once; reports it asynchronously.
  std::shared_ptr<connection> RefusedConnection();

  loop& mLoop;
  lws_vhost* mVhost = nullptr;
  std::vector<std::unique_ptr<listener>> mListeners;
  std::unordered_set<connection*> mOpenConnections;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_NET_SOCKET_H_
