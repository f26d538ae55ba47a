#include "proxy/channel-run.h"

namespace eelgrasstrack {

channel_run::channel_run(forwarded_request aRequest,
                         std::shared_ptr<answer_sink> aSink)
  : mRequest(std::move(aRequest))
  , mSink(std::move(aSink))
{
}

void
channel_run::SendBody(std::string_view aBytes, bool aLast)
{
  if (mChannel) {
    std::string text;
    mBody.Append(text, aBytes, aLast);
    mChannel->SendBody(text, aLast);
  }
}

std::size_t
channel_run::Unsent() const
{
  return mChannel ? mChannel->Unsent() : 0;
}

void
channel_run::PauseAnswer(bool aPaused)
{
  if (mChannel) {
    mChannel->PauseReading(aPaused);
  }
}

void
channel_run::OnRequestSent()
{
  if (mSink && !mRequest.body_complete) {
    mSink->OnBodyWritable();
  }
}

} // namespace eelgrasstrack
