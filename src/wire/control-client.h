#ifndef EELGRASSTRACK_WIRE_CONTROL_CLIENT_H_
#define EELGRASSTRACK_WIRE_CONTROL_CLIENT_H_

#include <functional>
#include <map>

#include "base/body-budget.h"
#include "base/error.h"
#include "wire/channel-pool.h"

namespace eelgrasstrack {

/// A complete HTTP request in memory.
struct buffered_request
{
  std::string method = "GET";
  std::string target;
  header_fields fields;
  std::string body;
};

/// A complete HTTP response in memory.
struct buffered_response
{
  int status = 0;
  header_fields fields;
  std::string body;
};

using response_callback = std::function<void(result<buffered_response>)>;

/// Makes the program's own calls (to the store, to peers, health probes) and
/// keeps connections open for later calls.
class control_client
{
public:
  explicit control_client(tcp_transport& aTransport);

  /// Calls `aDone` once, asynchronously. Errors: `upstream_unreachable` with
  /// `execution::not_run` if nothing was sent, `deadline_exceeded`,
  /// `upstream_broken`, `too_large`.
  void Call(const endpoint& aEndpoint,
            buffered_request aRequest,
            duration aTimeout,
            response_callback aDone);

  /// Sets the limit for the bytes that answers in progress keep. An answer that
  /// does not fit fails with `too_large`.
  void SetAnswerLimit(std::size_t aBytes) { mAnswerBytes.SetLimit(aBytes); }

  /// Closes connections that have been idle for longer than `aUnusedFor`.
  void CloseIdle(duration aUnusedFor);

private:
  friend class control_client_exchange;

  std::shared_ptr<client_channel> Acquire(const endpoint& aEndpoint);
  void Release(const endpoint& aEndpoint,
               std::shared_ptr<client_channel> aChannel);

  tcp_transport& mTransport;
  body_budget mAnswerBytes;
  std::map<std::string, channel_pool> mIdle;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_CONTROL_CLIENT_H_
