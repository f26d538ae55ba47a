#include "wire/service-port.h"

namespace eelgrasstrack {

namespace {

/// Maximum size of the body of a request (8 MiB).
constexpr std::size_t kMaxRequestBytes = 8U << 20U;

/// One accepted connection. Handles its requests one at a time.
class service_session final
  : public connection::observer
  , public std::enable_shared_from_this<service_session>
{
public:
  service_session(std::shared_ptr<connection> aConnection,
                  service_handler aHandler)
    : mConnection(std::move(aConnection))
    , mHandler(std::move(aHandler))
  {
  }

  void OnReceived(std::string_view aBytes) override
  {
    result<void> fed = mParser.Feed(aBytes);
    mBody += mParser.TakeBody();
    if (!fed || mBody.size() > kMaxRequestBytes) {
      mConnection->Send(
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
      mConnection->CloseAfterSending();
      return;
    }
    ServeRequests();
  }

  void OnEnded(close_reason) override {}

private:
  /// Handles the requests that were read. A loop rather than a call for each
  /// next request, as a peer may send thousands ahead.
  void ServeRequests()
  {
    if (mServing) {
      return;
    }
    mServing = true;
    while (!mBusy && mParser.Done()) {
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
    mBody.clear();
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
    mBusy = false;
    mBody += mParser.TakeBody();
    ServeRequests();
  }

  std::shared_ptr<connection> mConnection;
  service_handler mHandler;
  message_parser mParser{ message_kind::request };
  std::string mBody;
  /// A request is being handled, or the connection is about to close.
  bool mBusy = false;
  bool mServing = false;
};

} // namespace

result<void>
ServeAt(tcp_transport& aTransport,
        const endpoint& aEndpoint,
        service_handler aHandler)
{
  return aTransport.Listen(
    aEndpoint,
    [handler = std::move(aHandler)](std::shared_ptr<connection> aConnection) {
      aConnection->SetObserver(
        std::make_shared<service_session>(aConnection, handler));
    });
}

} // namespace eelgrasstrack
