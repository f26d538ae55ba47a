#ifndef EELGRASSTRACK_DISTRIBUTION_CONFIG_WRITER_H_
#define EELGRASSTRACK_DISTRIBUTION_CONFIG_WRITER_H_

#include <functional>
#include <memory>
#include <optional>

#include "distribution/config-state.h"
#include "store/call-budget.h"
#include "store/object-store.h"

namespace eelgrasstrack {

/// Runs tasks later. The loop in the daemon, a virtual one in tests.
class task_scheduler
{
public:
  virtual ~task_scheduler() = default;
  virtual void RunAfter(duration aDelay, std::function<void()> aTask) = 0;
};

/// Changes the documents in place. Called again on newer documents if another
/// write came first and the command allows that.
using config_edit = std::function<result<void>(document_map&)>;

/// One command that changes the configuration.
struct config_command
{
  /// The same id is applied at most once.
  std::string operation_id;
  /// The version that the operator has seen; a mismatch is a `conflict`.
  std::optional<std::uint64_t> expected_version;
  config_edit edit;
  /// Try again on top of another's write instead of answering `conflict`.
  bool rebase_on_conflict = false;
};

/// The configuration that a command led to.
struct accepted_config
{
  /// The newest configuration known, at `version` or later.
  snapshot_ptr snapshot;
  /// The version that the command made.
  std::uint64_t version = 0;
  /// The operation had been applied before.
  bool already_applied = false;
};

using accept_callback = std::function<void(result<accepted_config>)>;

/// Turns commands into conditional writes of the one configuration object.
/// A write whose answer was lost is settled by reading: the operation id shows
/// whether it took effect, and the store's version whether it still may.
class config_writer
{
public:
  config_writer(object_store& aStore,
                task_scheduler& aScheduler,
                std::uint64_t aSeed);

  void Submit(config_command aCommand, accept_callback aDone);

private:
  struct submission;

  void Read(const std::shared_ptr<submission>& aSubmission);
  void ApplyCommand(const std::shared_ptr<submission>& aSubmission,
                    stored_object aObject);
  void Write(const std::shared_ptr<submission>& aSubmission,
             config_state aNext,
             std::uint64_t aStoreVersion);
  void RetryOrFail(const std::shared_ptr<submission>& aSubmission,
                   error aCause);

  object_store& mStore;
  task_scheduler& mScheduler;
  std::uint64_t mSeed;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DISTRIBUTION_CONFIG_WRITER_H_
