#ifndef EELGRASSTRACK_DISTRIBUTION_CONFIG_WRITER_H_
#define EELGRASSTRACK_DISTRIBUTION_CONFIG_WRITER_H_

#include <functional>
#include <memory>
#include <optional>

#include "distribution/config-state.h"
#include "store/call-budget.h"
#include "store/object-store.h"

namespace eelgrasstrack {

/// Runs tasks after a delay: on the event loop in the daemon, on virtual time
/// in tests.
class task_scheduler
{
public:
  virtual ~task_scheduler() = default;
  virtual void RunAfter(duration aDelay, std::function<void()> aTask) = 0;
};

/// Changes the documents in place. It is called again, on newer documents, if a
/// concurrent write took effect first and the command allows a rebase.
using config_edit = std::function<result<void>(document_map&)>;

/// A command that changes the configuration.
struct config_command
{
  /// Commands with the same id are applied at most once, as long as the store
  /// still keeps the id.
  std::string operation_id;
  /// The version that the operator based the change on. If the current version
  /// differs, the command fails with `conflict`.
  std::optional<std::uint64_t> expected_version;
  config_edit edit;
  /// Apply the edit on top of a concurrent write instead of failing with
  /// `conflict`.
  bool rebase_on_conflict = false;
};

/// Outcome of an accepted command.
struct accepted_config
{
  /// The newest known configuration, at `version` or later.
  snapshot_ptr snapshot;
  /// The version that the command created.
  std::uint64_t version = 0;
  /// An earlier submission with the same operation id created `version`.
  bool already_applied = false;
};

using accept_callback = std::function<void(result<accepted_config>)>;

/// Applies commands by conditional writes of the configuration object.
/// If the answer to a write is lost, the object is read again: its operation
/// ids show whether the write took effect. The retried write expects the store
/// version of that read, so at most one of the two writes can take effect.
class config_writer
{
public:
  config_writer(object_store& aStore,
                task_scheduler& aScheduler,
                std::uint64_t aSeed);

  /// Calls `aDone` once, later, with the outcome.
  void Submit(config_command aCommand, accept_callback aDone);

private:
  struct submission;

  void Read(const std::shared_ptr<submission>& aSubmission);
  /// Applies the command to the object that was read, then writes the result.
  void ApplyCommand(const std::shared_ptr<submission>& aSubmission,
                    stored_object aObject);
  void Write(const std::shared_ptr<submission>& aSubmission,
             config_state aNext,
             std::uint64_t aStoreVersion);
  /// Starts over from the read after a delay, or fails after the last attempt.
  void RetryOrFail(const std::shared_ptr<submission>& aSubmission,
                   error aCause);

  object_store& mStore;
  task_scheduler& mScheduler;
  std::uint64_t mSeed;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DISTRIBUTION_CONFIG_WRITER_H_
