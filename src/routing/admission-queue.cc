#include "routing/admission-queue.h"

#include <algorithm>

namespace eelgrasstrack {

namespace {

/// Weight of the newest call in the moving average.
constexpr double kSmoothing = 0.1;

} // namespace

admission_queue::admission_queue(admission_limits aLimits)
  : mLimits(aLimits)
{
}

bool
admission_queue::DeadlineInReach(time_point aDeadline,
                                 std::size_t aAhead,
                                 time_point aNow) const
{
  double slots = std::max(mLimits.slots, 1U);
  double wait = mServiceMicroseconds * static_cast<double>(aAhead) / slots;
  double needed = wait + mServiceMicroseconds;
  return aNow + duration(static_cast<duration::rep>(needed)) <= aDeadline;
}

void
admission_queue::Run(const std::string& aCaller)
{
  ++mBusy;
  ++mRunning[aCaller];
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
  if (mBusy < mLimits.slots && mWaiting.empty()) {
    Run(aCaller);
    outcome.verdict = admission::run;
    return outcome;
  }
  if (!DeadlineInReach(aDeadline, mWaiting.size() + 1, aNow)) {
    return outcome;
  }
  if (mWaiting.size() >= mLimits.queue) {
    auto greedy = LastOfGreediest(aCaller);
    if (greedy == mWaiting.end()) {
      return outcome;
    }
    outcome.evicted.push_back(greedy->id);
    mWaiting.erase(greedy);
  }
  mWaiting.push_back({ aCall, aCaller, aDeadline });
  outcome.verdict = admission::queued;
  return outcome;
}

std::list<admission_queue::waiting_call>::iterator
admission_queue::LastOfGreediest(const std::string& aNewcomer)
{
  std::map<std::string, std::size_t> held;
  for (const waiting_call& call : mWaiting) {
    ++held[call.caller];
  }
  // One more than the newcomer would hold: otherwise calls only change places.
  std::size_t most = held[aNewcomer] + 1;
  const std::string* greediest = nullptr;
  for (const auto& [caller, count] : held) {
    if (count > most) {
      most = count;
      greediest = &caller;
    }
  }
  if (greediest == nullptr) {
    return mWaiting.end();
  }
  auto last = std::find_if(
    mWaiting.rbegin(), mWaiting.rend(), [&](const waiting_call& aCall) {
      return aCall.caller == *greediest;
    });
  return std::prev(last.base());
}

void
admission_queue::Finish(const std::string& aCaller, duration aServiceTime)
{
  mBusy -= mBusy > 0 ? 1 : 0;
  auto running = mRunning.find(aCaller);
  if (running != mRunning.end() && --running->second == 0) {
    mRunning.erase(running);
  }
  if (aServiceTime.count() > 0) {
    double sample = static_cast<double>(aServiceTime.count());
    mServiceMicroseconds =
      mServiceMicroseconds == 0
        ? sample
        : mServiceMicroseconds * (1 - kSmoothing) + sample * kSmoothing;
  }
}

bool
admission_queue::Withdraw(admission_id aCall)
{
  auto found = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&](const waiting_call& aWaiting) {
      return aWaiting.id == aCall;
    });
  if (found == mWaiting.end()) {
    return false;
  }
  mWaiting.erase(found);
  return true;
}

admission_queue::next_call
admission_queue::Next(time_point aNow)
{
  next_call next;
  for (auto call = mWaiting.begin(); call != mWaiting.end();) {
    if (DeadlineInReach(call->deadline, 0, aNow)) {
      ++call;
      continue;
    }
    next.expired.push_back(call->id);
    call = mWaiting.erase(call);
  }
  if (mBusy >= mLimits.slots || mWaiting.empty()) {
    return next;
  }
  auto runningOf = [&](const waiting_call& aCall) {
    auto found = mRunning.find(aCall.caller);
    return found == mRunning.end() ? 0U : found->second;
  };
  auto best = std::min_element(
    mWaiting.begin(),
    mWaiting.end(),
    [&](const waiting_call& aLeft, const waiting_call& aRight) {
      std::uint32_t left = runningOf(aLeft);
      std::uint32_t right = runningOf(aRight);
      return left != right ? left < right : aLeft.deadline < aRight.deadline;
    });
  next.run = best->id;
  Run(best->caller);
  mWaiting.erase(best);
  return next;
}

} // namespace eelgrasstrack
