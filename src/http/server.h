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

/// One request and its answer. Shared by the server, for as long as the
/// connection lives, and by whoever works on the answer.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
  http_exchange(http_server& aServer, lws* aConnection);

  const http_request& Request() const { return mRequest; }

  /// Answers once; a second answer and one to a closed connection are ignored.
  void Respond(http_response aResponse);

  /// Calls `aTask` if the caller goes away before it was answered.
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

/// Receives each whole request of a server.
class http_handler
{
public:
  virtual ~http_handler() = default;
  virtual void Handle(std::shared_ptr<http_exchange> aExchange) = 0;
};

struct http_server_options
{
  endpoint listen;
  std::size_t max_body_bytes = std::size_t{ 8 } << 20U;
  /// Bounds a sender of headers or of a body.
  int receive_timeout_s = 15;
  int keepalive_timeout_s = 60;
};

/// An HTTP/1.1 server on the loop.
class http_server
{
public:
  /// Throws `std::runtime_error` when it can't listen.
  http_server(loop& aLoop,
              http_handler& aHandler,
              http_server_options aOptions);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::size_t ExchangesInProgress() const;

  /// Closes each connection after the answer in progress.
  void DisableKeepAlive() { mKeepAlive = false; }

  /// Entry from the event library.
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
