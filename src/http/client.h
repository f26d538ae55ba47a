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

/// Why a client call has no whole answer.
/// `execution_status` is `not_run` only if no byte of the request was handed to
/// the socket.
using http_result = result<http_response>;
using http_callback = std::function<void(http_result)>;

namespace detail {
class http_channel;
}

/// A call in progress.
class http_call
{
public:
  virtual ~http_call() = default;

  /// Closes the connection; the callback is not called any more.
  virtual void Cancel() = 0;
};

struct http_client_options
{
  /// How many connections to one endpoint may be open at a time.
  unsigned max_connections = 16;
  std::size_t max_body_bytes = std::size_t{ 8 } << 20U;
};

/// An HTTP/1.1 client for one endpoint. It keeps connections alive and has
/// one call at a time on each. A connection whose call failed, timed out or
/// was cancelled is closed and never used again.
class http_client
{
public:
  http_client(loop& aLoop, endpoint aTarget, http_client_options aOptions);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call. Fails at once with `overloaded` if every connection is
  /// in use. `aDone` is called once, never before `Start` returns.
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
