#include "call/last-hop.h"

#include "base/invariant.h"

namespace eelgrasstrack {

namespace {

/// The last hop times out this much earlier than the first hop, so that the
/// first hop gets its error instead of timing out without an answer.
constexpr duration kDeadlineMargin = std::chrono::milliseconds(5);

hop_answer
MakeFailedAnswer(error aFailure)
{
  hop_answer answer;
  answer.head.failure = std::move(aFailure);
  return answer;
}

http_request
ToHttpRequest(hop_call& aCall)
{
  http_request request;
  request.method = aCall.head.method;
  request.path = aCall.head.path;
  request.query = aCall.head.query;
  request.headers = aCall.head.headers;
  request.body = std::move(aCall.body);
  return request;
}

/// The last hop uses one session for all keys: a key is a duplicate no matter
/// which call sent it first.
constexpr std::uint64_t kAnySession = 0;

} // namespace

last_hop::last_hop(const clock_source& aClock, std::uint64_t aIncarnation)
  : mClock(aClock)
  , mIncarnation(aIncarnation)
  , mQueue(admission_limits{})
  , mDispatchedKeys(request_key_table_options{})
{
}

void
last_hop::SetUpstream(local_upstream aUpstream,
                      std::shared_ptr<upstream_connection> aConnection)
{
  mUpstream = std::move(aUpstream);
  mConnection = std::move(aConnection);
  mQueue.SetLimits(mUpstream.limits);
}

void
last_hop::SetLeaving()
{
  mUpstream.leaving = true;
}

load_hint
last_hop::Load() const
{
  return { mQueue.RunningCount(), mQueue.QueuedCount() };
}

std::optional<error>
last_hop::CheckTarget(const hop_call& aCall)
{
  if (aCall.head.target_incarnation != mIncarnation) {
    return error{ error_kind::no_upstream,
                  "call was sent to another incarnation of this node",
                  execution::not_run };
  }
  bool serves = mConnection != nullptr && !mUpstream.leaving &&
                mUpstream.service == aCall.head.service &&
                mUpstream.version == aCall.head.version;
  if (!serves) {
    return error{ error_kind::no_upstream,
                  "no upstream of " + aCall.head.service + " " +
                    aCall.head.version + " accepts calls at this node",
                  execution::not_run };
  }
  return std::nullopt;
}

admission_id
last_hop::Handle(hop_call aCall, hop_callback aDone)
{
  time_point now = mClock.Now();
  admission_id id = mNextId++;
  auto pending = std::make_shared<pending_call>();
  pending->deadline =
    now + std::chrono::milliseconds(aCall.head.timeout_ms) - kDeadlineMargin;
  pending->call = std::move(aCall);
  pending->done = std::move(aDone);
  mCalls[id] = pending;
  std::optional<error> refusal = CheckTarget(pending->call);
  if (refusal) {
    SendFailure(id, std::move(*refusal));
    return id;
  }
  admission_outcome outcome =
    mQueue.Offer(id, pending->call.head.caller, pending->deadline, now);
  for (admission_id evicted : outcome.evicted) {
    ++mCounters.shed;
    SendFailure(
      evicted,
      MakeError(error_kind::overloaded,
                "call was evicted from the queue by another caller's call"));
  }
  switch (outcome.decision) {
    case admission_decision::run:
      Dispatch(id);
      break;
    case admission_decision::queued:
      break;
    case admission_decision::shed:
      ++mCounters.shed;
      SendFailure(
        id,
        MakeError(error_kind::overloaded,
                  "upstream queue is full or the deadline cannot be met"));
      break;
  }
  return id;
}

void
last_hop::Dispatch(admission_id aId)
{
  std::shared_ptr<pending_call> pending = mCalls.at(aId);
  time_point now = mClock.Now();
  const call_message& head = pending->call.head;
  if (!head.repeatable) {
    request_key_table::claim_status claimStatus =
      mDispatchedKeys.Claim(head.request_key, kAnySession, now);
    if (claimStatus != request_key_table::claim_status::claimed) {
      ++mCounters.duplicates;
      mQueue.Finish(head.caller, duration(0));
      bool full = claimStatus == request_key_table::claim_status::full;
      SendFailure(
        aId,
        full
          ? MakeError(error_kind::overloaded, "request key table is full")
          : MakeError(error_kind::duplicate_request,
                      "a call with this request key was already dispatched"));
      RunNext();
      return;
    }
  }
  ++pending->dispatch_count;
  ++mCounters.dispatched;
  CheckInvariant(invariant::single_dispatch,
                 head.repeatable || pending->dispatch_count == 1);
  pending->dispatched_at = now;
  duration timeLeft = pending->deadline - now;
  pending->upstream_call = mConnection->Start(
    ToHttpRequest(pending->call), timeLeft, [this, aId](http_result aResult) {
      OnUpstreamAnswer(aId, std::move(aResult));
    });
}

void
last_hop::OnUpstreamAnswer(admission_id aId, http_result aResult)
{
  auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  std::shared_ptr<pending_call> pending = found->second;
  duration elapsed = mClock.Now() - pending->dispatched_at;
  const call_message& head = pending->call.head;
  bool ran = aResult || aResult.error().execution_status == execution::unknown;
  mQueue.Finish(head.caller, ran ? elapsed : duration(0));
  if (!ran && !head.repeatable) {
    mDispatchedKeys.Release(head.request_key, kAnySession);
  }
  hop_answer answer;
  if (aResult) {
    answer.head.status = aResult->status;
    for (http_header& header : aResult->headers) {
      answer.head.headers.push_back(std::move(header));
    }
    answer.body = std::move(aResult->body);
  } else {
    answer.head.failure = std::move(aResult.error());
  }
  answer.head.service_us = static_cast<std::uint64_t>(elapsed.count());
  answer.head.warming = mClock.Now() < mUpstream.warm_up_until;
  SendAnswer(aId, std::move(answer));
  RunNext();
}

void
last_hop::RunNext()
{
  while (true) {
    admission_queue::next_result next = mQueue.StartNext(mClock.Now());
    for (admission_id expired : next.expired) {
      ++mCounters.shed;
      SendFailure(expired,
                  MakeError(error_kind::overloaded,
                            "queued call can no longer meet its deadline"));
    }
    if (!next.run) {
      return;
    }
    Dispatch(*next.run);
  }
}

void
last_hop::Tick()
{
  RunNext();
}

void
last_hop::Cancel(admission_id aCall)
{
  auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  ++mCounters.cancelled;
  std::shared_ptr<pending_call> pending = found->second;
  mCalls.erase(found);
  if (mQueue.RemoveQueued(aCall)) {
    return;
  }
  if (pending->upstream_call != nullptr) {
    pending->upstream_call->Cancel();
  }
  mQueue.Finish(pending->call.head.caller, duration(0));
  RunNext();
}

void
last_hop::SendAnswer(admission_id aId, hop_answer aAnswer)
{
  auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  std::shared_ptr<pending_call> pending = found->second;
  mCalls.erase(found);
  aAnswer.head.id = pending->call.head.id;
  aAnswer.head.body_bytes = aAnswer.body.size();
  aAnswer.head.load = Load();
  bool reportsNotRun =
    aAnswer.IsFailure() &&
    aAnswer.head.failure.execution_status == execution::not_run;
  bool mayHaveRun =
    pending->dispatch_count > 0 &&
    aAnswer.head.failure.kind != error_kind::upstream_unreachable &&
    aAnswer.head.failure.kind != error_kind::overloaded &&
    aAnswer.head.failure.kind != error_kind::deadline_exceeded;
  CheckInvariant(invariant::not_run_is_true, !(reportsNotRun && mayHaveRun));
  pending->done(std::move(aAnswer));
}

void
last_hop::SendFailure(admission_id aId, error aFailure)
{
  SendAnswer(aId, MakeFailedAnswer(std::move(aFailure)));
}

} // namespace eelgrasstrack
