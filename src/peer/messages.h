#ifndef EELGRASSTRACK_PEER_MESSAGES_H_
#define EELGRASSTRACK_PEER_MESSAGES_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "config/snapshot.h"
#include "http/message.h"
#include "membership/member-table.h"
#include "rollout/evidence.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

/// Versions and hashes of a node's state. Sent with each probe so that peers
/// detect any difference.
struct state_digest
{
  std::uint64_t config_version = 0;
  std::uint64_t member_hash = 0;
  std::uint64_t rollout_hash = 0;
  /// Whether a restarted node may use `config_version` as a lower bound of the
  /// version that was in force before its restart.
  bool version_is_floor = false;
  /// How long ago the store is known to have held no later version than
  /// `config_version`; nothing if the sender does not know.
  std::optional<duration> store_age;

  bool operator==(const state_digest&) const = default;
};

/// First message in each direction of a link.
struct hello_message
{
  member_record self;
  state_digest digest;
};

/// Probes a peer.
struct ping_message
{
  std::uint64_t sequence = 0;
  state_digest digest;
};

/// Answers a `ping_message` with the same sequence number.
struct pong_message
{
  std::uint64_t sequence = 0;
  state_digest digest;
};

/// Member records that the receiver merges into its table.
struct member_facts_message
{
  std::vector<member_record> records;
  /// The records answer a `member_sync_message`. Other nodes know them already,
  /// so the receiver does not forward them.
  bool is_sync_reply = false;
};

/// Requests the records of all buckets whose hash differs from `buckets`.
struct member_sync_message
{
  bucket_hashes buckets{};
};

/// Requests any configuration newer than `have_version`.
struct config_request_message
{
  std::uint64_t have_version = 0;
};

/// Announces the configuration version of the sender.
struct config_announce_message
{
  std::uint64_t version = 0;
};

/// The changes between two configuration versions.
struct config_delta_message
{
  config_delta delta;
};

/// A complete configuration.
struct config_whole_message
{
  std::uint64_t version = 0;
  std::uint64_t hash = 0;
  std::vector<config_document> documents;
};

/// States of rollouts.
struct rollout_facts_message
{
  std::vector<rollout_state> states;
};

/// Reports evidence to the collector of a rollout.
struct evidence_message
{
  evidence_report report;
};

/// Confirms that the collector has received every window below `next_window`.
struct evidence_ack_message
{
  std::string rollout;
  std::uint64_t incarnation = 0;
  std::uint64_t next_window = 0;
};

/// A call sent to the last hop. Its body follows in `body_message`s.
struct call_message
{
  std::uint64_t id = 0;
  /// Incarnation of the target that the sender knows. A target with another
  /// incarnation refuses the call.
  std::uint64_t target_incarnation = 0;
  std::string route;
  std::string service;
  std::string version;
  std::string caller;
  /// Identifies the request; the same in every copy of it.
  std::string request_key;
  bool repeatable = false;
  std::uint64_t timeout_ms = 0;
  std::string method;
  std::string path;
  std::string query;
  http_headers headers;
  std::uint64_t body_bytes = 0;
};

/// Load of the last hop: running calls and queued calls.
struct load_hint
{
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
};

/// The head of an answer. Its body follows in `body_message`s. Either `status`
/// is set or the call failed with `failure`.
struct answer_message
{
  std::uint64_t id = 0;
  int status = 0;
  error failure;
  http_headers headers;
  std::uint64_t body_bytes = 0;
  /// Time that the upstream took, in microseconds, without the time in the
  /// queue of the last hop.
  std::uint64_t service_us = 0;
  /// The upstream is within its warm-up time.
  bool warming = false;
  load_hint load;
};

/// A part of the body of a call or an answer.
struct body_message
{
  std::uint64_t id = 0;
  bool belongs_to_answer = false;
  std::string bytes;
};

/// Cancels a call.
struct cancel_message
{
  std::uint64_t id = 0;
};

/// Claims a request key at a witness node, or releases the key.
struct claim_message
{
  std::uint64_t id = 0;
  std::string request_key;
  /// The same in every claim of one call; distinguishes them from the claims of
  /// a duplicate.
  std::uint64_t session_id = 0;
  bool release = false;
};

/// Reports whether the witness node granted a claim.
struct claim_answer_message
{
  std::uint64_t id = 0;
  bool granted = false;
};

/// A message between two nodes.
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

/// Returns the name of a message kind by its position in `peer_message`.
std::string_view
MessageKindName(std::size_t aIndex);

/// Returns whether a message kind belongs to calls, not to control traffic.
bool
IsCallTraffic(std::size_t aIndex);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PEER_MESSAGES_H_
