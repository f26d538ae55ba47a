#ifndef EELGRASSTRACK_PROXY_SERVER_SESSION_H_
#define EELGRASSTRACK_PROXY_SERVER_SESSION_H_

#include <functional>
#include <unordered_set>

#include "net/socket.h"
#include "traffic/traffic-table.h"
#include "wire/message-parser.h"

namespace eelgrasstrack {

class server_session;

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
  /// Starts handling a request. The answer is sent through the session.
  virtual std::shared_ptr<request_handler> Begin(
    received_request aRequest,
    const std::shared_ptr<server_session>& aSession) = 0;
  /// Whether connections are closed after their current answer.
  virtual bool IsClosing() const = 0;
};

/// The sessions of one address.
class session_list
{
public:
  /// Listens on the address and creates a session for each connection.
  /// `aTransport` and `aServer` outlive the list.
  result<void> Listen(tcp_transport& aTransport,
                      const endpoint& aAddress,
                      request_server& aServer);
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

/// The server side of one HTTP/1.1 connection. Handles one request at a time: a
/// pipelined request waits until the current answer is complete.
class server_session final
  : public connection::observer
  , public std::enable_shared_from_this<server_session>
{
public:
  server_session(std::shared_ptr<connection> aConnection,
                 request_server& aServer,
                 session_list& aList,
                 loop& aLoop);

  /// Sends a complete answer.
  void Answer(int aStatus,
              const header_fields& aFields,
              std::string_view aBody = {});

  /// Begins an answer whose body follows. Without a length the body is sent in
  /// chunks, so that the client detects a truncated body.
  void BeginAnswer(const message_head& aHead,
                   std::optional<std::uint64_t> aLength);
  void SendAnswerBody(std::string_view aBytes);
  void EndAnswer();
  /// Closes the connection in the middle of an answer.
  void AbortAnswer();

  /// Number of queued bytes that have not been sent yet.
  std::size_t Unsent() const { return mConnection->Unsent(); }
  /// Stops or resumes reading the request's body.
  void PauseBody(bool aPaused) { mConnection->PauseReading(aPaused); }

  bool IsBusy() const { return mBusy; }
  /// Closes the connection if no request is being received or handled.
  void CloseIfIdle();
  /// Closes the connection if it exceeded the idle timeout, and rejects a
  /// request whose head did not arrive in time.
  void CheckTimeouts(time_point aNow);

  void OnReceived(std::string_view aBytes) override;
  void OnSent() override;
  void OnEnded(close_reason aReason) override;

private:
  /// Handles parsed input: starts a request or forwards a part of its body.
  void ProcessInput();
  void BeginRequest();
  void ForwardBody();
  /// Answers an invalid request with an empty answer and closes the connection.
  void Reject(int aStatus);
  /// Prepares the session for the next request on the connection.
  void FinishRequest();
  void RemoveFromList();
  /// Sends 100 Continue once if the request has an Expect field.
  void SendContinueIfExpected();

  std::shared_ptr<connection> mConnection;
  request_server& mServer;
  session_list& mList;
  loop& mLoop;
  message_parser mParser{ message_kind::request };
  /// Handler of the current request; null if there is none.
  std::shared_ptr<request_handler> mHandler;
  /// The part of the request's body that was not passed to the handler yet.
  std::string mBody;
  /// Bytes of the answer that were not given to the connection yet.
  std::string mOutgoing;
  /// Number of body bytes received for the current request.
  std::uint64_t mBodyBytes = 0;
  /// When the connection was opened or the last request ended.
  time_point mIdleSince{};
  /// A request is in progress.
  bool mBusy = false;
  /// The method is HEAD, so the answer has no body.
  bool mHeadOnly = false;
  bool mChunkedAnswer = false;
  bool mAnswerDone = false;
  bool mCloseAfterAnswer = false;
  bool mContinueSent = false;
  bool mReadingPaused = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_SERVER_SESSION_H_
