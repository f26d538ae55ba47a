#ifndef EELGRASSTRACK_PROXY_SERVER_SESSION_H_
#define EELGRASSTRACK_PROXY_SERVER_SESSION_H_

#include <functional>
#include <unordered_set>

#include "net/socket.h"
#include "traffic/traffic-table.h"
#include "wire/message-parser.h"

namespace eelgrasstrack {

class server_session;

/// A request as it came in, with as much of its body as is there.
struct received_request
{
  message_head head;
  std::string body;
  bool body_complete = true;
  std::optional<std::uint64_t> body_length;
  time_point received{};
};

/// One request of a session, seen by what serves it.
class request_handler
{
public:
  virtual ~request_handler() = default;
  /// The sender has gone; nothing can be answered any more.
  virtual void OnClientDisconnected() = 0;
  virtual void OnRequestBody(std::string_view aBytes, bool aLast) = 0;
  /// The sender has taken what was answered so far.
  virtual void OnAnswerSent() {}
};

/// What serves the requests of an address.
class request_server
{
public:
  virtual ~request_server() = default;
  virtual traffic_limits Limits() const = 0;
  /// Begins a request. It is answered through the session.
  virtual std::shared_ptr<request_handler> Begin(
    received_request aRequest,
    const std::shared_ptr<server_session>& aSession) = 0;
  /// Whether connections end after the answer they wait for.
  virtual bool IsClosing() const = 0;
};

/// The sessions of one address.
class session_list
{
public:
  /// Begins a session for each connection to the address. All arguments
  /// outlive the list.
  result<void> Listen(socket_host& aHost,
                      const endpoint& aAddress,
                      request_server& aServer);
  void Add(const std::shared_ptr<server_session>& aSession);
  void Remove(server_session* aSession);
  /// Closes sessions that are idle or late with a request's head.
  void Sweep(time_point aNow);
  std::size_t BusyCount() const;

private:
  std::unordered_set<server_session*> mSessions;
};

/// The server's side of one HTTP/1.1 connection, one request at a time; the
/// next waits until the answer is complete.
class server_session final
  : public connection::observer
  , public std::enable_shared_from_this<server_session>
{
public:
  server_session(std::shared_ptr<connection> aConnection,
                 request_server& aServer,
                 session_list& aList,
                 loop& aLoop);

  /// Answers whole.
  void Answer(int aStatus,
              const header_fields& aFields,
              std::string_view aBody = {});

  /// Begins an answer whose body follows; without a length it is sent in
  /// chunks, so that an early end shows.
  void BeginAnswer(const message_head& aHead,
                   std::optional<std::uint64_t> aLength);
  void SendAnswerBody(std::string_view aBytes);
  void EndAnswer();
  /// Ends the connection in the middle of an answer.
  void AbortAnswer();

  std::size_t Unsent() const { return mConnection->Unsent(); }
  void PauseBody(bool aPaused) { mConnection->PauseReading(aPaused); }

  bool IsBusy() const { return mBusy; }
  /// Closes if no request is being read or served.
  void CloseIfIdle();
  void CheckTimeouts(time_point aNow);

  void OnReceived(std::string_view aBytes) override;
  void OnSent() override;
  void OnEnded(connection_end aEnd) override;

private:
  void ProcessInput();
  void BeginRequest();
  void ForwardBody();
  void Reject(int aStatus);
  void FinishRequest();
  void RemoveFromList();
  void SendContinueIfExpected();

  std::shared_ptr<connection> mConnection;
  request_server& mServer;
  session_list& mList;
  loop& mLoop;
  message_parser mParser{ message_kind::request };
  std::shared_ptr<request_handler> mHandler;
  std::string mBody;
  std::string mOutgoing;
  std::uint64_t mBodyBytes = 0;
  time_point mIdleSince{};
  bool mBusy = false;
  bool mHeadOnly = false;
  bool mChunkedAnswer = false;
  bool mAnswerDone = false;
  bool mCloseAfterAnswer = false;
  bool mContinueSent = false;
  bool mReadingPaused = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_SERVER_SESSION_H_
