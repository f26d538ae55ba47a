#ifndef EELGRASSTRACK_HTTP_CLIENT_H_
#define EELGRASSTRACK_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <set>

#include "base/error.h"
#include "http/message.h"
#include "wire/channel-pool.h"

namespace eelgrasstrack {

/// The response to a call, or why no complete response was received. A failure
/// is marked `not_run` only if no byte of the request was handed to the socket.
using http_result = result<http_response>;
/// Receives the result of a call.
using http_callback = std::function<void(http_result)>;

namespace detail {
class client_call;
}

/// A call in progress.
class http_call
{
public:
  virtual ~http_call() = default;

  /// Closes the connection. The callback will not be called.
  virtual void Cancel() = 0;
};

struct http_client_options
{
  /// Maximum number of open connections to the endpoint.
  unsigned max_connections = 16;
  /// Maximum size of a response body.
  std::size_t max_body_bytes = std::size_t{ 8 } << 20U;
};

/// An HTTP/1.1 client for one endpoint. It keeps connections alive and runs
/// one call at a time on each. A connection whose call failed, timed out or
/// was cancelled is closed and not reused. After a timeout, the next call opens
/// a new connection.
class http_client
{
public:
  http_client(tcp_transport& aTransport,
              endpoint aTarget,
              http_client_options aOptions);
  /// Ends all calls without calling their callbacks.
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call. If all connections are in use, the call fails with
  /// `overloaded` and null is returned. `aDone` is called once, after `Start`
  /// has returned.
  std::shared_ptr<http_call> Start(http_request aRequest,
                                   duration aTimeout,
                                   http_callback aDone);

  unsigned BusyConnections() const
  {
    return static_cast<unsigned>(mCalls.size());
  }
  const endpoint& Target() const { return mTarget; }

private:
  friend class detail::client_call;

  /// Returns a kept or new connection, or null without a file descriptor.
  std::shared_ptr<client_channel> Acquire();
  /// Keeps a connection for the next call, if it is reusable.
  void Release(std::shared_ptr<client_channel> aChannel);
  void ScheduleCloseIdle();

  tcp_transport& mTransport;
  endpoint mTarget;
  http_client_options mOptions;
  channel_pool mIdle;
  /// Calls in progress.
  std::set<std::shared_ptr<detail::client_call>> mCalls;
  timer_id mIdleTimer = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_CLIENT_H_
