#ifndef EELGRASSTRACK_HTTP_SERVER_H_
#define EELGRASSTRACK_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "http/loop.h"
#include "http/message.h"

struct lws;
struct lws_vhost;

namespace eelgrasstrack {

class http_server;

/// One request and its response. Shared by the server, while the connection is
/// open, and by the code that produces the response.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
  http_exchange(http_server& aServer, lws* aConnection);

  const http_request& Request() const { return mRequest; }

  /// Sends the response. Does nothing if `Respond` was called before or the
  /// connection is closed.
  void Respond(http_response aResponse);

  /// Sets a task that runs if the connection closes before `Respond` is called.
  void OnAbandoned(std::function<void()> aTask);

  bool Answered() const { return mAnswered; }

private:
  friend class http_server;

  http_server& mServer;
  lws* mConnection;
  http_request mRequest;
  http_response mResponse;
  std::function<void()> mOnAbandoned;
  std::int64_t mExpectedLength = 0;
  std::size_t mBodyBytesWritten = 0;
  bool mDispatched = false;
  bool mAnswered = false;
  bool mHeadersWritten = false;
  bool mCloseAfterResponse = false;
};

/// Handles the complete requests that a server receives.
class http_handler
{
public:
  virtual ~http_handler() = default;
  virtual void Handle(std::shared_ptr<http_exchange> aExchange) = 0;
};

struct http_server_options
{
  endpoint listen;
  /// Maximum size of a request body.
  std::size_t max_body_bytes = std::size_t{ 8 } << 20U;
  /// Time limit for receiving the headers or the body of a request.
  int receive_timeout_s = 15;
  /// Time after which an idle kept-alive connection is closed.
  int keepalive_timeout_s = 60;
};

/// An HTTP/1.1 server on the loop.
class http_server
{
public:
  /// Throws `std::runtime_error` if it cannot listen on the address.
  http_server(loop& aLoop,
              http_handler& aHandler,
              http_server_options aOptions);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Number of requests that were dispatched or rejected and whose response is
  /// not yet written.
  std::size_t ExchangesInProgress() const;

  /// Closes each connection after its next response.
  void DisableKeepAlive() { mKeepAlive = false; }

  /// Handles an event from libwebsockets.
  int OnEvent(lws* aConnection, int aReason, void* aData, std::size_t aLength);

private:
  friend class http_exchange;

  void RequestWrite(lws* aConnection);
  int BeginRequest(lws* aConnection, std::string_view aPath);
  int ReceiveBody(lws* aConnection, std::string_view aBytes);
  int Dispatch(lws* aConnection);
  int Write(lws* aConnection);
  int WriteHead(lws* aConnection, http_exchange& aExchange);
  int WriteBody(lws* aConnection, http_exchange& aExchange);
  void RemoveExchange(lws* aConnection);
  int RejectRequest(http_exchange& aExchange,
                    int aStatus,
                    std::string_view aReason);

  http_handler& mHandler;
  http_server_options mOptions;
  std::unordered_map<lws*, std::shared_ptr<http_exchange>> mExchanges;
  lws_vhost* mVhost = nullptr;
  bool mKeepAlive = true;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_HTTP_SERVER_H_
