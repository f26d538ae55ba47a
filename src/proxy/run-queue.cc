#include "proxy/run-queue.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Weight of the newest duration in a moving average.
constexpr double kNewestWeight = 0.1;
/// Assumed duration of a request before any has finished, in microseconds.
constexpr double kDefaultMicroseconds = 50000;
/// Most requests finish within this many times their average duration.
constexpr double kLikelyFactor = 1.4;
/// Fraction of the time to the deadline within which a request that misses its
/// soft deadline must be expected to finish.
constexpr double kLateDeadlineShare = 0.8;
/// A request that misses its soft deadline waits only while there is less than
/// one waiting request per this many slots. Otherwise requests that can still
/// meet their soft deadline would keep overtaking it.
constexpr std::size_t kSlotsPerLateRequest = 4;
/// A request is short if others take at least this many times as long; it then
/// delays them by a small part of their own time.
constexpr double kShortFactor = 2.5;

void
UpdateAverage(double& aAverage, double aNewest)
{
  aAverage = aAverage == 0
               ? aNewest
               : aAverage * (1 - kNewestWeight) + aNewest * kNewestWeight;
}

duration
Microseconds(double aCount)
{
  return duration(static_cast<std::int64_t>(aCount));
}

} // namespace

run_queue::run_queue(unsigned aSlots)
  : mSlots(aSlots == 0 ? 1 : aSlots)
{
}

void
run_queue::SetSlots(unsigned aSlots)
{
  mSlots = aSlots == 0 ? 1 : aSlots;
}

void
run_queue::SetRequestLimit(std::optional<double> aLimit, time_point aNow)
{
  mLimiter.SetLimit(aLimit, aNow);
}

duration
run_queue::LimitWait(time_point aNow) const
{
  return mLimiter.TimeUntilAllowed(mWaiting.size(), aNow);
}

bool
run_queue::MayStart(time_point aNow) const
{
  return mBusy < mSlots && mLimiter.TimeUntilAllowed(0, aNow) == duration(0);
}

duration
run_queue::AverageDuration(const std::string& aKey) const
{
  auto known = mAverages.find(aKey);
  if (known != mAverages.end()) {
    return Microseconds(known->second);
  }
  return Microseconds(mOverallAverage > 0 ? mOverallAverage
                                          : kDefaultMicroseconds);
}

duration
run_queue::LikelyDuration(const std::string& aKey) const
{
  double average = static_cast<double>(AverageDuration(aKey).count());
  return Microseconds(average * kLikelyFactor);
}

bool
run_queue::IsLate(const run_entry& aEntry, time_point aNow) const
{
  return aNow + LikelyDuration(aEntry.key) > aEntry.soft_deadline;
}

bool
run_queue::IsShort(const std::string& aKey) const
{
  auto known = mAverages.find(aKey);
  return known != mAverages.end() &&
         known->second * kShortFactor <= mLongestAverage;
}

