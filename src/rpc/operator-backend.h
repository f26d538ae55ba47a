#ifndef EELGRASSTRACK_RPC_OPERATOR_BACKEND_H_
#define EELGRASSTRACK_RPC_OPERATOR_BACKEND_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/snapshot.h"
#include "rollout/rollout-driver.h"

namespace eelgrasstrack {

/// Documents to put in force, and keys of documents to remove.
struct apply_request
{
  std::string operation_id;
  std::optional<std::uint64_t> expected_version;
  std::vector<config_document> documents;
  std::vector<std::string> removed;
  /// Check and compare only.
  bool dry_run = false;
};

/// What an operator's change led to.
struct change_answer
{
  std::uint64_t version = 0;
  /// Keys of the documents that differ from the version before.
  std::vector<std::string> changed;
  /// The operation had been applied before.
  bool already_applied = false;
  /// In force, but not written to the store yet.
  bool recorded = true;
};

struct start_rollout_request
{
  std::string operation_id;
  std::string service;
  std::string to_version;
  /// Time by which all callers must have moved, in Unix milliseconds.
  std::int64_t deadline_unix_ms = 0;
  std::vector<std::string> routes;
};

enum class rollout_command
{
  pause,
  resume,
  roll_back,
};

/// What the upstream beside the node says of itself.
struct upstream_announcement
{
  std::string service;
  std::string version;
  std::string address;
  /// Zero takes the service's declared number.
  std::uint32_t slots = 0;
  bool leaving = false;
};

using change_callback = std::function<void(result<change_answer>)>;

/// The node, as operators and the upstream see it.
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
  virtual std::optional<rollout_status> RolloutStatus(
    const std::string& aId) const = 0;
  virtual std::int64_t UnixMilliseconds() const = 0;
  virtual bool IsServing() const = 0;
  /// The whole state of the process, as JSON.
  virtual std::string Dump() const = 0;
  /// Text exposition of all metrics.
  virtual std::string Metrics() const = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_RPC_OPERATOR_BACKEND_H_
