#ifndef EELGRASSTRACK_PROXY_STREAMED_EXCHANGE_H_
#define EELGRASSTRACK_PROXY_STREAMED_EXCHANGE_H_

#include "proxy/forwarded-request.h"
#include "proxy/server-session.h"

namespace eelgrasstrack {

/// Connects the exchange with the client to the run that answers the request.
/// Bodies are forwarded in parts in both directions. Backpressure: a source is
/// paused while the receiver has too many unsent bytes.
class streamed_exchange
  : public request_handler
  , public answer_sink
{
public:
  void OnRequestBody(std::string_view aBytes, bool aLast) override;
  void OnAnswerSent() override;
  void OnBodyWritable() override;

protected:
  explicit streamed_exchange(std::shared_ptr<server_exchange> aExchange);

  /// Forwards a part of the answer's body to the client.
  void ForwardAnswerBody(std::string_view aBytes);

  /// Null once no answer can be sent any more.
  std::shared_ptr<server_exchange> mExchange;
  /// Null while no attempt is in progress.
  std::shared_ptr<run_handle> mRun;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_STREAMED_EXCHANGE_H_
