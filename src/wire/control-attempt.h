#ifndef EELGRASSTRACK_WIRE_CONTROL_ATTEMPT_H_
#define EELGRASSTRACK_WIRE_CONTROL_ATTEMPT_H_

#include "base/body-budget.h"
#include "wire/buffered-message.h"
#include "wire/client-channel.h"

namespace eelgrasstrack {

/// One attempt of a call: a request over one connection and its answer. Its
/// channel, of which it is the observer, keeps it alive.
class control_attempt final
  : public client_channel::observer
  , public std::enable_shared_from_this<control_attempt>
{
public:
  /// `aAnswerBytes` accounts for the answer's body.
  control_attempt(endpoint aEndpoint,
                  body_budget& aAnswerBytes,
                  clock_source& aClock);

  /// Sends a request. Calls `aDone` once with the answer or with
  /// `upstream_unreachable`, `upstream_broken` or `too_large`, unless `Abort`
  /// is called before.
  void Start(std::shared_ptr<client_channel> aChannel,
             const std::string& aText,
             response_callback aDone);

  /// Closes the connection without an answer.
  void Abort();

  /// Removes and returns the connection of an attempt that was answered.
  std::shared_ptr<client_channel> TakeChannel() { return std::move(mChannel); }

  /// When the request was sent or the last part of the answer arrived.
  time_point LastProgress() const { return mLastProgress; }

  void OnAnswerHead(message_head& aHead, std::optional<std::uint64_t>) override;
  void OnAnswerBody(std::string_view aBytes) override;
  void OnAnswerEnd() override;
  void OnChannelFailed(const channel_failure& aFailure) override;

private:
  void CloseChannel();
  /// Closes the connection and reports the error.
  void FailWith(error aError);
  void Report(result<buffered_response> aResult);

  endpoint mEndpoint;
  clock_source& mClock;
  response_callback mDone;
  buffered_response mResponse;
  /// Account of the answer's body.
  body_reservation mHeld;
  std::shared_ptr<client_channel> mChannel;
  time_point mLastProgress{};
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_CONTROL_ATTEMPT_H_
