#include "peer/codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/status-class.h"
#include "wire/message.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

struct kind_row
{
  std::string_view name;
  std::string_view code;
  bool call_traffic;
};

// In the order of the alternatives of `peer_message`.
constexpr std::array<kind_row, kPeerMessageKinds> kKinds{ {
  { "hello", "h", false },
  { "ping", "p", false },
  { "pong", "o", false },
  { "member_facts", "m", false },
  { "member_sync", "s", false },
  { "config_request", "r", false },
  { "config_announce", "n", false },
  { "config_delta", "d", false },
  { "config_whole", "w", false },
  { "rollout_facts", "f", false },
  { "evidence", "e", false },
  { "evidence_ack", "k", false },
  { "call", "c", true },
  { "answer", "a", true },
  { "body", "b", true },
  { "cancel", "x", true },
  { "claim", "q", true },
  { "claim_answer", "u", true },
} };

/// Limit for the age of a peer's knowledge of the store.
constexpr std::chrono::milliseconds kMaxStoreAge = std::chrono::hours(24);

json
Encode(const state_digest& aDigest)
{
  json fields = { aDigest.config_version,
                  aDigest.member_hash,
                  aDigest.rollout_hash,
                  aDigest.version_is_floor ? 1 : 0 };
  if (aDigest.store_age) {
    fields.push_back(Milliseconds(*aDigest.store_age));
  }
  return fields;
}

state_digest
DecodeDigest(const json& aValue)
{
  state_digest digest{ aValue.at(0).get<std::uint64_t>(),
                       aValue.at(1).get<std::uint64_t>(),
                       aValue.at(2).get<std::uint64_t>(),
                       aValue.at(3).get<int>() != 0,
                       std::nullopt };
  // Nodes of earlier versions do not send the age.
  if (aValue.size() > 4) {
    std::uint64_t age = aValue.at(4).get<std::uint64_t>();
    digest.store_age = std::chrono::milliseconds(std::min<std::uint64_t>(
      age, static_cast<std::uint64_t>(kMaxStoreAge.count())));
  }
  return digest;
}

json
Encode(const member_record& aRecord)
{
  json fields = { aRecord.node,        aRecord.domain,   aRecord.region,
                  aRecord.incarnation, aRecord.sequence, aRecord.state };
  if (aRecord.upstream) {
    fields.push_back(aRecord.upstream->service);
    fields.push_back(aRecord.upstream->version);
    fields.push_back(aRecord.upstream->slots);
    fields.push_back(aRecord.upstream->leaving);
  }
  return fields;
}

member_record
DecodeMember(const json& aValue)
{
  member_record record;
  record.node = aValue.at(0).get<std::string>();
  record.domain = aValue.at(1).get<std::string>();
  record.region = aValue.at(2).get<std::string>();
  record.incarnation = aValue.at(3).get<std::uint64_t>();
  record.sequence = aValue.at(4).get<std::uint64_t>();
  unsigned state = aValue.at(5).get<unsigned>();
  if (state > static_cast<unsigned>(member_state::left)) {
    throw json::other_error::create(
      599, "member record: unknown state", nullptr);
  }
  record.state = static_cast<member_state>(state);
  if (aValue.size() > 6) {
    record.upstream = upstream_record{ aValue.at(6).get<std::string>(),
                                       aValue.at(7).get<std::string>(),
                                       aValue.at(8).get<std::uint32_t>(),
                                       aValue.at(9).get<bool>() };
  }
  return record;
}

json
Encode(const std::vector<member_record>& aRecords)
{
  json list = json::array();
  for (const member_record& record : aRecords) {
    list.push_back(Encode(record));
  }
  return list;
}

json
Encode(const std::vector<config_document>& aDocuments)
{
  json list = json::array();
  for (const config_document& document : aDocuments) {
    list.push_back({ document.key, document.text });
  }
  return list;
}

std::vector<config_document>
DecodeDocuments(const json& aValue)
{
  std::vector<config_document> documents;
  for (const json& item : aValue) {
    documents.push_back(
      { item.at(0).get<std::string>(), item.at(1).get<std::string>() });
  }
  return documents;
}

