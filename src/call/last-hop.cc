#include "call/last-hop.h"

#include "base/invariant.h"

namespace eelgrasstrack {

namespace {

/// The last hop gives up this much before the first hop does, so that its
/// word, and not a silent link, ends the call.
constexpr duration kDeadlineMargin = std::chrono::milliseconds(5);

hop_answer
FailedAnswer(error aFailure)
{
  hop_answer answer;
  answer.head.failure = std::move(aFailure);
  return answer;
}

http_request
RequestOf(hop_call& aCall)
{
  http_request request;
  request.method = aCall.head.method;
  request.path = aCall.head.path;
  request.query = aCall.head.query;
  request.headers = aCall.head.headers;
  request.body = std::move(aCall.body);
  return request;
}

/// A key counts here whoever sent it.
constexpr std::uint64_t kAnySession = 0;

} // namespace

last_hop::last_hop(const clock_source& aClock, std::uint64_t aIncarnation)
  : mClock(aClock)
  , mIncarnation(aIncarnation)
  , mQueue(admission_limits{})
  , mDispatched(key_memory_options{})
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
  return { mQueue.Busy(), mQueue.Queued() };
}

std::optional<error>
last_hop::Refusal(const hop_call& aCall)
{
  if (aCall.head.target_incarnation != mIncarnation) {
    return error{ error_kind::no_upstream,
                  "the call was sent to an earlier life of this node",
                  execution::not_run };
  }
  bool serves = mConnection != nullptr && !mUpstream.leaving &&
                mUpstream.service == aCall.head.service &&
                mUpstream.version == aCall.head.version;
  if (!serves) {
    return error{ error_kind::no_upstream,
                  "no upstream of " + aCall.head.service + " " +
                    aCall.head.version + " takes work here",
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
  std::optional<error> refusal = Refusal(pending->call);
  if (refusal) {
    AnswerFailure(id, std::move(*refusal));
    return id;
  }
  admission_outcome outcome =
    mQueue.Offer(id, pending->call.head.caller, pending->deadline, now);
  for (admission_id evicted : outcome.evicted) {
    ++mCounters.shed;
    AnswerFailure(evicted,
                  MakeError(error_kind::overloaded,
                            "the queue went to another caller's calls"));
  }
  switch (outcome.verdict) {
    case admission::run:
      Dispatch(id);
      break;
    case admission::queued:
      break;
    case admission::shed:
      ++mCounters.shed;
      AnswerFailure(id,
                    MakeError(error_kind::overloaded,
                              "no room at the upstream before the deadline"));
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
    key_memory::verdict verdict =
      mDispatched.Take(head.request_key, kAnySession, now);
    if (verdict != key_memory::verdict::first) {
      ++mCounters.duplicates;
      mQueue.Finish(head.caller, duration(0));
      bool full = verdict == key_memory::verdict::full;
      AnswerFailure(
        aId,
        full ? MakeError(error_kind::overloaded,
                         "the memory of request keys is full")
             : MakeError(error_kind::duplicate_request,
                         "a call with this request key was dispatched before"));
      RunNext();
      return;
    }
  }
  ++pending->dispatches;
  ++mCounters.dispatched;
  CheckInvariant(invariant::single_dispatch,
                 head.repeatable || pending->dispatches == 1);
  pending->dispatched = now;
  duration left = pending->deadline - now;
  pending->running = mConnection->Start(
    RequestOf(pending->call), left, [this, aId](http_result aResult) {
      Finished(aId, std::move(aResult));
    });
}

void
last_hop::Finished(admission_id aId, http_result aResult)
{
  auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  std::shared_ptr<pending_call> pending = found->second;
  duration took = mClock.Now() - pending->dispatched;
  const call_message& head = pending->call.head;
  bool ran = aResult || aResult.error().execution_status == execution::unknown;
  mQueue.Finish(head.caller, ran ? took : duration(0));
  if (!ran && !head.repeatable) {
    mDispatched.Release(head.request_key, kAnySession);
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
  answer.head.service_us = static_cast<std::uint64_t>(took.count());
  answer.head.warming = mClock.Now() < mUpstream.warm_at;
  Answer(aId, std::move(answer));
  RunNext();
}

void
last_hop::RunNext()
{
  while (true) {
    admission_queue::next_call next = mQueue.Next(mClock.Now());
    for (admission_id expired : next.expired) {
      ++mCounters.shed;
      AnswerFailure(expired,
                    MakeError(error_kind::overloaded,
                              "the deadline can't be met any more"));
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
  if (mQueue.Withdraw(aCall)) {
    return;
  }
  if (pending->running != nullptr) {
    pending->running->Cancel();
  }
  mQueue.Finish(pending->call.head.caller, duration(0));
  RunNext();
}

void
last_hop::Answer(admission_id aId, hop_answer aAnswer)
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
  bool claimsNotRun =
    aAnswer.Failed() &&
    aAnswer.head.failure.execution_status == execution::not_run;
  bool mayHaveRun =
    pending->dispatches > 0 &&
    aAnswer.head.failure.kind != error_kind::upstream_unreachable &&
    aAnswer.head.failure.kind != error_kind::overloaded &&
    aAnswer.head.failure.kind != error_kind::deadline_exceeded;
  CheckInvariant(invariant::not_run_is_true, !(claimsNotRun && mayHaveRun));
  pending->done(std::move(aAnswer));
}

void
last_hop::AnswerFailure(admission_id aId, error aFailure)
{
  Answer(aId, FailedAnswer(std::move(aFailure)));
}

} // namespace eelgrasstrack
