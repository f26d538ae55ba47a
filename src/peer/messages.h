#ifndef EELGRASSTRACK_PEER_MESSAGES_H_
#define EELGRASSTRACK_PEER_MESSAGES_H_

#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "config/snapshot.h"
#include "http/message.h"
#include "membership/member-table.h"
#include "rollout/evidence.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

/// What a node holds, sent with each probe so that any difference shows.
struct state_digest
{
  std::uint64_t config_version = 0;
  std::uint64_t member_hash = 0;
  std::uint64_t rollout_hash = 0;
  /// A restarted node may take `config_version` as a lower bound of what its
  /// predecessor had in force.
  bool version_is_floor = false;

  bool operator==(const state_digest&) const = default;
};

/// First message in each direction of a link.
struct hello_message
{
  member_record self;
  state_digest digest;
};

struct ping_message
{
  std::uint64_t sequence = 0;
  state_digest digest;
};

struct pong_message
{
  std::uint64_t sequence = 0;
  state_digest digest;
};

struct member_facts_message
{
  std::vector<member_record> records;
  /// The answer to a comparison: known elsewhere already, so not spread on.
  bool is_sync_reply = false;
};

/// Asks for the records of those buckets whose hash differs.
struct member_sync_message
{
  bucket_hashes buckets{};
};

/// Asks for anything newer than `have_version`.
struct config_request_message
{
  std::uint64_t have_version = 0;
};

struct config_announce_message
{
  std::uint64_t version = 0;
};

struct config_delta_message
{
  config_delta delta;
};

struct config_whole_message
{
  std::uint64_t version = 0;
  std::uint64_t hash = 0;
  std::vector<config_document> documents;
};

struct rollout_facts_message
{
  std::vector<rollout_state> states;
};

struct evidence_message
{
  evidence_report report;
};

/// The collector has every window below `next_window`.
struct evidence_ack_message
{
  std::string rollout;
  std::uint64_t incarnation = 0;
  std::uint64_t next_window = 0;
};

/// A call on its way to the last hop. Its body follows in `body_message`s.
struct call_message
{
  std::uint64_t id = 0;
  /// Life of the target that the sender knows; another one refuses.
  std::uint64_t target_incarnation = 0;
  std::string route;
  std::string service;
  std::string version;
  std::string caller;
  /// Identity of the request, the same in every copy of it.
  std::string request_key;
  bool repeatable = false;
  std::uint64_t timeout_ms = 0;
  std::string method;
  std::string path;
  std::string query;
  http_headers headers;
  std::uint64_t body_bytes = 0;
};

/// How busy the last hop is.
struct load_hint
{
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
};

/// The head of an answer; its body follows in `body_message`s. Either `status`
/// is set or the call failed with `failure`.
struct answer_message
{
  std::uint64_t id = 0;
  int status = 0;
  error failure;
  http_headers headers;
  std::uint64_t body_bytes = 0;
  /// Time that the upstream took, without waiting at the last hop.
  std::uint64_t service_us = 0;
  /// The upstream is within its warm-up time.
  bool warming = false;
  load_hint load;
};

/// A part of a body, of a call or an answer.
struct body_message
{
  std::uint64_t id = 0;
  bool belongs_to_answer = false;
  std::string bytes;
};

struct cancel_message
{
  std::uint64_t id = 0;
};

/// Asks a witness whether a request key is new, or gives the key up.
struct claim_message
{
  std::uint64_t id = 0;
  std::string request_key;
  /// Tells the tries of one call from a repeated call.
  std::uint64_t session_id = 0;
  bool release = false;
};

struct claim_answer_message
{
  std::uint64_t id = 0;
  bool granted = false;
};

using peer_message = std::variant<hello_message,
                                  ping_message,
                                  pong_message,
                                  member_facts_message,
                                  member_sync_message,
                                  config_request_message,
                                  config_announce_message,
                                  config_delta_message,
                                  config_whole_message,
                                  rollout_facts_message,
                                  evidence_message,
                                  evidence_ack_message,
                                  call_message,
                                  answer_message,
                                  body_message,
                                  cancel_message,
                                  claim_message,
                                  claim_answer_message>;

inline constexpr std::size_t kPeerMessageKinds =
  std::variant_size_v<peer_message>;

/// Names of the kinds, in the order of `peer_message`.
std::string_view
MessageKindName(std::size_t aIndex);

/// Whether a kind belongs to calls rather than to control.
bool
IsCallTraffic(std::size_t aIndex);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PEER_MESSAGES_H_
