#include "proxy/run-queue.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Weight of the newest time in a moving average.
constexpr double kNewestWeight = 0.1;
/// Time that a request is taken to need before any was seen, in microseconds.
constexpr double kUnknownMicroseconds = 50000;
/// Most requests end within this many times their average time.
constexpr double kLikelyFactor = 1.4;
/// Part of the time to the deadline that a late answer may plan with.
constexpr double kLateShare = 0.8;
/// A request that misses its goal waits only if fewer than one in so many
/// slots has a waiting request: those that can reach it would go first again
/// and again.
constexpr std::size_t kLateQueuePart = 4;

void
Average(double& aAverage, double aNewest)
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

duration
run_queue::AverageDuration(const std::string& aKey) const
{
  auto known = mTypical.find(aKey);
  if (known != mTypical.end()) {
    return Microseconds(known->second);
  }
  return Microseconds(mTypicalOfAll > 0 ? mTypicalOfAll : kUnknownMicroseconds);
}

duration
run_queue::LikelyOf(const std::string& aKey) const
{
  double typical = static_cast<double>(AverageDuration(aKey).count());
  return Microseconds(typical * kLikelyFactor);
}

bool
run_queue::Before(const run_entry& aLeft,
                  const run_entry& aRight,
                  time_point aNow) const
{
  bool leftLate = aNow + LikelyOf(aLeft.key) > aLeft.soft_deadline;
  bool rightLate = aNow + LikelyOf(aRight.key) > aRight.soft_deadline;
  if (leftLate != rightLate) {
    return rightLate;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  return aLeft.soft_deadline < aRight.soft_deadline;
}

double
run_queue::BacklogBefore(const run_entry& aEntry, time_point aNow) const
{
  double ahead = 0;
  for (const run_entry& waiting : mWaiting) {
    if (waiting.id != aEntry.id && !Before(aEntry, waiting, aNow)) {
      ahead += static_cast<double>(AverageDuration(waiting.key).count());
    }
  }
  // A slot frees about every typical time over the number of slots.
  double average = mTypicalOfAll > 0 ? mTypicalOfAll : kUnknownMicroseconds;
  return (ahead + average) / mSlots;
}

bool
run_queue::InTime(const run_entry& aEntry,
                  double aBacklog,
                  time_point aNow) const
{
  time_point starts = aNow + Microseconds(aBacklog);
  if (starts + LikelyOf(aEntry.key) <= aEntry.soft_deadline) {
    return true;
  }
  time_point ends = starts + AverageDuration(aEntry.key);
  duration left = aEntry.deadline - aNow;
  return ends <=
         aNow + Microseconds(static_cast<double>(left.count()) * kLateShare);
}

bool
run_queue::TooLateToWait(const run_entry& aEntry, time_point aNow) const
{
  bool late = aNow + LikelyOf(aEntry.key) > aEntry.soft_deadline;
  return late && mWaiting.size() * kLateQueuePart >= mSlots;
}

admission_result
run_queue::Admit(const run_entry& aEntry, time_point aNow)
{
  admission_result offer;
  if (mBusy < mSlots && mWaiting.empty()) {
    ++mBusy;
    offer.decision = admission_decision::run;
    return offer;
  }
  double backlog = BacklogBefore(aEntry, aNow);
  if (!InTime(aEntry, backlog, aNow) || TooLateToWait(aEntry, aNow)) {
    offer.retry_after = Microseconds(backlog);
    return offer;
  }
  Insert(aEntry, aNow);
  offer.decision = admission_decision::wait;
  offer.displaced = DisplaceLate(aNow);
  return offer;
}

void
run_queue::Insert(const run_entry& aEntry, time_point aNow)
{
  auto place = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&](const run_entry& aWaiting) {
      return Before(aEntry, aWaiting, aNow);
    });
  mWaiting.insert(place, aEntry);
}

std::vector<run_id>
run_queue::DisplaceLate(time_point aNow)
{
  std::vector<run_id> displaced;
  double average = mTypicalOfAll > 0 ? mTypicalOfAll : kUnknownMicroseconds;
  double ahead = average;
  for (auto entry = mWaiting.begin(); entry != mWaiting.end();) {
    if (!InTime(*entry, ahead / mSlots, aNow)) {
      displaced.push_back(entry->id);
      entry = mWaiting.erase(entry);
      continue;
    }
    ahead += static_cast<double>(AverageDuration(entry->key).count());
    ++entry;
  }
  return displaced;
}

void
run_queue::Finished(const std::string& aKey, duration aTook)
{
  if (mBusy > 0) {
    --mBusy;
  }
  if (aTook > duration(0)) {
    Average(mTypical[aKey], static_cast<double>(aTook.count()));
    Average(mTypicalOfAll, static_cast<double>(aTook.count()));
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
run_queue::Next(time_point aNow)
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
  if (mBusy < mSlots && !mWaiting.empty()) {
    auto first =
      std::min_element(mWaiting.begin(),
                       mWaiting.end(),
                       [&](const run_entry& aLeft, const run_entry& aRight) {
                         return Before(aLeft, aRight, aNow);
                       });
    next.run = first->id;
    mWaiting.erase(first);
    ++mBusy;
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
  load.average_duration = Microseconds(mTypicalOfAll);
  return load;
}

} // namespace eelgrasstrack
