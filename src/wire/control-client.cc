#include "wire/control-client.h"

namespace eelgrasstrack {

namespace {

/// Maximum size of the body of an answer (8 MiB).
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;
/// Maximum number of idle connections that are kept to one address.
constexpr std::size_t kMaxIdlePerEndpoint = 2;

std::string
FormatRequest(const endpoint& aEndpoint, const buffered_request& aRequest)
{
  std::string text;
  message_head head;
  head.method = aRequest.method;
  head.target = aRequest.target;
  AppendRequestLine(text, head);
  AppendField(text, "Host", ToString(aEndpoint));
  for (const header_field& field : aRequest.fields) {
    AppendField(text, field.name, field.value);
  }
  if (!aRequest.body.empty() || aRequest.method != "GET") {
    AppendField(text, "Content-Type", "application/json");
    AppendField(text, "Content-Length", std::to_string(aRequest.body.size()));
  }
  text += "\r\n";
  text += aRequest.body;
  return text;
}

} // namespace

/// One call in progress. Its channel, of which it is the observer, keeps it
/// alive.
class control_client_exchange final
  : public client_channel::observer
  , public std::enable_shared_from_this<control_client_exchange>
{
public:
  control_client_exchange(control_client& aClient,
                          endpoint aEndpoint,
                          response_callback aDone)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
    , mDone(std::move(aDone))
    , mHeld(aClient.mAnswerBytes)
  {
  }

  void Start(std::shared_ptr<client_channel> aChannel,
             const std::string& aText,
             duration aTimeout)
  {
    mChannel = std::move(aChannel);
    mTimer = Loop().RunAfter(aTimeout, [self = shared_from_this()] {
      self->Finish(
        tl::unexpected<error>(
          { error_kind::deadline_exceeded,
            "no answer before the timeout from " + ToString(self->mEndpoint),
            execution::unknown }),
        false);
    });
    mChannel->Begin(aText, shared_from_this(), {}, {});
  }

  void OnAnswerHead(message_head& aHead, std::optional<std::uint64_t>) override
  {
    mResponse.status = aHead.status;
    mResponse.fields = aHead.fields;
  }

  void OnAnswerBody(std::string_view aBytes) override
  {
    if (mResponse.body.size() + aBytes.size() > kMaxAnswerBytes) {
      Finish(Fail(error_kind::too_large,
                  "answer exceeds 8 MiB, from " + ToString(mEndpoint)),
             false);
      return;
    }
    if (!AppendReserved(mResponse.body, aBytes, mHeld)) {
      Finish(Fail(error_kind::too_large,
                  "no memory left for the answer from " + ToString(mEndpoint)),
             false);
    }
  }

  void OnAnswerEnd() override { Finish(std::move(mResponse), true); }

  void OnChannelFailed(const channel_failure& aFailure) override
  {
    bool unsent = aFailure.end == close_reason::connect_failed;
    Finish(tl::unexpected<error>(
             { unsent ? error_kind::upstream_unreachable
                      : error_kind::upstream_broken,
               ToString(mEndpoint) + ": " + aFailure.reason,
               unsent ? execution::not_run : execution::unknown }),
           false);
  }

private:
  loop& Loop() { return mClient.mTransport.Loop(); }

  void Finish(result<buffered_response> aResult, bool aKeep)
  {
    if (!mDone) {
      return;
    }
    Loop().Cancel(mTimer);
    std::shared_ptr<control_client_exchange> self = shared_from_this();
    response_callback done = std::move(mDone);
    mDone = nullptr;
    std::shared_ptr<client_channel> channel = std::move(mChannel);
    if (aKeep) {
      mClient.Release(mEndpoint, channel);
    } else {
      channel->Abort();
    }
    done(std::move(aResult));
  }

  control_client& mClient;
  endpoint mEndpoint;
  response_callback mDone;
  buffered_response mResponse;
  /// Account of the answer's body.
  body_reservation mHeld;
  std::shared_ptr<client_channel> mChannel;
  timer_id mTimer = 0;
};

control_client::control_client(tcp_transport& aTransport)
  : mTransport(aTransport)
{
}

void
control_client::Call(const endpoint& aEndpoint,
                     buffered_request aRequest,
                     duration aTimeout,
                     response_callback aDone)
{
  std::shared_ptr<client_channel> channel = Acquire(aEndpoint);
  if (!channel) {
    mTransport.Loop().RunAfter(duration(0), [aDone, aEndpoint] {
      aDone(
        Fail(error_kind::upstream_unreachable,
             "no file descriptor available to call " + ToString(aEndpoint)));
    });
    return;
  }
  auto exchange = std::make_shared<control_client_exchange>(
    *this, aEndpoint, std::move(aDone));
  exchange->Start(channel, FormatRequest(aEndpoint, aRequest), aTimeout);
}

std::shared_ptr<client_channel>
control_client::Acquire(const endpoint& aEndpoint)
{
  auto found = mIdle.find(ToString(aEndpoint));
  if (found != mIdle.end()) {
    if (std::shared_ptr<client_channel> channel =
          found->second.Acquire(mTransport.Loop().Now())) {
      return channel;
    }
  }
  return client_channel::Open(mTransport, aEndpoint, {});
}

void
control_client::Release(const endpoint& aEndpoint,
                        std::shared_ptr<client_channel> aChannel)
{
  mIdle.try_emplace(ToString(aEndpoint), kMaxIdlePerEndpoint)
    .first->second.Release(std::move(aChannel), mTransport.Loop().Now());
}

void
control_client::CloseIdle(duration aUnusedFor)
{
  time_point now = mTransport.Loop().Now();
  for (auto& [address, pool] : mIdle) {
    pool.CloseIdle(aUnusedFor, now);
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.Empty(); });
}

} // namespace eelgrasstrack
