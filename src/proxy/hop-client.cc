#include "proxy/hop-client.h"

#include "base/log.h"
#include "proxy/channel-run.h"
#include "proxy/hop-fields.h"

namespace eelgrasstrack {

namespace {

/// A host with an overdue answer is suspected, and then probed, if nothing has
/// been received from it for this long.
constexpr duration kReceiveTimeout = std::chrono::milliseconds(400);
/// A request that is still unsent after this time fails as unreachable.
constexpr duration kConnectTimeout = std::chrono::milliseconds(400);
/// Bytes unacknowledged for this long break a connection to a node.
constexpr duration kUnacknowledgedTimeout = std::chrono::milliseconds(1500);
/// An idle connection to a node is closed after this time.
constexpr duration kIdleTimeout = std::chrono::seconds(15);

} // namespace

/// A request sent to another host.
class hop_run final
  : public channel_run
  , public std::enable_shared_from_this<hop_run>
{
public:
  hop_run(hop_client& aClient,
          std::string aHostName,
          forwarded_request aRequest,
          std::shared_ptr<answer_sink> aSink)
    : channel_run(std::move(aRequest), std::move(aSink))
    , mClient(aClient)
    , mHostName(std::move(aHostName))
  {
  }

  /// Sends the request. Returns false if no connection could be opened.
  bool Start()
  {
    hop_client::host_state& state = mClient.mHosts[mHostName];
    mStartedAt = mClient.mTransport.Loop().Now();
    mChannel = mClient.AcquireChannel(state);
    if (!mChannel) {
      return false;
    }
    state.runs.insert(this);
    std::string text;
    AppendRequestLine(text, mRequest.head);
    AppendForwardedFields(text, mRequest.head);
    AppendField(text, kCallField, EncodeCall(mRequest, mStartedAt));
    mBody.Begin(text, mRequest);
    std::string().swap(mRequest.body); // the caller keeps what can be resent
    mChannel->Begin(text,
                    shared_from_this(),
                    { mClient.mNames.request_id, mRequest.request_id },
                    { mRequest.head.method == "HEAD", mRequest.body_complete });
    return true;
  }

  time_point StartedAt() const { return mStartedAt; }
  /// Whether a part of the answer has been received.
  bool Answered() const { return mAnswered || mFailure; }

  /// Fails a request that was never sent or, if the host is unreachable, one
  /// that may be sent elsewhere.
  void FailIfRetryable(bool aHostUnreachable)
  {
    bool unsent = !mChannel || !mChannel->Sent();
    if (!unsent && (!aHostUnreachable || mAnswered || !mSink ||
                    !mSink->ShouldCancelOnUnresponsiveHost())) {
      return;
    }
    run_failure failure;
    failure.reason = unsent ? run_failure_reason::unreachable
                            : run_failure_reason::host_unresponsive;
    failure.not_run = unsent;
    failure.reached_instance = !unsent;
    if (mChannel) {
      mChannel->Abort();
    }
    FailWith(failure);
  }

  void Cancel() override
  {
    std::shared_ptr<hop_run> self = shared_from_this();
    mSink.reset();
    if (mChannel) {
      mChannel->Abort();
    }
    Finish();
  }

  void OnAnswerHead(message_head& aHead,
                    std::optional<std::uint64_t> aLength) override
  {
    RecordReceived();
    run_load load;
    if (const std::string* text = FindField(aHead.fields, kLoadField)) {
      load = DecodeLoad(*text).value_or(run_load{});
    }
    if (const std::string* text = FindField(aHead.fields, kFailedField)) {
      mFailure = DecodeFailure(*text).value_or(run_failure{});
      mFailure->load = load;
      mChannel->DropBody();
      return;
    }
    mAnswered = true;
    message_head head = std::move(aHead);
    KeepEndToEndFields(head.fields, mClient.mNames);
    mSink->OnAnswer(std::move(head), aLength, load);
  }

  void OnAnswerBody(std::string_view aBytes) override
  {
    RecordReceived();
    if (mSink) {
      mSink->OnAnswerBody(aBytes);
    }
  }

  void OnAnswerEnd() override
  {
    std::shared_ptr<hop_run> self = shared_from_this();
    mClient.mHosts[mHostName].idle.Release(std::move(mChannel),
                                           mClient.mTransport.Loop().Now());
    mChannel.reset();
    if (mFailure) {
      mClient.ReportIfStale(mHostName, *mFailure);
      FailWith(*mFailure);
      return;
    }
    std::shared_ptr<answer_sink> sink = std::move(mSink);
    mSink.reset();
    Finish();
    if (sink) {
      sink->OnAnswerEnd();
    }
  }

  void OnChannelFailed(const channel_failure& aFailure) override
  {
    std::shared_ptr<hop_run> self = shared_from_this();
    run_failure failure;
    bool unsent = aFailure.end == close_reason::connect_failed;
    failure.reason =
      unsent ? run_failure_reason::unreachable : run_failure_reason::broken;
    failure.not_run = unsent;
    failure.reached_instance = !unsent;
    mChannel.reset();
    if (!aFailure.connection_ended) {
      LogEvent(log_level::info,
               "hop_answer_invalid",
               { { "request", mRequest.request_id },
                 { "host", mHostName },
                 { "reason", aFailure.reason } });
    }
    std::string host = mHostName;
    hop_client& client = mClient;
    FailWith(failure);
    client.ReportSuspected(host);
  }

private:
  void RecordReceived()
  {
    mClient.mHosts[mHostName].last_received = mClient.mTransport.Loop().Now();
  }

  void FailWith(const run_failure& aFailure)
  {
    std::shared_ptr<hop_run> self = shared_from_this();
    std::shared_ptr<answer_sink> sink = std::move(mSink);
    mSink.reset();
    Finish();
    if (sink) {
      sink->OnRunFailed(aFailure);
    }
  }

  void Finish() { mClient.mHosts[mHostName].runs.erase(this); }

  hop_client& mClient;
  std::string mHostName;
  std::optional<run_failure> mFailure;
  time_point mStartedAt{};
  bool mAnswered = false;
};

hop_client::hop_client(tcp_transport& aTransport, const header_names& aNames)
  : mTransport(aTransport)
  , mNames(aNames)
{
}

void
hop_client::OnHostSuspected(std::function<void(const std::string&)> aHandler)
{
  mOnHostSuspected = std::move(aHandler);
}

void
hop_client::OnHostRecordStale(std::function<void(const std::string&)> aHandler)
{
  mOnHostRecordStale = std::move(aHandler);
}

void
hop_client::ReportIfStale(const std::string& aHostName,
                          const run_failure& aFailure)
{
  bool stale = aFailure.reason == run_failure_reason::wrong_instance ||
               aFailure.reason == run_failure_reason::leaving ||
               aFailure.reason == run_failure_reason::evacuated;
  if (stale && mOnHostRecordStale) {
    mOnHostRecordStale(aHostName);
  }
}

void
hop_client::ReportSuspected(const std::string& aHostName)
{
  if (mOnHostSuspected) {
    mOnHostSuspected(aHostName);
  }
}

run_start
hop_client::Run(const std::string& aHostName,
                const endpoint& aAddress,
                forwarded_request aRequest,
                std::shared_ptr<answer_sink> aSink)
{
  host_state& state = mHosts[aHostName];
  if (!(state.address == aAddress)) {
    state.idle.Clear();
    state.address = aAddress;
  }
  auto run = std::make_shared<hop_run>(
    *this, aHostName, std::move(aRequest), std::move(aSink));
  if (!run->Start()) {
    run_failure failure;
    failure.reason = run_failure_reason::unreachable;
    failure.not_run = true;
    return tl::unexpected<run_failure>(failure);
  }
  return std::shared_ptr<run_handle>(run);
}

std::shared_ptr<client_channel>
hop_client::AcquireChannel(host_state& aState)
{
  if (std::shared_ptr<client_channel> channel =
        aState.idle.Acquire(mTransport.Loop().Now())) {
    return channel;
  }
  connect_options options;
  options.unacknowledged_timeout = kUnacknowledgedTimeout;
  return client_channel::Open(mTransport, aState.address, options);
}

void
hop_client::HandleUnreachableHost(const std::string& aHostName)
{
  auto found = mHosts.find(aHostName);
  if (found == mHosts.end()) {
    return;
  }
  found->second.idle.Clear();
  std::vector<std::shared_ptr<hop_run>> runs;
  for (hop_run* run : found->second.runs) {
    runs.push_back(run->shared_from_this());
  }
  for (const auto& run : runs) {
    run->FailIfRetryable(true);
  }
}

void
hop_client::CloseIfSilent(host_state& aState, time_point aNow)
{
  std::optional<time_point> mark;
  for (const hop_run* run : aState.runs) {
    if (!run->Answered() && aNow - run->StartedAt() > kReceiveTimeout) {
      mark = std::max(mark.value_or(run->StartedAt()), run->StartedAt());
    }
  }
  if (mark) {
    aState.idle.CloseUnusedSince(*mark);
  }
}

void
hop_client::Sweep(time_point aNow)
{
  std::vector<std::string> suspected;
  std::vector<std::shared_ptr<hop_run>> overdue;
  for (auto& [name, state] : mHosts) {
    state.idle.CloseIdle(kIdleTimeout, aNow);
    CloseIfSilent(state, aNow);
    bool unresponsive = false;
    for (hop_run* run : state.runs) {
      if (aNow - run->StartedAt() > kConnectTimeout) {
        overdue.push_back(run->shared_from_this());
      }
      unresponsive =
        unresponsive || (aNow - run->StartedAt() > kReceiveTimeout &&
                         aNow - state.last_received > kReceiveTimeout);
    }
    if (unresponsive) {
      suspected.push_back(name);
    }
  }
  for (const auto& run : overdue) {
    run->FailIfRetryable(false); // only those that were never sent
  }
  for (const std::string& name : suspected) {
    ReportSuspected(name);
  }
}

} // namespace eelgrasstrack
