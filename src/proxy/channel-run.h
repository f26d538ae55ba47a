#ifndef EELGRASSTRACK_PROXY_CHANNEL_RUN_H_
#define EELGRASSTRACK_PROXY_CHANNEL_RUN_H_

#include "proxy/forwarded-request.h"
#include "wire/client-channel.h"

namespace eelgrasstrack {

/// A request in progress on a connection, either to another node or to the
/// local instance.
class channel_run
  : public client_channel::observer
  , public run_handle
{
public:
  void SendBody(std::string_view aBytes, bool aLast) override;
  std::size_t Unsent() const override;
  void PauseAnswer(bool aPaused) override;
  void OnRequestSent() override;

protected:
  channel_run(forwarded_request aRequest, std::shared_ptr<answer_sink> aSink);

  forwarded_request mRequest;
  /// Receives the answer. Null after the request was cancelled or has ended.
  std::shared_ptr<answer_sink> mSink;
  /// Null before the request is sent and after it has ended.
  std::shared_ptr<client_channel> mChannel;
  request_body_writer mBody;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_CHANNEL_RUN_H_
