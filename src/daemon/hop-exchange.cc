#include "daemon/hop-exchange.h"

#include <algorithm>

#include "base/invariant.h"
#include "base/log.h"

namespace eelgrasstrack {

namespace {

/// Maximum size of one part of a body. Bodies are split so that a large body
/// does not delay the messages behind it.
constexpr std::size_t kBodyPartBytes = 32768;

/// Logs a protocol violation and closes the link.
void
RejectAndClose(const link_ptr& aLink, const char* aReason)
{
  LogEvent(log_level::warning,
           "peer_call_refused",
           { { "node", aLink->node }, { "reason", aReason } });
  aLink->Close();
}

} // namespace

hop_exchange::hop_exchange(loop& aLoop,
                           node_id aSelf,
                           last_hop& aLastHop,
                           std::size_t aMaxBodyBytes)
  : mLoop(aLoop)
  , mSelf(std::move(aSelf))
  , mLastHop(aLastHop)
  , mMaxBodyBytes(aMaxBodyBytes)
{
}

hop_token
hop_exchange::Send(const node_id& aNode,
                   hop_call aCall,
                   duration aTimeout,
                   hop_callback aDone)
{
  hop_token token = mNextToken++;
  outgoing_call& outgoing = mOutgoing[token];
  outgoing.done = std::move(aDone);
  outgoing.timer = mLoop.RunAfter(aTimeout, [this, token] {
    auto found = mOutgoing.find(token);
    if (found == mOutgoing.end()) {
      return;
    }
    if (found->second.link != nullptr) {
      mSwitch->SendOn(found->second.link, cancel_message{ token });
    }
    FinishWithError(token,
                    error{ error_kind::deadline_exceeded,
                           "the last hop sent no answer before the deadline",
                           execution::unknown });
  });
  aCall.head.id = token;
  if (aNode == mSelf) {
    SendLocal(token, std::move(aCall));
    return token;
  }
  outgoing.link = mSwitch->LinkTo(aNode);
  std::string body = std::move(aCall.body);
  mSwitch->SendOn(outgoing.link, aCall.head);
  SendBody(outgoing.link, token, false, body);
  return token;
}

void
hop_exchange::SendLocal(hop_token aToken, hop_call aCall)
{
  auto call = std::make_shared<hop_call>(std::move(aCall));
  mLoop.RunAfter(duration(0), [this, aToken, call] {
    if (mOutgoing.count(aToken) == 0) {
      return;
    }
    admission_id admission =
      mLastHop.Handle(std::move(*call), [this, aToken](hop_answer aAnswer) {
        Finish(aToken, std::move(aAnswer));
      });
    auto found = mOutgoing.find(aToken);
    if (found != mOutgoing.end()) {
      found->second.local_admission = admission;
    }
  });
}

void
hop_exchange::SendBody(const link_ptr& aLink,
                       std::uint64_t aId,
                       bool aIsAnswer,
                       const std::string& aBody)
{
  for (std::size_t at = 0; at < aBody.size(); at += kBodyPartBytes) {
    mSwitch->SendOn(
      aLink, body_message{ aId, aIsAnswer, aBody.substr(at, kBodyPartBytes) });
  }
}

void
hop_exchange::Cancel(hop_token aToken)
{
  auto found = mOutgoing.find(aToken);
  if (found == mOutgoing.end()) {
    return;
  }
  outgoing_call outgoing = std::move(found->second);
  mOutgoing.erase(found);
  mLoop.Cancel(outgoing.timer);
  if (outgoing.link != nullptr) {
    mSwitch->SendOn(outgoing.link, cancel_message{ aToken });
  } else if (outgoing.local_admission != 0) {
    mLastHop.Cancel(outgoing.local_admission);
  }
}

void
hop_exchange::Finish(hop_token aToken, hop_answer aAnswer)
{
  auto found = mOutgoing.find(aToken);
  if (found == mOutgoing.end()) {
    return;
  }
  CheckInvariant(invariant::answer_matches_request, aAnswer.head.id == aToken);
  outgoing_call outgoing = std::move(found->second);
  mOutgoing.erase(found);
  mLoop.Cancel(outgoing.timer);
  outgoing.done(std::move(aAnswer));
}

void
hop_exchange::FinishWithError(hop_token aToken, error aFailure)
{
  hop_answer answer;
  answer.head.id = aToken;
  answer.head.failure = std::move(aFailure);
  answer.from_last_hop = false;
  Finish(aToken, std::move(answer));
}

void
hop_exchange::OnMessage(const link_ptr& aLink, peer_message& aMessage)
{
  if (auto* call = std::get_if<call_message>(&aMessage)) {
    Receive(aLink, *call);
  } else if (auto* answer = std::get_if<answer_message>(&aMessage)) {
    Receive(aLink, *answer);
  } else if (auto* body = std::get_if<body_message>(&aMessage)) {
    Receive(aLink, *body);
  } else if (auto* cancel = std::get_if<cancel_message>(&aMessage)) {
    Receive(aLink, *cancel);
  }
}

void
hop_exchange::Receive(const link_ptr& aLink, call_message& aMessage)
{
  incoming_key key{ aLink.get(), aMessage.id };
  if (aMessage.body_bytes > mMaxBodyBytes || mIncoming.count(key) != 0) {
    RejectAndClose(aLink,
                   "call: id is in use or body is larger than the limit");
    return;
  }
  incoming_call& incoming = mIncoming[key];
  incoming.arrived_at = mLoop.Now();
  incoming.call.head = std::move(aMessage);
  SubmitIfComplete(aLink, key);
}

void
hop_exchange::SubmitIfComplete(const link_ptr& aLink, const incoming_key& aKey)
{
  incoming_call& incoming = mIncoming.at(aKey);
  if (incoming.call.body.size() < incoming.call.head.body_bytes) {
    return;
  }
  incoming.submitted = true;
  std::uint64_t id = aKey.id;
  auto waited =
    static_cast<std::uint64_t>(Milliseconds(mLoop.Now() - incoming.arrived_at));
  std::uint64_t& timeout = incoming.call.head.timeout_ms;
  timeout -= std::min(timeout, waited);
  admission_id admission = mLastHop.Handle(
    std::move(incoming.call), [this, aLink, id](hop_answer aAnswer) {
      SendAnswer(aLink, id, std::move(aAnswer));
    });
  auto found = mIncoming.find(aKey);
  if (found != mIncoming.end()) {
    found->second.admission = admission;
  }
}

void
hop_exchange::SendAnswer(const link_ptr& aLink,
                         std::uint64_t aId,
                         hop_answer aAnswer)
{
  mIncoming.erase(incoming_key{ aLink.get(), aId });
  if (!aLink->IsOpen()) {
    return;
  }
  aAnswer.head.id = aId;
  std::string body = std::move(aAnswer.body);
  mSwitch->SendOn(aLink, aAnswer.head);
  SendBody(aLink, aId, true, body);
}

void
hop_exchange::Receive(const link_ptr& aLink, answer_message& aMessage)
{
  auto found = mOutgoing.find(aMessage.id);
  // Ignores late and repeated answers, and answers on another link than the one
  // that the call was sent on.
  if (found == mOutgoing.end() || found->second.link != aLink ||
      found->second.head_received) {
    return;
  }
  if (aMessage.body_bytes > mMaxBodyBytes) {
    FinishWithError(aMessage.id,
                    MakeError(error_kind::upstream_broken,
                              "answer body is larger than the limit"));
    return;
  }
  found->second.head_received = true;
  found->second.answer.head = std::move(aMessage);
  if (found->second.answer.head.body_bytes == 0) {
    Finish(found->first, std::move(found->second.answer));
  }
}

void
hop_exchange::Receive(const link_ptr& aLink, body_message& aMessage)
{
  if (!aMessage.belongs_to_answer) {
    incoming_key key{ aLink.get(), aMessage.id };
    auto found = mIncoming.find(key);
    if (found == mIncoming.end() || found->second.submitted) {
      return;
    }
    found->second.call.body += aMessage.bytes;
    SubmitIfComplete(aLink, key);
    return;
  }
  auto found = mOutgoing.find(aMessage.id);
  if (found == mOutgoing.end() || found->second.link != aLink ||
      !found->second.head_received) {
    return;
  }
  hop_answer& answer = found->second.answer;
  answer.body += aMessage.bytes;
  if (answer.body.size() < answer.head.body_bytes) {
    return;
  }
  if (answer.body.size() > answer.head.body_bytes) {
    RejectAndClose(aLink, "answer: body is longer than announced");
    return;
  }
  Finish(found->first, std::move(answer));
}

void
hop_exchange::Receive(const link_ptr& aLink, const cancel_message& aMessage)
{
  auto found = mIncoming.find(incoming_key{ aLink.get(), aMessage.id });
  if (found == mIncoming.end()) {
    return;
  }
  admission_id admission = found->second.admission;
  mIncoming.erase(found);
  if (admission != 0) {
    mLastHop.Cancel(admission);
  }
}

void
hop_exchange::OnLinkLost(const link_ptr& aLink, bool aWasOpen)
{
  std::vector<hop_token> lost;
  for (const auto& [token, outgoing] : mOutgoing) {
    if (outgoing.link == aLink) {
      lost.push_back(token);
    }
  }
  for (hop_token token : lost) {
    FinishWithError(
      token,
      error{ error_kind::peer_lost,
             "the link to " + aLink->node + " was lost",
             aWasOpen ? execution::unknown : execution::not_run });
  }
  std::vector<admission_id> abandoned;
  for (auto entry = mIncoming.begin(); entry != mIncoming.end();) {
    if (entry->first.link != aLink.get()) {
      ++entry;
      continue;
    }
    abandoned.push_back(entry->second.admission);
    entry = mIncoming.erase(entry);
  }
  for (admission_id admission : abandoned) {
    mLastHop.Cancel(admission);
  }
}

} // namespace eelgrasstrack
