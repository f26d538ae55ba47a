#include "distribution/config-writer.h"

namespace eelgrasstrack {

namespace {

constexpr std::size_t kKeptOperations = 256;
constexpr std::size_t kMaxStateBytes = std::size_t{ 1 } << 20U;
constexpr int kMaxTries = 8;
constexpr duration kFirstRetry = std::chrono::milliseconds(50);
constexpr duration kLongestRetry = std::chrono::milliseconds(2000);

std::string
DifferenceText(const document_map& aLeft, const document_map& aRight)
{
  std::string text;
  for (const std::string& key : DifferingKeys(aLeft, aRight)) {
    text += text.empty() ? "" : ", ";
    text += key;
  }
  return text.empty() ? "nothing" : text;
}

} // namespace

struct config_writer::attempt
{
  config_command command;
  accept_callback done;
  jittered_backoff backoff;
  int tries = 0;
  /// A write was sent whose outcome is not known yet.
  bool write_in_doubt = false;
  /// Documents as of the first read, to say what another's write changed.
  std::optional<document_map> first_seen;
};

config_writer::config_writer(object_store& aStore,
                             delayed_tasks& aTasks,
                             std::uint64_t aSeed)
  : mStore(aStore)
  , mTasks(aTasks)
  , mSeed(aSeed)
{
}

void
config_writer::Submit(config_command aCommand, accept_callback aDone)
{
  auto submitted = std::make_shared<attempt>(
    attempt{ std::move(aCommand),
             std::move(aDone),
             jittered_backoff(kFirstRetry, kLongestRetry, mSeed++),
             0,
             false,
             std::nullopt });
  Read(submitted);
}

void
config_writer::Read(const std::shared_ptr<attempt>& aAttempt)
{
  mStore.Get(kConfigKey, [this, aAttempt](result<stored_object> aObject) {
    if (!aObject) {
      Retry(aAttempt, aObject.error());
      return;
    }
    Decide(aAttempt, std::move(*aObject));
  });
}

void
config_writer::Decide(const std::shared_ptr<attempt>& aAttempt,
                      stored_object aObject)
{
  config_state current;
  if (aObject.version != 0) {
    result<config_state> decoded = DecodeConfigState(aObject.value);
    if (!decoded) {
      aAttempt->done(tl::unexpected<error>(decoded.error()));
      return;
    }
    current = std::move(*decoded);
  }
  const config_command& command = aAttempt->command;
  const accepted_operation* earlier =
    current.FindOperation(command.operation_id);
  if (earlier != nullptr) {
    bool repeated = !aAttempt->write_in_doubt;
    aAttempt->done(BuildSnapshot(current.version, current.documents)
                     .map([&](snapshot_ptr aSnapshot) {
                       return accepted_config{ std::move(aSnapshot),
                                               earlier->version,
                                               repeated };
                     }));
    return;
  }
  bool stale =
    command.expected_version && *command.expected_version != current.version;
  bool overtaken = aAttempt->first_seen && !command.rebase_on_conflict &&
                   *aAttempt->first_seen != current.documents;
  if (stale || overtaken) {
    std::string differs =
      aAttempt->first_seen
        ? "; changed since: " +
            DifferenceText(*aAttempt->first_seen, current.documents)
        : "";
    aAttempt->done(Fail(error_kind::conflict,
                        "the configuration is at version " +
                          std::to_string(current.version) + differs));
    return;
  }
  if (!aAttempt->first_seen) {
    aAttempt->first_seen = current.documents;
  }
  config_state next = current;
  ++next.version;
  result<void> edited = command.edit(next.documents);
  if (!edited) {
    aAttempt->done(tl::unexpected<error>(edited.error()));
    return;
  }
  next.operations.push_back({ command.operation_id, next.version });
  if (next.operations.size() > kKeptOperations) {
    next.operations.erase(next.operations.begin());
  }
  Write(aAttempt, std::move(next), aObject.version);
}

void
config_writer::Write(const std::shared_ptr<attempt>& aAttempt,
                     config_state aNext,
                     std::uint64_t aStoreVersion)
{
  result<snapshot_ptr> built = BuildSnapshot(aNext.version, aNext.documents);
  if (!built) {
    aAttempt->done(tl::unexpected<error>(built.error()));
    return;
  }
  std::string text = EncodeConfigState(aNext);
  if (text.size() > kMaxStateBytes) {
    aAttempt->done(Fail(error_kind::too_large,
                        "the configuration would have " +
                          std::to_string(text.size()) + " bytes of at most " +
                          std::to_string(kMaxStateBytes)));
    return;
  }
  snapshot_ptr snapshot = *built;
  mStore.Put(
    kConfigKey,
    std::move(text),
    aStoreVersion,
    [this, aAttempt, snapshot](result<std::uint64_t> aVersion) {
      if (aVersion) {
        aAttempt->done(accepted_config{ snapshot, snapshot->version, false });
        return;
      }
      if (aVersion.error().execution_status == execution::unknown) {
        aAttempt->write_in_doubt = true;
      }
      if (aVersion.error().kind == error_kind::conflict) {
        Read(aAttempt);
        return;
      }
      Retry(aAttempt, aVersion.error());
    });
}

void
config_writer::Retry(const std::shared_ptr<attempt>& aAttempt, error aCause)
{
  if (++aAttempt->tries >= kMaxTries) {
    aCause.execution_status =
      aAttempt->write_in_doubt ? execution::unknown : execution::not_run;
    if (aAttempt->write_in_doubt) {
      aCause.message += "; the write may have taken effect, repeat it with "
                        "operation id " +
                        aAttempt->command.operation_id;
    }
    aAttempt->done(tl::unexpected<error>(std::move(aCause)));
    return;
  }
  mTasks.RunAfter(aAttempt->backoff.NextDelay(),
                  [this, aAttempt] { Read(aAttempt); });
}

} // namespace eelgrasstrack