json
Encode(const rollout_state& aState)
{
  return {
    aState.id,       aState.share,   aState.halted,          aState.halt_reason,
    aState.complete, aState.ejected, aState.callers_exposed, aState.callers_hurt
  };
}

rollout_state
DecodeRolloutState(const json& aValue)
{
  rollout_state state;
  state.id = aValue.at(0).get<std::string>();
  state.share = std::min(aValue.at(1).get<std::uint32_t>(), kFullShare);
  state.halted = aValue.at(2).get<bool>();
  state.halt_reason = aValue.at(3).get<std::string>();
  state.complete = aValue.at(4).get<bool>();
  state.ejected = aValue.at(5).get<std::set<std::string>>();
  state.callers_exposed = aValue.at(6).get<std::uint64_t>();
  state.callers_hurt = aValue.at(7).get<std::uint64_t>();
  return state;
}

json
Encode(const outcome_counts& aCounts)
{
  return { aCounts.trials, aCounts.failures, aCounts.timed, aCounts.slow };
}

outcome_counts
DecodeCounts(const json& aValue)
{
  return { aValue.at(0).get<std::uint32_t>(),
           aValue.at(1).get<std::uint32_t>(),
           aValue.at(2).get<std::uint32_t>(),
           aValue.at(3).get<std::uint32_t>() };
}

json
Encode(const evidence_window& aWindow)
{
  json instances = json::array();
  for (const instance_counts& instance : aWindow.instances) {
    instances.push_back({ instance.node, Encode(instance.counts) });
  }
  return { aWindow.route,
           aWindow.trial_share,
           aWindow.timed_share,
           Encode(aWindow.old_version),
           Encode(aWindow.new_version),
           std::move(instances) };
}

evidence_window
DecodeWindow(const json& aValue)
{
  evidence_window window;
  window.route = aValue.at(0).get<std::string>();
  window.trial_share = std::min(aValue.at(1).get<std::uint32_t>(), kFullShare);
  window.timed_share = std::min(aValue.at(2).get<std::uint32_t>(), kFullShare);
  window.old_version = DecodeCounts(aValue.at(3));
  window.new_version = DecodeCounts(aValue.at(4));
  for (const json& item : aValue.at(5)) {
    window.instances.push_back(
      { item.at(0).get<std::string>(), DecodeCounts(item.at(1)) });
  }
  return window;
}

json
Encode(const evidence_totals& aTotals)
{
  return { aTotals.old_trials,   aTotals.new_trials,
           aTotals.busy_us,      aTotals.covered_ms,
           aTotals.callers,      aTotals.callers_exposed,
           aTotals.callers_hurt, aTotals.callers_with_events };
}

evidence_totals
DecodeTotals(const json& aValue)
{
  return {
    aValue.at(0).get<std::uint64_t>(), aValue.at(1).get<std::uint64_t>(),
    aValue.at(2).get<std::uint64_t>(), aValue.at(3).get<std::uint64_t>(),
    aValue.at(4).get<std::uint64_t>(), aValue.at(5).get<std::uint64_t>(),
    aValue.at(6).get<std::uint64_t>(), aValue.at(7).get<std::uint64_t>()
  };
}

json
Encode(const http_headers& aHeaders)
{
  json list = json::array();
  for (const http_header& header : aHeaders) {
    list.push_back(header.name);
    list.push_back(header.value);
  }
  return list;
}

http_headers
DecodeHeaders(const json& aValue)
{
  http_headers headers;
  for (std::size_t i = 0; i + 1 < aValue.size(); i += 2) {
    headers.push_back(
      { aValue.at(i).get<std::string>(), aValue.at(i + 1).get<std::string>() });
  }
  return headers;
}

json
Fields(const hello_message& aMessage)
{
  return { Encode(aMessage.self), Encode(aMessage.digest) };
}

json
Fields(const ping_message& aMessage)
{
  return { aMessage.sequence, Encode(aMessage.digest) };
}

json
Fields(const pong_message& aMessage)
{
  return { aMessage.sequence, Encode(aMessage.digest) };
}

