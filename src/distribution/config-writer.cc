#include "distribution/config-writer.h"

namespace eelgrasstrack {

namespace {

/// Latest operation ids kept with the configuration.
constexpr std::size_t kMaxKeptOperations = 256;
/// Maximum size of the encoded configuration object.
constexpr std::size_t kMaxStateBytes = std::size_t{ 1 } << 20U;
/// Failed reads and writes after which a command fails. Conflicts do not count.
constexpr int kMaxAttempts = 8;
constexpr duration kInitialRetryDelay = std::chrono::milliseconds(50);
constexpr duration kMaxRetryDelay = std::chrono::milliseconds(2000);

/// Keys of the documents that differ, separated by commas.
std::string
DescribeDifferingKeys(const document_map& aLeft, const document_map& aRight)
{
  std::string text;
  for (const std::string& key : DifferingKeys(aLeft, aRight)) {
    text += text.empty() ? "" : ", ";
    text += key;
  }
  return text.empty() ? "nothing" : text;
}

} // namespace

/// A submitted command and the progress of its write.
struct config_writer::submission
{
  config_command command;
  accept_callback done;
  jittered_backoff backoff;
  /// Failed attempts so far.
  int attempts = 0;
  /// A write was sent and its outcome is unknown.
  bool write_outcome_unknown = false;
  /// Documents as of the first read, to detect and report concurrent changes.
  std::optional<document_map> initial_documents;
};

config_writer::config_writer(object_store& aStore,
                             task_scheduler& aScheduler,
                             std::uint64_t aSeed)
  : mStore(aStore)
  , mScheduler(aScheduler)
  , mSeed(aSeed)
{
}

void
config_writer::Submit(config_command aCommand, accept_callback aDone)
{
  auto submitted = std::make_shared<submission>(
    submission{ std::move(aCommand),
                std::move(aDone),
                jittered_backoff(kInitialRetryDelay, kMaxRetryDelay, mSeed++),
                0,
                false,
                std::nullopt });
  Read(submitted);
}

void
config_writer::Read(const std::shared_ptr<submission>& aSubmission)
{
  mStore.Get(kConfigKey, [this, aSubmission](result<stored_object> aObject) {
    if (!aObject) {
      RetryOrFail(aSubmission, aObject.error());
      return;
    }
    ApplyCommand(aSubmission, std::move(*aObject));
  });
}

void
config_writer::ApplyCommand(const std::shared_ptr<submission>& aSubmission,
                            stored_object aObject)
{
  config_state current;
  if (aObject.version != 0) {
    result<config_state> decoded = DecodeConfigState(aObject.value);
    if (!decoded) {
      aSubmission->done(tl::unexpected<error>(decoded.error()));
      return;
    }
    current = std::move(*decoded);
  }
  const config_command& command = aSubmission->command;
  const accepted_operation* earlier =
    current.FindOperation(command.operation_id);
  if (earlier != nullptr) {
    bool repeated = !aSubmission->write_outcome_unknown;
    aSubmission->done(BuildSnapshot(current.version, current.documents)
                        .map([&](snapshot_ptr aSnapshot) {
                          return accepted_config{ std::move(aSnapshot),
                                                  earlier->version,
                                                  repeated };
                        }));
    return;
  }
  bool stale =
    command.expected_version && *command.expected_version != current.version;
  bool concurrentChange = aSubmission->initial_documents &&
                          !command.rebase_on_conflict &&
                          *aSubmission->initial_documents != current.documents;
  if (stale || concurrentChange) {
    std::string differs =
      aSubmission->initial_documents
        ? "; documents changed since the first read: " +
            DescribeDifferingKeys(*aSubmission->initial_documents,
                                  current.documents)
        : "";
    aSubmission->done(Fail(error_kind::conflict,
                           "the configuration is at version " +
                             std::to_string(current.version) + differs));
    return;
  }
  if (!aSubmission->initial_documents) {
    aSubmission->initial_documents = current.documents;
  }
  config_state next = current;
  ++next.version;
  result<void> edited = command.edit(next.documents);
  if (!edited) {
    aSubmission->done(tl::unexpected<error>(edited.error()));
    return;
  }
  next.operations.push_back({ command.operation_id, next.version });
  if (next.operations.size() > kMaxKeptOperations) {
    next.operations.erase(next.operations.begin());
  }
  Write(aSubmission, std::move(next), aObject.version);
}

void
config_writer::Write(const std::shared_ptr<submission>& aSubmission,
                     config_state aNext,
                     std::uint64_t aStoreVersion)
{
  result<snapshot_ptr> built = BuildSnapshot(aNext.version, aNext.documents);
  if (!built) {
    aSubmission->done(tl::unexpected<error>(built.error()));
    return;
  }
  std::string text = EncodeConfigState(aNext);
  if (text.size() > kMaxStateBytes) {
    aSubmission->done(
      Fail(error_kind::too_large,
           "configuration too large: " + std::to_string(text.size()) +
             " bytes, limit is " + std::to_string(kMaxStateBytes)));
    return;
  }
  snapshot_ptr snapshot = *built;
  mStore.Put(kConfigKey,
             std::move(text),
             aStoreVersion,
             [this, aSubmission, snapshot](result<std::uint64_t> aVersion) {
               if (aVersion) {
                 aSubmission->done(
                   accepted_config{ snapshot, snapshot->version, false });
                 return;
               }
               if (aVersion.error().execution_status == execution::unknown) {
                 aSubmission->write_outcome_unknown = true;
               }
               if (aVersion.error().kind == error_kind::conflict) {
                 Read(aSubmission);
                 return;
               }
               RetryOrFail(aSubmission, aVersion.error());
             });
}

void
config_writer::RetryOrFail(const std::shared_ptr<submission>& aSubmission,
                           error aCause)
{
  if (++aSubmission->attempts >= kMaxAttempts) {
    aCause.execution_status = aSubmission->write_outcome_unknown
                                ? execution::unknown
                                : execution::not_run;
    if (aSubmission->write_outcome_unknown) {
      aCause.message += "; the write may have taken effect: retry with "
                        "operation id " +
                        aSubmission->command.operation_id;
    }
    aSubmission->done(tl::unexpected<error>(std::move(aCause)));
    return;
  }
  mScheduler.RunAfter(aSubmission->backoff.NextDelay(),
                      [this, aSubmission] { Read(aSubmission); });
}

} // namespace eelgrasstrack
