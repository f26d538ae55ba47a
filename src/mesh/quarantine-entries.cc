#include "mesh/quarantine-entries.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

constexpr std::size_t kMaxEntries = 32;

} // namespace

quarantine_entries::quarantine_entries(const clock_source& aClock,
                                       crash_table& aCrashes)
  : mClock(aClock)
  , mCrashes(aCrashes)
{
}

bool
quarantine_entries::AddTo(host_record& aOwn,
                          const std::vector<crash_record>& aRecords) const
{
  std::vector<quarantined_request>& entries = aOwn.quarantined;
  bool changed = false;
  for (const crash_record& record : aRecords) {
    if (!mCrashes.IsQuarantined(record.fingerprint)) {
      continue;
    }
    std::erase_if(entries, [&record](const quarantined_request& aEntry) {
      return aEntry.fingerprint == record.fingerprint;
    });
    if (entries.size() == kMaxEntries) {
      entries.erase(entries.begin());
    }
    duration age = mClock.Now() - record.changed;
    entries.push_back({ record.fingerprint,
                        record.count,
                        mClock.UnixMilliseconds() - Milliseconds(age) });
    changed = true;
  }
  return changed;
}

bool
quarantine_entries::RemoveEndedFrom(host_record& aOwn) const
{
  return std::erase_if(aOwn.quarantined,
                       [this](const quarantined_request& aEntry) {
                         return !mCrashes.IsQuarantined(aEntry.fingerprint);
                       }) > 0;
}

void
quarantine_entries::Learn(const host_record& aListed)
{
  for (const quarantined_request& entry : aListed.quarantined) {
    // The clock of another host may be ahead.
    std::int64_t age = std::max<std::int64_t>(
      mClock.UnixMilliseconds() - entry.changed_unix_ms, 0);
    time_point changed = mClock.Now() - std::chrono::milliseconds(age);
    (void)mCrashes.Merge({ entry.fingerprint, entry.count, changed },
                         mClock.Now());
  }
}

} // namespace eelgrasstrack
