#ifndef EELGRASSTRACK_MESH_HOST_RECORD_H_
#define EELGRASSTRACK_MESH_HOST_RECORD_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "http/message.h"

namespace eelgrasstrack {

/// Where an instance stands in its life.
enum class instance_state
{
  /// There is none, or nothing is known of it.
  absent,
  ready,
  /// It leaves: no new work.
  draining,
  /// It has said that it ends, or has ended.
  gone,
};

std::string_view
NameOf(instance_state aState);

/// What a node knows of the instance of an upstream beside it.
struct instance_record
{
  std::string id;
  std::string service;
  std::string version;
  endpoint address;
  unsigned slots = 1;
  instance_state state = instance_state::absent;
  /// Start of the instance, in Unix milliseconds; orders incarnations.
  std::int64_t started_unix_ms = 0;
  /// How long it stays slow after its start, at the time of the record.
  duration warmup_left{ 0 };

  bool operator==(const instance_record&) const = default;
};

/// What a node says of itself to all others.
struct host_record
{
  std::string name;
  std::string domain;
  /// Takes requests of other nodes.
  endpoint hop;
  /// Takes messages of other nodes.
  endpoint control;
  /// Start of the node's process in Unix milliseconds, and a number that rises
  /// with each change of the record.
  std::int64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// The node is stopping: it takes no new work.
  bool leaving = false;
  instance_record instance;

  bool operator==(const host_record&) const = default;
};

/// Whether `aLeft` is later than `aRight` of the same host.
bool
IsNewer(const host_record& aLeft, const host_record& aRight);

/// One JSON object, as nodes send it to each other and keep it in the store.
nlohmann::json
EncodeHostRecord(const host_record& aRecord);

/// Fails with `invalid_argument`.
result<host_record>
DecodeHostRecord(const nlohmann::json& aJson);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_HOST_RECORD_H_