bool
run_queue::RunsBefore(const run_entry& aLeft,
                      const run_entry& aRight,
                      time_point aNow) const
{
  bool leftShort = IsShort(aLeft.key);
  bool rightShort = IsShort(aRight.key);
  bool leftLate = !leftShort && IsLate(aLeft, aNow);
  bool rightLate = !rightShort && IsLate(aRight, aNow);
  if (leftLate != rightLate) {
    return rightLate;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  if (leftShort != rightShort) {
    return leftShort;
  }
  return aLeft.soft_deadline < aRight.soft_deadline;
}

double
run_queue::ExpectedWait(const run_entry& aEntry, time_point aNow) const
{
  std::size_t count = 0;
  double ahead = 0;
  for (const run_entry& waiting : mWaiting) {
    if (waiting.id != aEntry.id && !RunsBefore(aEntry, waiting, aNow)) {
      ++count;
      ahead += static_cast<double>(AverageDuration(waiting.key).count());
    }
  }
  return ExpectedWaitBehind(count, ahead, aNow);
}

double
run_queue::ExpectedWaitBehind(std::size_t aCount,
                              double aMicroseconds,
                              time_point aNow) const
{
  // On average a slot becomes free every average duration / number of slots.
  double average = mOverallAverage > 0 ? mOverallAverage : kDefaultMicroseconds;
  double slotWait =
    mBusy + aCount < mSlots ? 0 : (aMicroseconds + average) / mSlots;
  duration limitWait = mLimiter.TimeUntilAllowed(aCount, aNow);
  return std::max(slotWait, static_cast<double>(limitWait.count()));
}

bool
run_queue::FinishesInTime(const run_entry& aEntry,
                          double aWait,
                          time_point aNow) const
{
  time_point starts = aNow + Microseconds(aWait);
  if (starts + LikelyDuration(aEntry.key) <= aEntry.soft_deadline) {
    return true;
  }
  time_point ends = starts + AverageDuration(aEntry.key);
  duration left = aEntry.deadline - aNow;
  return ends <= aNow + Microseconds(static_cast<double>(left.count()) *
                                     kLateDeadlineShare);
}

bool
run_queue::IsTooLateToWait(const run_entry& aEntry,
                           double aWait,
                           time_point aNow) const
{
  return mWaiting.size() * kSlotsPerLateRequest >= mSlots &&
         !IsShort(aEntry.key) && IsLate(aEntry, aNow + Microseconds(aWait));
}

run_admission
run_queue::Admit(const run_entry& aEntry, time_point aNow)
{
  run_admission admission;
  if (mWaiting.empty() && MayStart(aNow)) {
    ++mBusy;
    mLimiter.RecordSent(aNow);
    admission.decision = run_decision::run;
    return admission;
  }
  double wait = ExpectedWait(aEntry, aNow);
  if (!FinishesInTime(aEntry, wait, aNow) ||
      IsTooLateToWait(aEntry, wait, aNow)) {
    admission.retry_after = Microseconds(wait);
    return admission;
  }
  Insert(aEntry, aNow);
  admission.decision = run_decision::wait;
  admission.evicted = EvictLate(aNow);
  return admission;
}

void
run_queue::Insert(const run_entry& aEntry, time_point aNow)
{
  auto place = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&](const run_entry& aWaiting) {
      return RunsBefore(aEntry, aWaiting, aNow);
    });
  mWaiting.insert(place, aEntry);
}

std::vector<run_id>
run_queue::EvictLate(time_point aNow)
{
  std::vector<run_id> evicted;
  std::size_t count = 0;
  double ahead = 0;
  for (auto entry = mWaiting.begin(); entry != mWaiting.end();) {
    double wait = ExpectedWaitBehind(count, ahead, aNow);
    if (!FinishesInTime(*entry, wait, aNow)) {
      evicted.push_back(entry->id);
      entry = mWaiting.erase(entry);
      continue;
    }
    ++count;
    ahead += static_cast<double>(AverageDuration(entry->key).count());
    ++entry;
  }
  return evicted;
}

void
run_queue::Finish(const std::string& aKey, duration aDuration)
{
  if (mBusy > 0) {
    --mBusy;
  }
  if (aDuration > duration(0)) {
    UpdateAverage(mAverages[aKey], static_cast<double>(aDuration.count()));
    UpdateAverage(mOverallAverage, static_cast<double>(aDuration.count()));
    mLongestAverage = 0;
    for (const auto& [key, average] : mAverages) {
      mLongestAverage = std::max(mLongestAverage, average);
    }
  }
}

bool
run_queue::Remove(run_id aId)
{
  return std::erase_if(mWaiting, [aId](const run_entry& aEntry) {
           return aEntry.id == aId;
         }) > 0;
}

run_queue::next_run
run_queue::StartNext(time_point aNow)
{
  next_run next;
  for (auto entry = mWaiting.begin(); entry != mWaiting.end();) {
    if (aNow + AverageDuration(entry->key) / 2 > entry->deadline) {
      next.expired.push_back(entry->id);
      entry = mWaiting.erase(entry);
    } else {
      ++entry;
    }
  }
  if (!mWaiting.empty() && MayStart(aNow)) {
    auto first =
      std::min_element(mWaiting.begin(),
                       mWaiting.end(),
                       [&](const run_entry& aLeft, const run_entry& aRight) {
                         return RunsBefore(aLeft, aRight, aNow);
                       });
    next.run = first->id;
    mWaiting.erase(first);
    ++mBusy;
    mLimiter.RecordSent(aNow);
  }
  return next;
}

std::vector<run_id>
run_queue::RemoveAll()
{
  std::vector<run_id> all;
  for (const run_entry& entry : mWaiting) {
    all.push_back(entry.id);
  }
  mWaiting.clear();
  return all;
}

run_load
run_queue::Load() const
{
  run_load load;
  load.busy = mBusy;
  load.waiting = static_cast<unsigned>(mWaiting.size());
  load.slots = mSlots;
  load.average_duration = Microseconds(mOverallAverage);
  return load;
}

} // namespace eelgrasstrack
