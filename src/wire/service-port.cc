#include "wire/service-port.h"

#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// Maximum size of the body of a request (8 MiB).
constexpr std::size_t kMaxRequestBytes = 8U << 20U;
/// No further request is handled while the peer has not read more than this of
/// the answers.
constexpr std::size_t kMaxUnsentBytes = 64U << 10U;

/// One accepted connection. Handles its requests one at a time.
class service_session final
  : public connection::observer
  , public std::enable_shared_from_this<service_session>
{
public:
  service_session(std::shared_ptr<connection> aConnection,
                  service_handler aHandler,
                  const body_budget* aBudget)
    : mConnection(std::move(aConnection))
    , mHandler(std::move(aHandler))
  {
    if (aBudget != nullptr) {
      mBodyHeld = body_reservation(*aBudget);
      mInputHeld = body_reservation(*aBudget);
    }
  }

  void OnReceived(std::string_view aBytes) override
  {
    result<void> fed = mParser.Feed(aBytes);
    if (!fed || mBody.size() + mParser.BodyBytes() > kMaxRequestBytes) {
      Reject(status::kBadRequest);
      return;
    }
    if (!KeepInput()) {
      Reject(status::kUnavailable);
      return;
    }
    ServeRequests();
  }

  void OnSent() override { ServeRequests(); }

  void OnEnded(close_reason) override {}

private:
  /// Keeps what was received and not handled. Returns false if there is no
  /// memory for it.
  bool KeepInput()
  {
    return AppendReserved(mBody, mParser.TakeBody(), mBodyHeld) &&
           mInputHeld.Resize(mParser.HeldBytes());
  }

  void Reject(int aStatus)
  {
    std::string text;
    AppendStatusLine(text, aStatus, ReasonOf(aStatus));
    AppendField(text, "Content-Length", "0");
    AppendField(text, "Connection", "close");
    text += "\r\n";
    mConnection->Send(text);
    mConnection->CloseAfterSending();
  }

  /// Handles the requests that were read. A loop rather than a call for each
  /// next request, as a peer may send thousands ahead.
  void ServeRequests()
  {
    if (mServing) {
      return;
    }
    mServing = true;
    while (!mBusy && mParser.Done() &&
           mConnection->Unsent() <= kMaxUnsentBytes) {
      ServeNext();
    }
    mServing = false;
  }

  void ServeNext()
  {
    mBusy = true;
    buffered_request request;
    request.method = mParser.Head().method;
    request.target = mParser.Head().target;
    request.fields = std::move(mParser.Head().fields);
    request.body = std::move(mBody);
    mBody = {};
    mBodyHeld.Release(); // a handler decodes the body at once
    mHandler(std::move(request),
             [self = shared_from_this()](const buffered_response& aResponse) {
               self->Answer(aResponse);
             });
  }

  void Answer(const buffered_response& aResponse)
  {
    std::string text;
    AppendStatusLine(text, aResponse.status, ReasonOf(aResponse.status));
    for (const header_field& field : aResponse.fields) {
      AppendField(text, field.name, field.value);
    }
    AppendField(text, "Content-Length", std::to_string(aResponse.body.size()));
    text += "\r\n";
    text += aResponse.body;
    mConnection->Send(text);
    if (!mParser.KeepAlive()) {
      mConnection->CloseAfterSending();
      return;
    }
    if (!mParser.Next()) {
      mConnection->Close();
      return;
    }
    if (!KeepInput()) {
      Reject(status::kUnavailable);
      return;
    }
    mBusy = false;
    ServeRequests();
  }

  std::shared_ptr<connection> mConnection;
  service_handler mHandler;
  message_parser mParser{ message_kind::request };
  std::string mBody;
  /// Account of `mBody`.
  body_reservation mBodyHeld;
  /// Account of the bytes in the parser.
  body_reservation mInputHeld;
  /// A request is being handled, or the connection is about to close.
  bool mBusy = false;
  bool mServing = false;
};

} // namespace

result<void>
ServeAt(tcp_transport& aTransport,
        const endpoint& aEndpoint,
        service_handler aHandler,
        const body_budget* aBudget)
{
  return aTransport.Listen(
    aEndpoint,
    [handler = std::move(aHandler),
     aBudget](std::shared_ptr<connection> aConnection) {
      aConnection->SetObserver(
        std::make_shared<service_session>(aConnection, handler, aBudget));
    });
}

} // namespace eelgrasstrack
