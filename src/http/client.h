#ifndef EELGRASSTRACK_HTTP_CLIENT_H_
#define EELGRASSTRACK_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/error.h"
#include "http/loop.h"
#include "http/message.h"

struct lws;
struct lws_vhost;

namespace eelgrasstrack {

/// The response to a call, or why no complete response was received. A failure
/// is marked `not_run` only if no byte of the request was handed to the socket.
using http_result = result<http_response>;
/// Receives the result of a call.
using http_callback = std::function<void(http_result)>;

namespace detail {
class http_channel;
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
/// was cancelled is closed and not reused.
class http_client
{
public:
  http_client(loop& aLoop, endpoint aTarget, http_client_options aOptions);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call. If all connections are in use, the call fails with
  /// `overloaded` and null is returned. `aDone` is called once, after `Start`
  /// has returned.
  std::shared_ptr<http_call> Start(http_request aRequest,
                                   duration aTimeout,
                                   http_callback aDone);

  unsigned BusyConnections() const;
  const endpoint& Target() const { return mTarget; }

private:
  loop& mLoop;
  endpoint mTarget;
  http_client_options mOptions;
  std::vector<std::shared_ptr<detail::http_channel>> mChannels;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_CLIENT_H_
