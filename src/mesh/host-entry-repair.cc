#include "mesh/host-entry-repair.h"

#include <map>

#include "base/log.h"
#include "mesh/role-assignment.h"

namespace eelgrasstrack {

namespace {

/// Time in which a host whose entry was lost writes it again.
constexpr duration kCheckPeriod = std::chrono::milliseconds(3000);
constexpr duration kListRetryDelay = std::chrono::milliseconds(500);
constexpr unsigned kMaxChecks = 4;

} // namespace

bool
HaveSameEntry(const host_record& aLeft, const host_record& aRight)
{
  return aLeft.hop == aRight.hop && aLeft.control == aRight.control &&
         IncarnationOf(aLeft.instance) == IncarnationOf(aRight.instance) &&
         aLeft.instance.state == aRight.instance.state &&
         aLeft.last_departure == aRight.last_departure &&
         aLeft.quarantined == aRight.quarantined;
}

bool
IsRemoverOf(const host_directory& aDirectory, const std::string& aHost)
{
  return IndexOf(DecidersOf(aDirectory, aHost), aDirectory.Self()) == 0;
}

host_entry_repair::host_entry_repair(loop& aLoop,
                                     control_store& aStore,
                                     host_directory& aDirectory,
                                     gossip& aGossip)
  : mLoop(aLoop)
  , mStore(aStore)
  , mDirectory(aDirectory)
  , mGossip(aGossip)
{
}

void
host_entry_repair::OnOwnEntryLost(std::function<void()> aHandler)
{
  mOnOwnEntryLost = std::move(aHandler);
}

void
host_entry_repair::Start()
{
  Check(kMaxChecks);
}

void
host_entry_repair::Check(unsigned aRounds)
{
  if (!mActive || aRounds == 0) {
    return;
  }
  mStore.ListHosts([this, aRounds](result<std::vector<host_record>> aHosts) {
    if (!aHosts) {
      LogEvent(log_level::debug,
               "listing_failed",
               { { "reason", aHosts.error().message } });
      mLoop.RunAfter(kListRetryDelay, [this, aRounds] { Check(aRounds); });
      return;
    }
    MergeListed(*aHosts);
    std::vector<std::string> lost = LostEntries(*aHosts);
    for (const std::string& name : lost) {
      Report(name);
    }
    if (!lost.empty()) {
      mLoop.RunAfter(kCheckPeriod, [this, aRounds] { Check(aRounds - 1); });
    }
  });
}

void
host_entry_repair::MergeListed(const std::vector<host_record>& aListed)
{
  for (const host_record& entry : aListed) {
    if (entry.name == mDirectory.Self()) {
      continue;
    }
    if (!mDirectory.WasRemoved(entry.name)) {
      mDirectory.Merge(entry, mLoop.Now());
    } else if (IsRemoverOf(mDirectory, entry.name)) {
      mStore.RemoveHost(entry.name, entry.incarnation);
    }
  }
}

std::vector<std::string>
host_entry_repair::LostEntries(const std::vector<host_record>& aListed) const
{
  std::map<std::string, const host_record*> entries;
  for (const host_record& entry : aListed) {
    entries[entry.name] = &entry;
  }
  const known_host* self = mDirectory.Find(mDirectory.Self());
  std::vector<std::string> lost;
  for (const auto& [name, host] : mDirectory.All()) {
    if (host.unreachable || host.record.leaving || self == nullptr ||
        host.record.domain != self->record.domain) {
      continue;
    }
    auto entry = entries.find(name);
    if (entry == entries.end() || !HaveSameEntry(*entry->second, host.record)) {
      lost.push_back(name);
    }
  }
  return lost;
}

void
host_entry_repair::Report(const std::string& aHost)
{
  LogEvent(log_level::info, "host_entry_lost", { { "host", aHost } });
  if (aHost != mDirectory.Self()) {
    mGossip.ReportLostEntry(aHost);
  } else if (mOnOwnEntryLost) {
    mOnOwnEntryLost();
  }
}

} // namespace eelgrasstrack
