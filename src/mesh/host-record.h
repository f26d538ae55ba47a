#ifndef EELGRASSTRACK_MESH_HOST_RECORD_H_
#define EELGRASSTRACK_MESH_HOST_RECORD_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "http/message.h"
#include "proxy/crash-count.h"

namespace eelgrasstrack {

/// Lifecycle state of an instance.
enum class instance_state
{
  /// No instance, or its state is unknown.
  absent,
  /// Accepts requests.
  ready,
  /// Finishes running requests and accepts no new ones.
  draining,
  /// Has announced its exit, or has exited.
  gone,
};

/// Name of a state in messages and logs.
std::string_view
NameOf(instance_state aState);

/// Whether an instance in this state is about to exit or has exited. It does
/// not become ready again; its next incarnation may.
bool
IsLeaving(instance_state aState);

/// The instance of an upstream on a node's host, as the node knows it.
struct instance_record
{
  std::string id;
  std::string service;
  std::string version;
  endpoint address;
  /// Number of requests that it runs concurrently.
  unsigned slots = 1;
  instance_state state = instance_state::absent;
  /// Start of the instance, in Unix milliseconds; orders incarnations.
  std::int64_t started_unix_ms = 0;
  /// Remaining warm-up time, during which it is slow, when the record was made.
  duration warmup_left{ 0 };

  bool operator==(const instance_record&) const = default;
};

/// Identifies one start of an instance: an instance may start again with the id
/// that it had.
struct instance_incarnation
{
  std::string id;
  std::int64_t started_unix_ms = 0;

  bool operator==(const instance_incarnation&) const = default;
};

instance_incarnation
IncarnationOf(const instance_record& aInstance);

/// Whether the departure of `aLeft` is one of this instance: it has the id and
/// did not start later.
bool
HasLeft(const instance_incarnation& aLeft, const instance_record& aInstance);

/// The instance of a host leaves, or has left.
struct host_departure
{
  std::string host;
  instance_incarnation instance;
};

/// An instance says that it exits.
struct exit_notice
{
  std::string id;
  /// Start of the instance in Unix milliseconds, if the notice names it.
  std::optional<std::int64_t> started_unix_ms;
};

/// A request that is not sent on because it crashes instances.
struct quarantined_request
{
  /// See `FingerprintOf`.
  std::uint64_t fingerprint = 0;
  crash_count count;
  /// Time of the last crash, in Unix milliseconds.
  std::int64_t changed_unix_ms = 0;

  bool operator==(const quarantined_request&) const = default;
};

/// A node's description of itself, sent to all other nodes.
struct host_record
{
  std::string name;
  std::string domain;
  /// Address for requests of other nodes.
  endpoint hop;
  /// Address for control messages of other nodes.
  endpoint control;
  /// Start of the node's process in Unix milliseconds.
  std::int64_t incarnation = 0;
  /// Increases with each change of the record within one incarnation.
  std::uint64_t sequence = 0;
  /// Whether the node is stopping and accepts no new requests.
  bool leaving = false;
  instance_record instance;
  /// The last instance of the host that has announced its departure, if any.
  std::optional<instance_incarnation> last_departure;
  /// Requests that this node has seen crash the last of several instances.
  std::vector<quarantined_request> quarantined;

  bool operator==(const host_record&) const = default;
};

/// Whether a record of a host keeps an instance of that host from being taken
/// for present: the record names its departure, or an instance that has started
/// later, as the instances of a host follow each other.
bool
ShowsDeparture(const host_record& aRecord,
               const instance_incarnation& aDeparture);

/// Whether `aLeft` is newer than `aRight`, a record of the same host.
bool
IsNewer(const host_record& aLeft, const host_record& aRight);

/// Whether a name is printable ASCII without spaces. Names are sent on in
/// messages and header fields.
bool
IsPrintable(std::string_view aName);

/// Decodes the slots of an instance. Throws what `DecodeJson` converts.
unsigned
DecodeSlots(const nlohmann::json& aValue);

/// Decodes the count of a crash record. Throws what `DecodeJson` converts.
crash_count
DecodeCrashCount(const nlohmann::json& aEpoch, const nlohmann::json& aCrashes);

/// Encodes a record as a JSON object, for messages between nodes and for the
/// store.
nlohmann::json
EncodeHostRecord(const host_record& aRecord);

/// Decodes a record from JSON. Fails with `invalid_argument`.
result<host_record>
DecodeHostRecord(const nlohmann::json& aJson);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_HOST_RECORD_H_