json
Fields(const member_facts_message& aMessage)
{
  json fields = json::array();
  fields.push_back(Encode(aMessage.records));
  if (aMessage.is_sync_reply) {
    fields.push_back(1);
  }
  return fields;
}

json
Fields(const member_sync_message& aMessage)
{
  return json::array({ aMessage.buckets });
}

json
Fields(const config_request_message& aMessage)
{
  return json::array({ aMessage.have_version });
}

json
Fields(const config_announce_message& aMessage)
{
  return json::array({ aMessage.version });
}

json
Fields(const config_delta_message& aMessage)
{
  const config_delta& delta = aMessage.delta;
  return { delta.from_version,
           delta.to_version,
           delta.to_hash,
           Encode(delta.changed),
           delta.removed };
}

json
Fields(const config_whole_message& aMessage)
{
  return { aMessage.version, aMessage.hash, Encode(aMessage.documents) };
}

json
Fields(const rollout_facts_message& aMessage)
{
  json list = json::array();
  for (const rollout_state& state : aMessage.states) {
    list.push_back(Encode(state));
  }
  json fields = json::array();
  fields.push_back(std::move(list));
  return fields;
}

json
Fields(const evidence_message& aMessage)
{
  const evidence_report& report = aMessage.report;
  json windows = json::array();
  for (const evidence_window& window : report.windows) {
    windows.push_back(Encode(window));
  }
  return { report.rollout,       report.reporter,    report.incarnation,
           report.first_window,  std::move(windows), report.report_number,
           Encode(report.totals) };
}

json
Fields(const evidence_ack_message& aMessage)
{
  return { aMessage.rollout, aMessage.incarnation, aMessage.next_window };
}

json
Fields(const call_message& aMessage)
{
  return { aMessage.id,
           aMessage.target_incarnation,
           aMessage.route,
           aMessage.service,
           aMessage.version,
           aMessage.caller,
           aMessage.request_key,
           aMessage.repeatable,
           aMessage.timeout_ms,
           aMessage.method,
           aMessage.path,
           aMessage.query,
           Encode(aMessage.headers),
           aMessage.body_bytes };
}

json
Fields(const answer_message& aMessage)
{
  return { aMessage.id,
           aMessage.status,
           NameOf(aMessage.failure.kind),
           aMessage.failure.message,
           aMessage.failure.execution_status == execution::not_run,
           Encode(aMessage.headers),
           aMessage.body_bytes,
           aMessage.service_us,
           aMessage.warming,
           aMessage.load.busy,
           aMessage.load.queued };
}

json
Fields(const body_message& aMessage)
{
  return { aMessage.id, aMessage.belongs_to_answer };
}

json
Fields(const cancel_message& aMessage)
{
  return json::array({ aMessage.id });
}

json
Fields(const claim_message& aMessage)
{
  return {
    aMessage.id, aMessage.request_key, aMessage.session_id, aMessage.release
  };
}

json
Fields(const claim_answer_message& aMessage)
{
  return { aMessage.id, aMessage.granted };
}

peer_message
DecodeHello(const json& aFields)
{
  return hello_message{ DecodeMember(aFields.at(1)),
                        DecodeDigest(aFields.at(2)) };
}

peer_message
DecodePing(const json& aFields)
{
  return ping_message{ aFields.at(1).get<std::uint64_t>(),
                       DecodeDigest(aFields.at(2)) };
}

peer_message
DecodePong(const json& aFields)
{
  return pong_message{ aFields.at(1).get<std::uint64_t>(),
                       DecodeDigest(aFields.at(2)) };
}

peer_message
DecodeMemberFacts(const json& aFields)
{
  member_facts_message message;
  for (const json& item : aFields.at(1)) {
    message.records.push_back(DecodeMember(item));
  }
  message.is_sync_reply = aFields.size() > 2;
  return message;
}

peer_message
DecodeMemberSync(const json& aFields)
{
  return member_sync_message{ aFields.at(1).get<bucket_hashes>() };
}

peer_message
DecodeConfigRequest(const json& aFields)
{
  return config_request_message{ aFields.at(1).get<std::uint64_t>() };
}

