#ifndef EELGRASSTRACK_WIRE_CLIENT_CHANNEL_H_
#define EELGRASSTRACK_WIRE_CLIENT_CHANNEL_H_

#include "net/socket.h"
#include "wire/message-parser.h"

namespace eelgrasstrack {

/// How an exchange failed.
struct channel_failure
{
  connection_end end = connection_end::broken;
  /// Bytes of the request were handed to the kernel, so it may have arrived.
  bool sent = false;
  /// A part of an answer was passed on.
  bool answered = false;
  std::string reason;
};

/// What identifies the answer to a request on a connection.
struct answer_identity
{
  /// Name of the field that echoes the request's id; empty if nothing does.
  std::string field;
  std::string value;
};

/// The client's side of one HTTP/1.1 connection, one exchange at a time.
class client_channel final
  : public connection::observer
  , public std::enable_shared_from_this<client_channel>
{
public:
  /// Receives one answer: a head, its body in parts and its end, or a failure.
  class observer
  {
  public:
    virtual ~observer() = default;
    virtual void OnAnswerHead(message_head& aHead,
                              std::optional<std::uint64_t> aLength) = 0;
    virtual void OnAnswerBody(std::string_view aBytes) = 0;
    virtual void OnAnswerEnd() = 0;
    virtual void OnChannelFailed(const channel_failure& aFailure) = 0;
    virtual void OnRequestSent() {}
  };

  /// Null if the process has no descriptor left.
  static std::shared_ptr<client_channel> Open(socket_host& aHost,
                                              const endpoint& aEndpoint,
                                              const connect_options& aOptions);

  explicit client_channel(socket_host& aHost);

  /// Begins an exchange. `aBytes` is the head and as much of the body as is
  /// there. An answer with another identity belongs to an earlier request and
  /// is dropped.
  void Begin(std::string_view aBytes,
             std::shared_ptr<observer> aObserver,
             answer_identity aIdentity,
             bool aIsHeadRequest);

  /// Sends a further part of the request's body.
  void SendBody(std::string_view aBytes);

  /// Ends the exchange and closes the connection; the observer hears nothing.
  void Abort();

  void PauseReading(bool aPaused);
  std::size_t Unsent() const;
  /// Whether any byte was ever handed to the kernel.
  bool Sent() const { return mConnection && mConnection->SentAnything(); }

  bool IsOpen() const { return mConnection && !mConnection->Closed(); }
  /// Whether another exchange may begin now.
  bool Reusable(time_point aNow) const;
  time_point IdleSince() const { return mIdleSince; }
  /// Whether an exchange has ended on this connection before.
  bool UsedBefore() const { return mUsedBefore; }

  void OnReceived(std::string_view aBytes) override;
  void OnSent() override;
  void OnEnded(connection_end aEnd) override;

private:
  void ReadAnswers();
  /// Returns whether there may be more to read.
  bool ReadAnswer();
  bool ProcessHead();
  void FinishExchange();
  void Fail(connection_end aEnd, std::string aReason);
  void RecordIdleTimeout(const header_fields& aFields);

  socket_host& mHost;
  std::shared_ptr<connection> mConnection;
  message_parser mParser{ message_kind::response };
  std::shared_ptr<observer> mObserver;
  answer_identity mIdentity;
  bool mIsHeadRequest = false;
  bool mHeadDelivered = false;
  bool mSkippingAnswer = false;
  bool mKeepOpen = true;
  bool mInExchange = false;
  bool mUsedBefore = false;
  time_point mIdleSince{};
  time_point mReusableUntil = time_point::max();
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_CLIENT_CHANNEL_H_
