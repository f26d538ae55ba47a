#include "proxy/hop-server.h"

#include <limits>

#include "base/log.h"
#include "proxy/hop-fields.h"
#include "proxy/streamed-exchange.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

constexpr std::uint32_t kMaxHeadBytes = 256U << 10U;
constexpr duration kHeadTimeout = std::chrono::seconds(10);
/// Longer than the client's idle timeout of 15 s, so that the client closes
/// idle connections first.
constexpr duration kIdleTimeout = std::chrono::seconds(60);
/// Bodies that stall are ended within about this time.
constexpr duration kMemoryRetryAfter = std::chrono::seconds(1);

/// Failure of a request for whose body there is no memory.
run_failure
MemoryRefusal()
{
  run_failure failure;
  failure.reason = run_failure_reason::full;
  failure.not_run = true;
  failure.retry_after = kMemoryRetryAfter;
  return failure;
}

/// A request from another node.
class hop_request final
  : public streamed_exchange
  , public std::enable_shared_from_this<hop_request>
{
public:
  hop_request(instance_dispatcher& aDispatcher,
              std::shared_ptr<server_exchange> aExchange,
              body_reservation aHeld)
    : streamed_exchange(std::move(aExchange))
    , mDispatcher(aDispatcher)
    , mHeld(std::move(aHeld))
  {
  }

  void Start(forwarded_request aRequest)
  {
    // The text that is sent to the instance holds the body a second time.
    if (!mHeld.Resize(2 * mHeld.Bytes())) {
      OnRunFailed(MemoryRefusal());
      return;
    }
    run_start started =
      mDispatcher.Dispatch(std::move(aRequest), shared_from_this());
    if (!started) {
      OnRunFailed(started.error());
      return;
    }
    mRun = std::move(*started);
  }

  bool MayHaveRun() const override { return mRun != nullptr; }

  void OnClientDisconnected() override
  {
    mExchange.reset();
    std::shared_ptr<run_handle> run = std::move(mRun);
    mRun.reset();
    if (run) {
      run->Cancel();
    }
  }

  void OnAnswer(message_head aHead,
                std::optional<std::uint64_t> aLength,
                const run_load& aLoad) override
  {
    aHead.fields.push_back({ std::string(kLoadField), EncodeLoad(aLoad) });
    mAnswerBegun = true;
    mExchange->BeginAnswer(aHead, aLength);
  }

  void OnAnswerBody(std::string_view aBytes) override
  {
    ForwardAnswerBody(aBytes);
  }

  void OnAnswerEnd() override
  {
    mRun.reset();
    std::shared_ptr<server_exchange> exchange = std::move(mExchange);
    mExchange.reset();
    exchange->EndAnswer();
  }

  void OnRunFailed(const run_failure& aFailure) override
  {
    mRun.reset();
    std::shared_ptr<server_exchange> exchange = std::move(mExchange);
    mExchange.reset();
    if (!exchange) {
      return;
    }
    if (mAnswerBegun) {
      exchange->AbortAnswer();
      return;
    }
    header_fields fields;
    fields.push_back({ std::string(kFailedField), EncodeFailure(aFailure) });
    if (aFailure.load) {
      fields.push_back({ std::string(kLoadField), EncodeLoad(*aFailure.load) });
    }
    exchange->Answer(status::kUnavailable, fields);
  }

private:
  instance_dispatcher& mDispatcher;
  /// Account of the body, also while it is on its way to the instance.
  body_reservation mHeld;
  bool mAnswerBegun = false;
};

} // namespace

hop_server::hop_server(tcp_transport& aTransport,
                       const header_names& aNames,
                       instance_dispatcher& aDispatcher,
                       link_pacer& aPacer)
  : mTransport(aTransport)
  , mNames(aNames)
  , mDispatcher(aDispatcher)
  , mPacer(aPacer)
{
}

result<void>
hop_server::Listen(const endpoint& aAddress)
{
  return mSessions.Listen(mTransport, aAddress, *this, &mPacer);
}

traffic_limits
hop_server::Limits() const
{
  // The first hop has already applied the configured limits.
  traffic_limits limits;
  limits.head_bytes = kMaxHeadBytes;
  limits.body_bytes = std::numeric_limits<std::uint64_t>::max();
  limits.head_timeout = kHeadTimeout;
  limits.idle_timeout = kIdleTimeout;
  return limits;
}

header_fields
hop_server::RefusalFields(int aStatus) const
{
  if (aStatus != status::kUnavailable && aStatus != status::kRequestTimeout) {
    return {};
  }
  return { { std::string(kFailedField), EncodeFailure(MemoryRefusal()) } };
}

std::shared_ptr<request_handler>
hop_server::Begin(received_request aRequest,
                  const std::shared_ptr<server_exchange>& aExchange)
{
  auto handler = std::make_shared<hop_request>(
    mDispatcher, aExchange, std::move(aRequest.held));
  forwarded_request request;
  const std::string* call = FindField(aRequest.head.fields, kCallField);
  result<void> decoded =
    DecodeCall(call != nullptr ? *call : "", mTransport.Loop().Now(), request);
  if (!decoded) {
    LogEvent(log_level::warning,
             "hop_request_refused",
             { { "reason", decoded.error().message } });
    aExchange->Answer(status::kBadRequest, {});
    return handler;
  }
  if (const std::string* id =
        FindField(aRequest.head.fields, mNames.request_id)) {
    request.request_id = *id;
  }
  request.head = std::move(aRequest.head);
  KeepEndToEndFields(request.head.fields, mNames);
  request.body = std::move(aRequest.body);
  request.body_complete = aRequest.body_complete;
  request.body_length = aRequest.body_length;
  handler->Start(std::move(request));
  return handler;
}

} // namespace eelgrasstrack
