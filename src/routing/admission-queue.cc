#include "routing/admission-queue.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Weight of the newest call in the moving average of the service time.
constexpr double kSmoothing = 0.1;

} // namespace

admission_queue::admission_queue(admission_limits aLimits)
  : mLimits(aLimits)
{
}

bool
admission_queue::CanMeetDeadline(time_point aDeadline,
                                 std::size_t aCallsAhead,
                                 time_point aNow) const
{
  double slots = std::max(mLimits.slots, 1U);
  double wait =
    mMeanServiceMicroseconds * static_cast<double>(aCallsAhead) / slots;
  double timeNeeded = wait + mMeanServiceMicroseconds;
  return aNow + duration(static_cast<duration::rep>(timeNeeded)) <= aDeadline;
}

void
admission_queue::MarkRunning(const std::string& aCaller)
{
  ++mRunningCount;
  ++mRunningByCaller[aCaller];
}

admission_outcome
admission_queue::Offer(admission_id aCall,
                       const std::string& aCaller,
                       time_point aDeadline,
                       time_point aNow)
{
  admission_outcome outcome;
  if (aDeadline <= aNow) {
    return outcome;
  }
  if (mRunningCount < mLimits.slots && mQueued.empty()) {
    MarkRunning(aCaller);
    outcome.decision = admission_decision::run;
    return outcome;
  }
  if (!CanMeetDeadline(aDeadline, mQueued.size() + 1, aNow)) {
    return outcome;
  }
  if (mQueued.size() >= mLimits.max_queued) {
    auto evicted = FindCallToEvict(aCaller);
    if (evicted == mQueued.end()) {
      return outcome;
    }
    outcome.evicted.push_back(evicted->id);
    mQueued.erase(evicted);
  }
  mQueued.push_back({ aCall, aCaller, aDeadline });
  outcome.decision = admission_decision::queued;
  return outcome;
}

std::list<admission_queue::queued_call>::iterator
admission_queue::FindCallToEvict(const std::string& aNewCaller)
{
  std::map<std::string, std::size_t> queuedByCaller;
  for (const queued_call& call : mQueued) {
    ++queuedByCaller[call.caller];
  }
  // Count the new call as well: if the evicted caller had only one call more
  // than the new caller, evicting would merely swap their shares of the queue.
  std::size_t mostQueued = queuedByCaller[aNewCaller] + 1;
  const std::string* mostQueuedCaller = nullptr;
  for (const auto& [caller, count] : queuedByCaller) {
    if (count > mostQueued) {
      mostQueued = count;
      mostQueuedCaller = &caller;
    }
  }
  if (mostQueuedCaller == nullptr) {
    return mQueued.end();
  }
  auto last = std::find_if(
    mQueued.rbegin(), mQueued.rend(), [&](const queued_call& aCall) {
      return aCall.caller == *mostQueuedCaller;
    });
  return std::prev(last.base());
}

void
admission_queue::Finish(const std::string& aCaller, duration aServiceTime)
{
  mRunningCount -= mRunningCount > 0 ? 1 : 0;
  auto running = mRunningByCaller.find(aCaller);
  if (running != mRunningByCaller.end() && --running->second == 0) {
    mRunningByCaller.erase(running);
  }
  if (aServiceTime.count() > 0) {
    double sample = static_cast<double>(aServiceTime.count());
    mMeanServiceMicroseconds =
      mMeanServiceMicroseconds == 0
        ? sample
        : mMeanServiceMicroseconds * (1 - kSmoothing) + sample * kSmoothing;
  }
}

bool
admission_queue::RemoveQueued(admission_id aCall)
{
  auto found = std::find_if(
    mQueued.begin(), mQueued.end(), [&](const queued_call& aWaiting) {
      return aWaiting.id == aCall;
    });
  if (found == mQueued.end()) {
    return false;
  }
  mQueued.erase(found);
  return true;
}

admission_queue::next_result
admission_queue::StartNext(time_point aNow)
{
  next_result next;
  for (auto call = mQueued.begin(); call != mQueued.end();) {
    if (CanMeetDeadline(call->deadline, 0, aNow)) {
      ++call;
      continue;
    }
    next.expired.push_back(call->id);
    call = mQueued.erase(call);
  }
  if (mRunningCount >= mLimits.slots || mQueued.empty()) {
    return next;
  }
  auto runningCountOf = [&](const queued_call& aCall) {
    auto found = mRunningByCaller.find(aCall.caller);
    return found == mRunningByCaller.end() ? 0U : found->second;
  };
  auto best = std::min_element(
    mQueued.begin(),
    mQueued.end(),
    [&](const queued_call& aLeft, const queued_call& aRight) {
      std::uint32_t left = runningCountOf(aLeft);
      std::uint32_t right = runningCountOf(aRight);
      return left != right ? left < right : aLeft.deadline < aRight.deadline;
    });
  next.run = best->id;
  MarkRunning(best->caller);
  mQueued.erase(best);
  return next;
}

} // namespace eelgrasstrack
