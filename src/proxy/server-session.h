#ifndef EELGRASSTRACK_PROXY_SERVER_SESSION_H_
#define EELGRASSTRACK_PROXY_SERVER_SESSION_H_

#include <deque>
#include <functional>
#include <limits>
#include <unordered_set>
#include <vector>

#include "base/body-budget.h"
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
  /// The reservation for `body`; it must live as long as `body`.
  body_reservation held;
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
  /// The client has stopped sending the body. The handler ends the request and
  /// may answer it; otherwise the connection is closed.
  virtual void OnBodyStalled() {}
  /// Whether the request may have reached an instance, so that no answer may
  /// promise the contrary.
  virtual bool MayHaveRun() const { return false; }
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
  /// Fields of the answer to a request that is refused with `aStatus` before
  /// it begins.
  virtual header_fields RefusalFields(int /*aStatus*/) const { return {}; }
};

/// Limits on what the clients of one address hold without using it.
struct session_limits
{
  /// A body that does not grow, by 4 KiB at least, for this long ends its
  /// connection.
  duration stall_time = std::chrono::seconds(20);
  /// Same while the memory for bodies is used up.
  duration stall_time_when_full = std::chrono::seconds(1);
  /// Number of open connections from which idle ones are closed for new ones.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

/// How often the limits were applied.
struct session_counts
{
  /// Requests refused because the memory for bodies is used up.
  std::uint64_t refused_memory = 0;
  /// Requests that ended because their body was not completed in time, or their
  /// answer not taken.
  std::uint64_t stalled = 0;
  /// Connections closed because too many were open.
  std::uint64_t closed_for_others = 0;

  bool operator==(const session_counts&) const = default;
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
  /// Sets the account of the bytes that the sessions keep; without one nothing
  /// is limited. `aBudget` outlives the list.
  void SetBudget(const body_budget& aBudget) { mBudget = &aBudget; }
  /// Sets the account of the bytes of answers that clients have not taken yet;
  /// without one nothing is limited. `aBudget` outlives the list.
  void SetAnswerBudget(const body_budget& aBudget) { mAnswers = &aBudget; }
  void SetLimits(const session_limits& aLimits) { mLimits = aLimits; }
  const session_limits& Limits() const { return mLimits; }
  const session_counts& Counts() const { return mCounts; }
  /// Closes sessions that exceeded the idle timeout, or the timeout for
  /// receiving a request's head or body. Logs how often limits were applied.
  void Sweep(time_point aNow);
  /// Number of sessions that have a request in progress.
  std::size_t BusyCount() const;

private:
  friend class server_session;

  /// A connection that is closed when its client has taken the last answers.
  struct closing_connection
  {
    std::shared_ptr<connection> target;
    body_reservation held;
    std::uint64_t sent_bytes = 0;
    time_point moved_at{};
  };

  /// Starts a session, unless no connection can be closed for it.
  void Accept(const std::shared_ptr<server_session>& aSession,
              const std::shared_ptr<connection>& aConnection);
  std::vector<std::shared_ptr<server_session>> Sessions() const;
  body_reservation NewReservation() const;
  /// Ends bodies that stall, except that of `aFor`, as memory is used up.
  void EndStalledBodies(time_point aNow, const server_session& aFor);
  /// Whether the memory for answers is used up, even after those that clients
  /// do not take were ended.
  bool AnswersFull(time_point aNow);
  /// Ends answers of which clients have taken nothing for a while.
  void EndStalledAnswers(time_point aNow);
  void EndStalledClosing(time_point aNow);
  /// See `server_exchange::MaxUnsent`.
  std::size_t MaxUnsent() const;
  /// Goes on to account for the answers of a connection that is closing.
  void AddClosing(const std::shared_ptr<connection>& aConnection,
                  time_point aNow);
  body_reservation NewAnswerReservation() const;
  /// Closes those connections without a request in progress that have waited
  /// longest for one.
  void CloseLongestIdle(time_point aNow);
  void LogCounts();

  const body_budget* mBudget = nullptr;
  const body_budget* mAnswers = nullptr;
  session_limits mLimits;
  session_counts mCounts;
  session_counts mLoggedCounts;
  /// When all open connections were found to be in use.
  time_point mNoneClosableAt{};
  time_point mStalledEndedAt{};
  time_point mStalledAnswersEndedAt{};
  std::vector<closing_connection> mClosing;
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
  /// request whose head or body did not arrive in time.
  void CheckTimeouts(time_point aNow);
  /// Ends a request whose body has not grown for `aLimit`.
  void EndIfStalled(time_point aNow, duration aLimit);
  /// Closes the connection if the client has taken too little of an answer in
  /// `aLimit`. Counts from the first call at which an answer waits.
  void EndIfAnswerStalled(time_point aNow, duration aLimit);
  /// Whether no request is handled and no answer is being sent.
  bool MayCloseForOthers() const { return !IsBusy() && Unsent() == 0; }
  /// Closes the connection, which `MayCloseForOthers`.
  void CloseForOthers();
  /// When the connection was opened or the last request ended.
  time_point IdleSince() const { return mIdleSince; }

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
  /// Adds the received part of the body to `mBody`. Returns false if the memory
  /// for bodies is used up.
  bool KeepBody();
  /// Reserves memory for `aBytes`, if necessary after others have been ended.
  bool Reserve(body_reservation& aReservation, std::size_t aBytes);
  /// Accounts for the input that is kept while earlier requests are handled.
  void AccountInput();
  /// Rejects the request in the parser, as the memory for bodies is used up.
  void RefuseForMemory();
  /// Discards received input that was not passed to a handler.
  void DropInput();
  /// Records when the client last sent a useful part.
  void RecordProgress(std::size_t aBytes);
  void RestartProgress();
  void EndStalledUpload();
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
  std::size_t MaxUnsent() const { return mList.MaxUnsent(); }
  /// Accounts for the bytes of answers that the client has not taken.
  void AccountAnswers();
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
  /// Account of `mBody`.
  body_reservation mHeld;
  /// Account of the bytes in the parser.
  body_reservation mInputHeld;
  /// Account of the answers that the client has not taken yet.
  body_reservation mAnswersHeld;
  /// When the client was last seen to take a part of an answer that waits, and
  /// the bytes that it had taken; nothing if no answer was seen to wait.
  std::optional<time_point> mAnswerTakenAt;
  std::uint64_t mTakenBytes = 0;
  /// When the connection was opened or the last request ended.
  time_point mIdleSince{};
  /// When the request in the parser began to arrive.
  time_point mRequestSince{};
  /// When the body last grew enough, and the bytes received since.
  time_point mProgressAt{};
  std::size_t mProgressBytes = 0;
  /// Unsent bytes of answers at the last check of the timeouts.
  std::size_t mCheckedUnsent = 0;
  /// The first bytes of a request have just arrived.
  bool mRequestIsNew = false;
  /// Part of an answer was sent since the last check of the timeouts.
  bool mAnswerMoved = false;
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
