#ifndef EELGRASSTRACK_WIRE_CONTROL_CLIENT_H_
#define EELGRASSTRACK_WIRE_CONTROL_CLIENT_H_

#include <map>

#include "base/body-budget.h"
#include "wire/buffered-message.h"
#include "wire/channel-pool.h"

namespace eelgrasstrack {

/// How a call is made.
struct call_options
{
  /// Of the whole call.
  duration timeout{};
  /// For idempotent requests only: time without any part of an answer after
  /// which the request is sent again on a new connection, while the first
  /// attempt goes on. The first complete answer counts. 0: never sent again.
  duration resend_after{ 0 };
  /// Opens a connection for this call instead of using an idle one.
  bool new_connection = false;
};

/// Makes the program's own calls (to the store, to peers, health probes) and
/// keeps connections open for later calls. Open connections may fall silent
/// together, without a reset: once a call has found one silent, the idle ones
/// to that address that have not been used since the call began are closed.
class control_client
{
public:
  explicit control_client(tcp_transport& aTransport);

  /// Calls `aDone` once, asynchronously. Errors: `upstream_unreachable` with
  /// `execution::not_run` if nothing was sent, `deadline_exceeded`,
  /// `upstream_broken`, `too_large`.
  void Call(const endpoint& aEndpoint,
            buffered_request aRequest,
            const call_options& aOptions,
            response_callback aDone);
  /// The same with a timeout only.
  void Call(const endpoint& aEndpoint,
            buffered_request aRequest,
            duration aTimeout,
            response_callback aDone);

  /// Sets the limit for the bytes that answers in progress keep. An answer that
  /// does not fit fails with `too_large`.
  void SetAnswerLimit(std::size_t aBytes) { mAnswerBytes.SetLimit(aBytes); }

  /// Closes connections that have been idle for longer than `aUnusedFor`.
  void CloseIdle(duration aUnusedFor);

  /// Closes the idle connections to an address.
  void CloseIdleTo(const endpoint& aEndpoint);

private:
  friend class control_call;

  /// Returns an idle connection or opens one. Returns null if no file
  /// descriptor is left.
  std::shared_ptr<client_channel> Acquire(const endpoint& aEndpoint);
  std::shared_ptr<client_channel> Open(const endpoint& aEndpoint);
  /// Closes the idle connections to an address whose last use ended at `aMark`
  /// or before.
  void CloseUnusedSince(const endpoint& aEndpoint, time_point aMark);
  void Release(const endpoint& aEndpoint,
               std::shared_ptr<client_channel> aChannel);

  tcp_transport& mTransport;
  body_budget mAnswerBytes;
  std::map<std::string, channel_pool> mIdle;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_CONTROL_CLIENT_H_
