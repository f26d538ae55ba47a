#ifndef EELGRASSTRACK_WIRE_CLIENT_CHANNEL_H_
#define EELGRASSTRACK_WIRE_CLIENT_CHANNEL_H_

#include "net/socket.h"
#include "wire/message-parser.h"

namespace eelgrasstrack {

/// Why an exchange failed and how far it got.
struct channel_failure
{
  close_reason end = close_reason::broken;
  /// Bytes were handed to the kernel, so the request may have arrived.
  bool sent = false;
  /// The head of the answer, at least, was delivered to the observer.
  bool answered = false;
  /// The connection ended by itself. Otherwise it was closed here because the
  /// answer was invalid.
  bool connection_ended = false;
  std::string reason;
};

/// Identifies the answer to a request by a header field that echoes the
/// request's id.
struct answer_identity
{
  /// Name of the echoing field; empty if there is none.
  std::string field;
  /// Expected value of the field.
  std::string value;
};

/// Client side of one HTTP/1.1 connection. Runs one exchange at a time.
class client_channel final
  : public connection::observer
  , public std::enable_shared_from_this<client_channel>
{
public:
  /// Receives one answer: its head, its body in parts and its end, or a
  /// failure.
  class observer
  {
  public:
    virtual ~observer() = default;
    virtual void OnAnswerHead(message_head& aHead,
                              std::optional<std::uint64_t> aLength) = 0;
    virtual void OnAnswerBody(std::string_view aBytes) = 0;
    virtual void OnAnswerEnd() = 0;
    virtual void OnChannelFailed(const channel_failure& aFailure) = 0;
    /// All queued bytes of the request were handed to the kernel.
    virtual void OnRequestSent() {}
  };

  /// Starts to connect. Returns null if the process has no file descriptor
  /// left.
  static std::shared_ptr<client_channel> Open(tcp_transport& aTransport,
                                              const endpoint& aEndpoint,
                                              const connect_options& aOptions);

  explicit client_channel(tcp_transport& aTransport);

  /// Sets the maximum size of the head of an answer in bytes.
  void SetHeadLimit(std::uint32_t aBytes) { mParser.SetHeadLimit(aBytes); }

  /// Properties of a request that matter to the connection.
  struct request_properties
  {
    /// The answer to a HEAD request has no body.
    bool head_only = false;
    /// The request is sent whole; otherwise, `SendBody` sends the rest.
    bool complete = true;
  };

  /// Starts an exchange. `aBytes` holds the head and the part of the body that
  /// is available. An answer with another identity belongs to an earlier
  /// request and is dropped.
  void Begin(std::string_view aBytes,
             std::shared_ptr<observer> aObserver,
             answer_identity aIdentity,
             request_properties aProperties);

  /// Sends the next part of the request body.
  void SendBody(std::string_view aBytes, bool aLast);

  /// Ends the exchange and closes the connection without notifying the
  /// observer.
  void Abort();

  /// Drops the body of the answer whose head has been delivered. The exchange
  /// ends as usual or, if the body is long, early and with the connection.
  void DropBody() { mDropsBody = true; }

  void PauseReading(bool aPaused);
  /// Number of bytes that are queued but not yet sent.
  std::size_t Unsent() const;
  /// Whether any byte was handed to the kernel.
  bool Sent() const { return mConnection && mConnection->HasSentBytes(); }

  bool IsOpen() const { return mConnection && !mConnection->Closed(); }
  /// Whether another exchange may start at `aNow`.
  bool Reusable(time_point aNow) const;
  /// End of the last exchange, or the time of opening.
  time_point IdleSince() const { return mIdleSince; }
  /// Whether an exchange has completed on this connection.
  bool UsedBefore() const { return mUsedBefore; }

  void OnReceived(std::string_view aBytes) override;
  void OnSent() override;
  void OnEnded(close_reason aEnd) override;

private:
  void ReadAnswers();
  /// Processes the parsed bytes of one answer. Returns true if it was skipped
  /// and another one may follow in the parser.
  bool ReadAnswer();
  /// Delivers a head, or starts to skip an interim answer or the answer to an
  /// earlier request. Returns whether the exchange goes on.
  bool ProcessHead();
  /// Starts to skip an interim answer, or fails if there were too many. Returns
  /// whether the exchange goes on.
  bool SkipInterimAnswer();
  /// Ends an exchange or a connection rather than reading a long body that is
  /// dropped.
  void EndLongBody();
  void FinishExchange();
  void FailInvalid(const error& aProblem);
  /// Ends the exchange and the connection. Sets `sent` and `answered`.
  void Fail(channel_failure aFailure);
  /// Reads the idle timeout that the server announces in `Keep-Alive`.
  void RecordIdleTimeout(const header_fields& aFields);

  tcp_transport& mTransport;
  std::shared_ptr<connection> mConnection;
  message_parser mParser{ message_kind::response };
  std::shared_ptr<observer> mObserver;
  answer_identity mIdentity;
  request_properties mProperties;
  bool mHeadDelivered = false;
  /// The current answer is not the final one of the current request.
  bool mSkippingAnswer = false;
  /// The observer does not want the body of the current answer.
  bool mDropsBody = false;
  /// Bytes of dropped bodies in this exchange.
  std::size_t mDroppedBytes = 0;
  /// Interim answers in this exchange.
  unsigned mInterimCount = 0;
  bool mKeepOpen = true;
  bool mInExchange = false;
  bool mUsedBefore = false;
  time_point mIdleSince{};
  time_point mReusableUntil = time_point::max();
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_CLIENT_CHANNEL_H_
