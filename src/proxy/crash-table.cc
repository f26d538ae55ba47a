#include "proxy/crash-table.h"

#include <algorithm>

#include "base/hash.h"

namespace eelgrasstrack {

namespace {

/// Two crashes may be a coincidence; each further one costs an instance.
constexpr std::uint32_t kQuarantineCrashes = 3;
/// Time after which a request may be tried again: its cause may be mended.
constexpr duration kMemory = std::chrono::minutes(10);
constexpr std::size_t kMaxRecords = 512;

} // namespace

crash_count
crash_table::Find(request_fingerprint aRequest) const
{
  auto found = mRecords.find(aRequest);
  return found != mRecords.end() ? found->second.count : crash_count{};
}

bool
crash_table::IsSuspect(request_fingerprint aRequest) const
{
  return Find(aRequest).crashes > 0;
}

bool
crash_table::IsQuarantined(request_fingerprint aRequest) const
{
  return Find(aRequest).crashes >= kQuarantineCrashes;
}

duration
crash_table::QuarantineLeft(request_fingerprint aRequest, time_point aNow) const
{
  if (!IsQuarantined(aRequest)) {
    return duration(0);
  }
  duration left = mRecords.at(aRequest).changed + kMemory - aNow;
  return std::max(left, duration(0));
}

void
crash_table::RecordCrash(const std::vector<interrupted_run>& aRuns,
                         time_point aNow)
{
  std::vector<crash_record> changed;
  for (const interrupted_run& run : aRuns) {
    crash_count count = run.known;
    ++count.crashes;
    crash_record record{ run.request, count, aNow };
    if (Merge(record, aNow)) {
      changed.push_back(record);
    }
  }
  if (!changed.empty() && mOnChange) {
    mOnChange(changed);
  }
}

void
crash_table::RecordAnswer(request_fingerprint aRequest, time_point aNow)
{
  auto found = mRecords.find(aRequest);
  if (found == mRecords.end() || found->second.count.crashes == 0) {
    return;
  }
  ++found->second.count.epoch;
  found->second.count.crashes = 0;
  found->second.changed = aNow;
  if (mOnChange) {
    mOnChange({ { aRequest, found->second.count, aNow } });
  }
}

bool
crash_table::Merge(const crash_record& aRecord, time_point aNow)
{
  if (aRecord.changed + kMemory <= aNow ||
      !(Find(aRecord.fingerprint) < aRecord.count)) {
    return false;
  }
  if (!mRecords.contains(aRecord.fingerprint) &&
      mRecords.size() >= kMaxRecords) {
    RemoveOne();
  }
  mRecords[aRecord.fingerprint] = { aRecord.count, aRecord.changed };
  return true;
}

void
crash_table::RemoveOne()
{
  auto least =
    std::min_element(mRecords.begin(),
                     mRecords.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       const known_request& left = aLeft.second;
                       const known_request& right = aRight.second;
                       return left.count.crashes != right.count.crashes
                                ? left.count.crashes < right.count.crashes
                                : left.changed < right.changed;
                     });
  mRecords.erase(least);
}

void
crash_table::RemoveExpired(time_point aNow)
{
  std::erase_if(mRecords, [aNow](const auto& aEntry) {
    return aEntry.second.changed + kMemory <= aNow;
  });
}

std::vector<crash_record>
crash_table::Records() const
{
  std::vector<crash_record> records;
  records.reserve(mRecords.size());
  for (const auto& [fingerprint, known] : mRecords) {
    records.push_back({ fingerprint, known.count, known.changed });
  }
  return records;
}

std::size_t
crash_table::QuarantinedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [this](const auto& aEntry) {
      return IsQuarantined(aEntry.first);
    }));
}

std::uint64_t
crash_table::Digest() const
{
  std::uint64_t digest = 0;
  for (const auto& [fingerprint, known] : mRecords) {
    std::uint64_t counts =
      (std::uint64_t{ known.count.epoch } << 32U) | known.count.crashes;
    digest ^= HashOf(HexOf(counts), fingerprint);
  }
  return digest;
}

} // namespace eelgrasstrack