peer_message
DecodeConfigAnnounce(const json& aFields)
{
  return config_announce_message{ aFields.at(1).get<std::uint64_t>() };
}

peer_message
DecodeConfigDelta(const json& aFields)
{
  config_delta delta;
  delta.from_version = aFields.at(1).get<std::uint64_t>();
  delta.to_version = aFields.at(2).get<std::uint64_t>();
  delta.to_hash = aFields.at(3).get<std::uint64_t>();
  delta.changed = DecodeDocuments(aFields.at(4));
  delta.removed = aFields.at(5).get<std::vector<std::string>>();
  return config_delta_message{ std::move(delta) };
}

peer_message
DecodeConfigWhole(const json& aFields)
{
  return config_whole_message{ aFields.at(1).get<std::uint64_t>(),
                               aFields.at(2).get<std::uint64_t>(),
                               DecodeDocuments(aFields.at(3)) };
}

peer_message
DecodeRolloutFacts(const json& aFields)
{
  rollout_facts_message message;
  for (const json& item : aFields.at(1)) {
    message.states.push_back(DecodeRolloutState(item));
  }
  return message;
}

peer_message
DecodeEvidence(const json& aFields)
{
  evidence_report report;
  report.rollout = aFields.at(1).get<std::string>();
  report.reporter = aFields.at(2).get<std::string>();
  report.incarnation = aFields.at(3).get<std::uint64_t>();
  report.first_window = aFields.at(4).get<std::uint64_t>();
  for (const json& item : aFields.at(5)) {
    report.windows.push_back(DecodeWindow(item));
  }
  report.report_number = aFields.at(6).get<std::uint64_t>();
  report.totals = DecodeTotals(aFields.at(7));
  return evidence_message{ std::move(report) };
}

peer_message
DecodeEvidenceAck(const json& aFields)
{
  return evidence_ack_message{ aFields.at(1).get<std::string>(),
                               aFields.at(2).get<std::uint64_t>(),
                               aFields.at(3).get<std::uint64_t>() };
}

peer_message
DecodeCall(const json& aFields)
{
  call_message call;
  call.id = aFields.at(1).get<std::uint64_t>();
  call.target_incarnation = aFields.at(2).get<std::uint64_t>();
  call.route = aFields.at(3).get<std::string>();
  call.service = aFields.at(4).get<std::string>();
  call.version = aFields.at(5).get<std::string>();
  call.caller = aFields.at(6).get<std::string>();
  call.request_key = aFields.at(7).get<std::string>();
  call.repeatable = aFields.at(8).get<bool>();
  call.timeout_ms = aFields.at(9).get<std::uint64_t>();
  call.method = aFields.at(10).get<std::string>();
  call.path = aFields.at(11).get<std::string>();
  call.query = aFields.at(12).get<std::string>();
  call.headers = DecodeHeaders(aFields.at(13));
  call.body_bytes = aFields.at(14).get<std::uint64_t>();
  return call;
}

/// Marks a decoded answer whose status is not valid.
constexpr int kInvalidStatus = -1;

bool
AreValid(const http_headers& aHeaders)
{
  return std::all_of(
    aHeaders.begin(), aHeaders.end(), [](const http_header& aHeader) {
      return IsValidField(aHeader.name, aHeader.value);
    });
}

/// Decodes the status of an answer, 0 if the call failed.
int
DecodeStatus(const json& aValue)
{
  if (!aValue.is_number_integer()) {
    return kInvalidStatus;
  }
  auto number = aValue.get<std::int64_t>();
  bool valid = number == 0 || status::IsFinal(number);
  return valid ? static_cast<int>(number) : kInvalidStatus;
}

peer_message
DecodeAnswer(const json& aFields)
{
  answer_message answer;
  answer.id = aFields.at(1).get<std::uint64_t>();
  answer.status = DecodeStatus(aFields.at(2));
  answer.failure.kind = ErrorKindFromName(aFields.at(3).get<std::string>())
                          .value_or(error_kind::internal);
  answer.failure.message = aFields.at(4).get<std::string>();
  answer.failure.execution_status =
    aFields.at(5).get<bool>() ? execution::not_run : execution::unknown;
  answer.headers = DecodeHeaders(aFields.at(6));
  answer.body_bytes = aFields.at(7).get<std::uint64_t>();
  answer.service_us = aFields.at(8).get<std::uint64_t>();
  answer.warming = aFields.at(9).get<bool>();
  answer.load.busy = aFields.at(10).get<std::uint32_t>();
  answer.load.queued = aFields.at(11).get<std::uint32_t>();
  return answer;
}

