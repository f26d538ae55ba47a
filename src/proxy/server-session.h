#ifndef EELGRASSTRACK_PROXY_SERVER_SESSION_H_
#define EELGRASSTRACK_PROXY_SERVER_SESSION_H_

#include <deque>
#include <functional>
#include <unordered_set>

#include "net/link-pacer.h"
#include "proxy/server-exchange.h"
#include "traffic/traffic-table.h"
#include "wire/message-parser.h"

namespace eelgrasstrack {

/// A received request with the part of the body that has arrived so far.
struct received_request
{
  message_head head;
  std::string body;
  bool body_complete = true;
  /// Length of the whole body, if known.
  std::optional<std::uint64_t> body_length;
  time_point received{};
};

/// Handles one request of a session.
class request_handler
{
public:
  virtual ~request_handler() = default;
  /// The client closed the connection, so no answer can be sent any more.
  virtual void OnClientDisconnected() = 0;
  /// Called with each further part of a body that was not complete at first.
  virtual void OnRequestBody(std::string_view aBytes, bool aLast) = 0;
  /// All queued bytes of the answer were sent.
  virtual void OnAnswerSent() {}
};

/// Handles the requests that arrive at one address.
class request_server
{
public:
  virtual ~request_server() = default;
  virtual traffic_limits Limits() const = 0;
  /// Starts handling a request. The answer is sent through the exchange.
  virtual std::shared_ptr<request_handler> Begin(
    received_request aRequest,
    const std::shared_ptr<server_exchange>& aExchange) = 0;
  /// Whether connections are closed after their current answers.
  virtual bool IsClosing() const = 0;
};

/// The sessions of one address.
class session_list
{
public:
  /// Listens on the address and creates a session for each connection. Answers
  /// are sent through `aPacer` unless it is null. `aTransport`, `aServer` and
  /// `aPacer` outlive the list.
  result<void> Listen(tcp_transport& aTransport,
                      const endpoint& aAddress,
                      request_server& aServer,
                      link_pacer* aPacer = nullptr);
  void Add(const std::shared_ptr<server_session>& aSession);
  void Remove(server_session* aSession);
  /// Closes sessions that exceeded the idle timeout, or the timeout for
  /// receiving a request's head.
  void Sweep(time_point aNow);
  /// Number of sessions that have a request in progress.
  std::size_t BusyCount() const;

private:
  std::unordered_set<server_session*> mSessions;
};

/// The server side of one HTTP/1.1 connection.
///
/// Pipelined requests that are safe to abandon (GET and HEAD without a body)
/// are handled at the same time, up to a limit; any other request waits until
/// the earlier ones were answered. Answers are sent in the order of the
/// requests.
class server_session final
  : public connection::observer
  , public std::enable_shared_from_this<server_session>
{
public:
  server_session(std::shared_ptr<connection> aConnection,
                 request_server& aServer,
                 session_list& aList,
                 loop& aLoop,
                 link_pacer* aPacer);

  bool IsBusy() const { return !mExchanges.empty(); }
  /// Closes the connection if no request is being received or handled.
  void CloseIfIdle();
  /// Closes the connection if it exceeded the idle timeout, and rejects a
  /// request whose head did not arrive in time.
  void CheckTimeouts(time_point aNow);

  void OnReceived(std::string_view aBytes) override;
  void OnSent() override;
  void OnEnded(close_reason aReason) override;

private:
  friend class server_exchange;

  /// Handles parsed input: starts requests or forwards parts of a body.
  void ProcessInput();
  /// Whether the request in the parser may start now.
  bool MayBegin();
  /// Starts the request in the parser. Returns false if its body is incomplete.
  bool BeginRequest();
  /// Forwards a part of the body of the last request. Returns false if more of
  /// the body must arrive first.
  bool ForwardBody();
  /// Handles input that is not a valid request, or is too large.
  void HandleInvalidInput(int aStatus);
  /// Answers an invalid request with an empty answer and closes the connection.
  void Reject(int aStatus);
  /// Parses the next request on the connection. Returns false if it is invalid.
  bool ParseNext();
  void RemoveFromList();
  void CloseAfterSending();
  void CloseNow();
  /// Sends 100 Continue once if the request has an Expect field.
  void SendContinueIfExpected();
  /// Stops reading while too much input is buffered, or resumes it.
  void UpdateReading();
  /// Goes on with buffered input later, so that no request starts inside the
  /// call that ended an answer.
  void ScheduleInput();
  /// Cancels all requests in progress.
  void CancelAll();

  // Used by the exchanges.

  bool IsFirst(const server_exchange& aExchange) const;
  void Send(std::string_view aBytes);
  std::size_t Unsent() const;
  void PauseBody(bool aPaused);
  /// Decides whether the connection is closed after the answer of an exchange.
  /// No request starts after such an answer.
  bool ClosesAfter(const server_exchange& aExchange);
  /// Sends the answers that are due, then goes on with buffered input.
  void SendFinishedAnswers();
  /// Closes the connection, as an answer can't be completed.
  void AbortFrom(server_exchange& aExchange);

  std::shared_ptr<connection> mConnection;
  request_server& mServer;
  session_list& mList;
  loop& mLoop;
  link_pacer* mPacer;
  message_parser mParser{ message_kind::request };
  /// Requests in progress and answers that wait for earlier ones, in order.
  std::deque<std::shared_ptr<server_exchange>> mExchanges;
  /// The exchange whose request body is still being received, or null.
  std::shared_ptr<server_exchange> mReceiving;
  /// The part of the request's body that was not passed to the handler yet.
  std::string mBody;
  /// Number of body bytes received for the request in the parser.
  std::uint64_t mBodyBytes = 0;
  /// When the connection was opened or the last request ended.
  time_point mIdleSince{};
  /// Status for invalid input that is answered after the requests before it; 0
  /// if there was none.
  int mRejectStatus = 0;
  /// No further request is started on this connection.
  bool mLastBegun = false;
  bool mContinueSent = false;
  bool mBodyPaused = false;
  bool mReadAheadPaused = false;
  bool mInputScheduled = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_SERVER_SESSION_H_
