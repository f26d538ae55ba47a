#include "mesh/host-directory.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Time for which the leaving instance of a removed host is remembered.
constexpr duration kRememberLeaving = std::chrono::minutes(10);

} // namespace

bool
host_directory::Merge(const host_record& aRecord, time_point aNow)
{
  RecordLastDeparture(aRecord, aNow);
  auto known = mHosts.find(aRecord.name);
  if (known == mHosts.end()) {
    mHosts.emplace(aRecord.name, known_host{ aRecord, aNow, false, {} });
    MarkChanged();
    mRemoved.erase(aRecord.name);
    return true;
  }
  if (!IsNewer(aRecord, known->second.record)) {
    return false;
  }
  RememberIfLeaving(known->second.record, aNow);
  known->second.record = aRecord;
  MarkChanged();
  known->second.updated_at = aNow;
  known->second.unreachable = false; // the newer record came from the host
  return true;
}

bool
host_directory::RecordLeaving(const std::string& aHost,
                              const instance_incarnation& aInstance,
                              time_point aNow)
{
  auto known = mLeaving.find(aHost);
  if (known != mLeaving.end() &&
      known->second.incarnation.started_unix_ms > aInstance.started_unix_ms) {
    return false;
  }
  return RecordPresentLeaving(aHost, aInstance, aNow);
}

bool
host_directory::RecordPresentLeaving(const std::string& aHost,
                                     const instance_incarnation& aInstance,
                                     time_point aNow)
{
  if (LastDeparture(aHost) == aInstance) {
    return false;
  }
  mLeaving.insert_or_assign(aHost, leaving_instance{ aInstance, aNow });
  MarkChanged();
  return true;
}

void
host_directory::RecordLastDeparture(const host_record& aRecord, time_point aNow)
{
  if (aRecord.last_departure) {
    RecordLeaving(aRecord.name, *aRecord.last_departure, aNow);
  }
}

std::optional<instance_incarnation>
host_directory::LastDeparture(const std::string& aHost) const
{
  auto leaving = mLeaving.find(aHost);
  return leaving == mLeaving.end() ? std::nullopt
                                   : std::optional(leaving->second.incarnation);
}

bool
host_directory::IsRecordedAsLeaving(const std::string& aHost,
                                    const instance_record& aInstance) const
{
  auto leaving = mLeaving.find(aHost);
  return leaving != mLeaving.end() &&
         HasLeft(leaving->second.incarnation, aInstance);
}

std::optional<host_departure>
host_directory::UnreportedDeparture(const std::string& aHost) const
{
  auto leaving = mLeaving.find(aHost);
  const known_host* host = Find(aHost);
  if (leaving == mLeaving.end() || host == nullptr) {
    return std::nullopt;
  }
  const instance_incarnation& departure = leaving->second.incarnation;
  if (ShowsDeparture(host->record, departure)) {
    return std::nullopt;
  }
  const instance_record& shown = host->record.instance;
  bool unreported =
    shown.state == instance_state::absent ||
    (shown.state == instance_state::ready && HasLeft(departure, shown));
  return unreported ? std::optional(host_departure{ aHost, departure })
                    : std::nullopt;
}

std::vector<host_departure>
host_directory::UnreportedDepartures() const
{
  std::vector<host_departure> departures;
  for (const auto& [host, leaving] : mLeaving) {
    if (std::optional<host_departure> departure = UnreportedDeparture(host)) {
      departures.push_back(std::move(*departure));
    }
  }
  return departures;
}

void
host_directory::RememberIfLeaving(const host_record& aDropped, time_point aNow)
{
  if (IsLeaving(aDropped.instance.state)) {
    RecordLeaving(aDropped.name, IncarnationOf(aDropped.instance), aNow);
  }
}

void
host_directory::ForgetLeaving(time_point aNow)
{
  std::erase_if(mLeaving, [&](const auto& aEntry) {
    return mHosts.count(aEntry.first) == 0 &&
           aNow - aEntry.second.recorded_at > kRememberLeaving;
  });
}

void
host_directory::MarkUnreachable(const std::string& aName, time_point aNow)
{
  auto known = mHosts.find(aName);
  if (known == mHosts.end() || aName == mSelf || known->second.unreachable) {
    return;
  }
  known->second.unreachable = true;
  known->second.unreachable_since = aNow;
  ++mRevision;
}

bool
host_directory::MarkReachable(const std::string& aName)
{
  auto known = mHosts.find(aName);
  if (known == mHosts.end() || !known->second.unreachable) {
    return false;
  }
  known->second.unreachable = false;
  ++mRevision;
  return true;
}

bool
host_directory::ReachesMajority() const
{
  auto reachable =
    std::count_if(mHosts.begin(), mHosts.end(), [](const auto& aEntry) {
      return !aEntry.second.unreachable;
    });
  return static_cast<std::size_t>(reachable) * 2 > mHosts.size();
}

std::vector<host_record>
host_directory::RemoveUnreachable(duration aAfter, time_point aNow)
{
  std::vector<host_record> removed;
  ForgetLeaving(aNow);
  if (!ReachesMajority()) {
    return removed;
  }
  for (auto entry = mHosts.begin(); entry != mHosts.end();) {
    const known_host& host = entry->second;
    if (host.unreachable && aNow - host.unreachable_since > aAfter) {
      mRemoved.insert(entry->first);
      RememberIfLeaving(host.record, aNow);
      removed.push_back(host.record);
      entry = mHosts.erase(entry);
      MarkChanged();
    } else {
      ++entry;
    }
  }
  return removed;
}

const known_host*
host_directory::Find(const std::string& aName) const
{
  auto known = mHosts.find(aName);
  return known == mHosts.end() ? nullptr : &known->second;
}

bool
host_directory::IsServing(const host_record& aRecord) const
{
  return !aRecord.leaving && aRecord.instance.state == instance_state::ready &&
         !IsRecordedAsLeaving(aRecord.name, aRecord.instance);
}

void
host_directory::RebuildIndex() const
{
  mServing.clear();
  for (const auto& [name, host] : mHosts) {
    if (IsServing(host.record)) {
      mServing[host.record.instance.service].push_back(&host);
    }
  }
  mIndexValid = true;
}

const std::vector<const known_host*>&
host_directory::ServingHosts(const std::string& aService) const
{
  static const std::vector<const known_host*> kNone;
  if (!mIndexValid) {
    RebuildIndex();
  }
  auto found = mServing.find(aService);
  return found == mServing.end() ? kNone : found->second;
}

} // namespace eelgrasstrack
