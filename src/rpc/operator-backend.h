#ifndef EELGRASSTRACK_RPC_OPERATOR_BACKEND_H_
#define EELGRASSTRACK_RPC_OPERATOR_BACKEND_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/snapshot.h"
#include "rollout/rollout-driver.h"

namespace eelgrasstrack {

/// Request to add or replace documents and to remove documents by key.
struct apply_request
{
  std::string operation_id;
  /// The request fails with `conflict` if the configuration has another
  /// version.
  std::optional<std::uint64_t> expected_version;
  std::vector<config_document> documents;
  std::vector<std::string> removed;
  /// Only validate the result and list the changes.
  bool dry_run = false;
};

/// Result of a change of the configuration.
struct change_answer
{
  std::uint64_t version = 0;
  /// Keys of the documents that differ from the configuration before the
  /// change.
  std::vector<std::string> changed;
  /// An earlier request with the same operation id applied the change.
  bool already_applied = false;
  /// False if the change is in force but not yet written to the store.
  bool recorded = true;
};

/// Request to roll out a version of a service. The operation id becomes the id
/// of the rollout.
struct start_rollout_request
{
  std::string operation_id;
  std::string service;
  std::string to_version;
  /// Time by which all callers must use the new version, in Unix milliseconds.
  std::int64_t deadline_unix_ms = 0;
  /// Empty for every route of the service.
  std::vector<std::string> routes;
};

/// Command for an open rollout.
enum class rollout_command
{
  pause,
  resume,
  roll_back,
};

/// Announcement that the upstream of this node sends periodically.
struct upstream_announcement
{
  std::string service;
  std::string version;
  /// IP:port at which the upstream accepts connections.
  std::string address;
  /// Zero to use the number in the service declaration.
  std::uint32_t slots = 0;
  /// Whether the upstream accepts no new calls.
  bool leaving = false;
};

using change_callback = std::function<void(result<change_answer>)>;

/// Functions of the node that the operator API exposes.
class operator_backend
{
public:
  virtual ~operator_backend() = default;
  virtual void Apply(apply_request aRequest, change_callback aDone) = 0;
  virtual void StartRollout(start_rollout_request aRequest,
                            change_callback aDone) = 0;
  virtual void ChangeRollout(const std::string& aId,
                             rollout_command aCommand,
                             const std::string& aOperationId,
                             change_callback aDone) = 0;
  virtual result<void> AnnounceUpstream(
    const upstream_announcement& aUpstream) = 0;
  virtual snapshot_ptr CurrentConfig() const = 0;
  /// Returns nothing if the rollout does not exist.
  virtual std::optional<rollout_status> RolloutStatus(
    const std::string& aId) const = 0;
  virtual std::int64_t UnixMilliseconds() const = 0;
  /// Whether the node accepts calls.
  virtual bool IsServing() const = 0;
  /// Returns the state of the process as JSON.
  virtual std::string Dump() const = 0;
  /// Returns all metrics in the Prometheus text exposition format.
  virtual std::string Metrics() const = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_RPC_OPERATOR_BACKEND_H_