peer_message
DecodeBody(const json& aFields)
{
  return body_message{ aFields.at(1).get<std::uint64_t>(),
                       aFields.at(2).get<bool>(),
                       {} };
}

peer_message
DecodeCancel(const json& aFields)
{
  return cancel_message{ aFields.at(1).get<std::uint64_t>() };
}

peer_message
DecodeClaim(const json& aFields)
{
  return claim_message{ aFields.at(1).get<std::uint64_t>(),
                        aFields.at(2).get<std::string>(),
                        aFields.at(3).get<std::uint64_t>(),
                        aFields.at(4).get<bool>() };
}

peer_message
DecodeClaimAnswer(const json& aFields)
{
  return claim_answer_message{ aFields.at(1).get<std::uint64_t>(),
                               aFields.at(2).get<bool>() };
}

using decoder = peer_message (*)(const json&);

// In the order of the alternatives of `peer_message`.
constexpr std::array<decoder, kPeerMessageKinds> kDecoders{
  DecodeHello,          DecodePing,        DecodePong,
  DecodeMemberFacts,    DecodeMemberSync,  DecodeConfigRequest,
  DecodeConfigAnnounce, DecodeConfigDelta, DecodeConfigWhole,
  DecodeRolloutFacts,   DecodeEvidence,    DecodeEvidenceAck,
  DecodeCall,           DecodeAnswer,      DecodeBody,
  DecodeCancel,         DecodeClaim,       DecodeClaimAnswer,
};

std::size_t
IndexOfCode(std::string_view aCode)
{
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    if (kKinds[i].code == aCode) {
      return i;
    }
  }
  return kKinds.size();
}

} // namespace

std::string_view
MessageKindName(std::size_t aIndex)
{
  return kKinds[aIndex].name;
}

bool
IsCallTraffic(std::size_t aIndex)
{
  return kKinds[aIndex].call_traffic;
}

std::string
EncodeMessage(const peer_message& aMessage)
{
  json frame =
    std::visit([](const auto& aKind) { return Fields(aKind); }, aMessage);
  frame.insert(frame.begin(), kKinds[aMessage.index()].code);
  std::string text = frame.dump(-1, ' ', false, json::error_handler_t::replace);
  if (const auto* body = std::get_if<body_message>(&aMessage)) {
    text += '\n';
    text += body->bytes;
  }
  return text;
}

result<peer_message>
DecodeMessage(std::string_view aFrame)
{
  // JSON escapes line feeds inside strings, so the first one ends the array.
  std::size_t end = aFrame.find('\n');
  try {
    json fields = json::parse(aFrame.substr(0, end));
    std::size_t index = IndexOfCode(fields.at(0).get<std::string>());
    if (index == kKinds.size()) {
      return Fail(error_kind::invalid_argument,
                  "peer message: unknown kind code");
    }
    peer_message message = kDecoders[index](fields);
    if (auto* body = std::get_if<body_message>(&message)) {
      if (end == std::string_view::npos) {
        return Fail(error_kind::invalid_argument,
                    "body message: no line feed before the bytes");
      }
      body->bytes = std::string(aFrame.substr(end + 1));
    }
    const auto* answer = std::get_if<answer_message>(&message);
    if (answer != nullptr && answer->status == kInvalidStatus) {
      return Fail(error_kind::invalid_argument,
                  "answer message: invalid status");
    }
    if (answer != nullptr && !AreValid(answer->headers)) {
      return Fail(error_kind::invalid_argument,
                  "answer message: invalid header field");
    }
    return message;
  } catch (const json::exception& problem) {
    return Fail(error_kind::invalid_argument,
                "invalid peer message: " + std::string(problem.what()));
  }
}

} // namespace eelgrasstrack
