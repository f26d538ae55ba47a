#ifndef EELGRASSTRACK_PROXY_STREAMED_EXCHANGE_H_
#define EELGRASSTRACK_PROXY_STREAMED_EXCHANGE_H_

#include "proxy/forwarded-request.h"
#include "proxy/server-session.h"

namespace eelgrasstrack {

/// A request between a session that it came on and a run that answers it.
/// Bodies pass in parts both ways; the side that is ahead is paused.
class streamed_exchange
  : public request_handler
  , public answer_sink
{
public:
  void OnRequestBody(std::string_view aBytes, bool aLast) override;
  void OnAnswerSent() override;
  void OnBodyWritable() override;

protected:
  explicit streamed_exchange(std::shared_ptr<server_session> aSession);

  /// Passes a part of the answer's body on.
  void ForwardAnswerBody(std::string_view aBytes);

  /// Null once nothing can be answered any more.
  std::shared_ptr<server_session> mSession;
  /// Null while nothing runs.
  std::shared_ptr<run_handle> mRun;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_STREAMED_EXCHANGE_H_
