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

/// Why a connection ended.
enum class close_reason
{
  /// The other side closed it in order.
  closed_by_peer,
  /// A reset or a time-out: bytes may have been lost on the way.
  broken,
  /// It never came to be, so nothing was sent.
  connect_failed,
};

class tcp_transport;

/// One TCP connection on the loop. It keeps itself alive until it is closed.
///
/// The event library's raw file role carries the descriptor: its raw socket
/// role does not tell a reset from an orderly end, and that difference decides
/// whether an answer without a length is whole.
class connection final : public std::enable_shared_from_this<connection>
{
public:
  /// Receives what happens on a connection. After `OnEnded` nothing follows.
  class observer
  {
  public:
    virtual ~observer() = default;
    virtual void OnConnected() {}
    virtual void OnReceived(std::string_view aBytes) = 0;
    /// All queued bytes have left.
    virtual void OnSent() {}
    virtual void OnEnded(close_reason aEnd) = 0;
  };

  connection(tcp_transport& aTransport, int aDescriptor, bool aConnected);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Keeps the observer alive until the connection is closed.
  void SetObserver(std::shared_ptr<observer> aObserver);

  void Send(std::string_view aBytes);

  /// Sends what is queued, then closes. The observer hears nothing more.
  void CloseAfterSending();

  /// Closes at once. The observer hears nothing more.
  void Close();

  void PauseReading(bool aPaused);

  bool Closed() const { return mDescriptor < 0; }
  std::size_t Unsent() const { return mOutgoing.size() - mSentOffset; }
  /// Whether any byte was handed to the kernel.
  bool HasSentBytes() const { return mHasSentBytes; }

private:
  friend class tcp_transport;
  friend struct socket_dispatch;

  void Adopt();
  /// Event handlers; each returns whether the connection is still open.
  bool HandleReadable();
  bool HandleWritable();
  void HandleReleased();
  bool PeerHasClosed() const;
  bool Flush();
  void End(close_reason aEnd);
  void Release();
  void RequestWritable();

  tcp_transport& mTransport;
  int mDescriptor;
  bool mConnected;
  /// The other side opened it.
  bool mAccepted;
  bool mHasSentBytes = false;
  bool mCloseWhenSent = false;
  bool mInCallback = false;
  bool mWritableRequested = false;
  lws* mSession = nullptr;
  std::string mOutgoing;
  std::size_t mSentOffset = 0;
  std::shared_ptr<observer> mObserver;
  std::shared_ptr<connection> mSelf;
};

using accept_handler = std::function<void(std::shared_ptr<connection>)>;

struct connect_options
{
  /// Time after which sent and unacknowledged bytes break the connection
  /// (TCP_USER_TIMEOUT, RFC 5482).
  duration unacknowledged_timeout = std::chrono::seconds(2);
};

/// Opens and accepts connections on a loop.
class tcp_transport
{
public:
  explicit tcp_transport(loop& aLoop);
  /// Closes all connections; their observers hear nothing.
  ~tcp_transport();
  tcp_transport(const tcp_transport&) = delete;
  tcp_transport& operator=(const tcp_transport&) = delete;

  loop& Loop() { return mLoop; }

  /// Accepts connections at an IPv4 address. Fails with `internal`.
  result<void> Listen(const endpoint& aEndpoint, accept_handler aHandler);

  /// Begins to connect; a failure reaches the observer later. Null if the
  /// process has no descriptor left.
  std::shared_ptr<connection> Connect(const endpoint& aEndpoint,
                                      const connect_options& aOptions);

private:
  friend class connection;
  friend struct socket_dispatch;

  struct listener
  {
    int descriptor;
    accept_handler handler;
  };

  void AcceptAll(listener& aListener);

  loop& mLoop;
  lws_vhost* mVhost = nullptr;
  std::vector<std::unique_ptr<listener>> mListeners;
  std::unordered_set<connection*> mOpenConnections;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_NET_SOCKET_H_
