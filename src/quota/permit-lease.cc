#include "quota/permit-lease.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr duration kDemandTimeConstant = std::chrono::seconds(2);
/// Part of the validity for which permits are asked ahead; the rest covers the
/// exchange and the error of the estimate.
constexpr double kHorizonPart = 0.8;
/// A node that expects fewer further requests than this while a permit is valid
/// asks only when a request comes.
constexpr unsigned kMinDemandToAskAhead = 3;
/// A lease that is used up within this time is renewed.
constexpr double kMaxLeadSeconds = 0.1;
constexpr double kLeadPart = 0.25;
constexpr duration kMinHold = std::chrono::milliseconds(1);
constexpr duration kMaxHold = std::chrono::milliseconds(500);
/// An ask that is not answered makes its requests wait, so the next one is made
/// when the failure detector may have found another owner.
constexpr duration kSilentHold = std::chrono::milliseconds(250);
/// An error is answered at once and makes no request wait.
constexpr duration kErrorHold = std::chrono::milliseconds(100);
constexpr duration kMaxRetryAfter = std::chrono::seconds(2);

double
SecondsOf(duration aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosecondsPerSecond;
}

} // namespace

permit_lease::permit_lease(const quota_terms& aTerms)
  : mTerms(aTerms)
  , mDemand(kDemandTimeConstant)
  , mGranted(kDemandTimeConstant)
{
}

void
permit_lease::SetTerms(const quota_terms& aTerms)
{
  if (aTerms == mTerms) {
    return;
  }
  double kept =
    std::min(aTerms.permits_per_second / mTerms.permits_per_second, 1.0);
  for (permit_batch& batch : mBatches) {
    batch.count = static_cast<unsigned>(batch.count * kept);
  }
  mTerms = aTerms;
}

void
permit_lease::RecordDemand(time_point aNow)
{
  mDemand.Record(1, aNow);
}

void
permit_lease::DropExpired(time_point aNow)
{
  while (!mBatches.empty() &&
         (mBatches.front().count == 0 || mBatches.front().expires <= aNow)) {
    mBatches.pop_front();
  }
}

unsigned
permit_lease::Held() const
{
  unsigned held = 0;
  for (const permit_batch& batch : mBatches) {
    held += batch.count;
  }
  return held;
}

std::optional<quota_permit>
permit_lease::TryUse(time_point aNow)
{
  DropExpired(aNow);
  if (mBatches.empty()) {
    return std::nullopt;
  }
  --mBatches.front().count;
  return quota_permit{ mBatches.front().expires };
}

void
permit_lease::Return(const quota_permit& aPermit, time_point aNow)
{
  if (aPermit.expires <= aNow) {
    return;
  }
  auto later =
    std::find_if(mBatches.begin(), mBatches.end(), [&](const auto& aBatch) {
      return aBatch.expires >= aPermit.expires;
    });
  if (later != mBatches.end() && later->expires == aPermit.expires) {
    ++later->count;
    return;
  }
  mBatches.insert(later, { aPermit.expires, 1 });
}

unsigned
permit_lease::LikelyDemand(time_point aNow) const
{
  double expected =
    mDemand.PerSecond(aNow) * SecondsOf(mTerms.validity) * kHorizonPart;
  // With Poisson arrivals, at least this number come with a probability of
  // about three in four, so few permits expire unused.
  constexpr double kDeviations = 0.7;
  constexpr double kRounding = 0.4;
  double likely = expected - kDeviations * std::sqrt(expected) + kRounding;
  return static_cast<unsigned>(std::max(likely, 0.0));
}

unsigned
permit_lease::CountToAsk(std::size_t aWaiting, time_point aNow)
{
  if (IsAsking() || IsHeld(aNow)) {
    return 0;
  }
  DropExpired(aNow);
  unsigned likely = LikelyDemand(aNow);
  unsigned held = Held();
  auto waiting = static_cast<unsigned>(aWaiting);
  if (waiting == 0) {
    double lead =
      std::min(kMaxLeadSeconds, SecondsOf(mTerms.validity) * kLeadPart);
    bool usedUpSoon = held <= mDemand.PerSecond(aNow) * lead;
    if (likely < kMinDemandToAskAhead || !usedUpSoon) {
      return 0;
    }
  }
  unsigned wanted = waiting + likely;
  return wanted > held ? wanted - held : 0;
}

void
permit_lease::BeginAsk(unsigned aCount, time_point aNow)
{
  mAsked = aCount;
  mAskedAt = aNow;
}

void
permit_lease::HandleGrant(unsigned aGranted, duration aWait, time_point aNow)
{
  unsigned granted = std::min(aGranted, mAsked);
  if (granted < mAsked) {
    mHeldUntil = aNow + std::clamp(aWait, kMinHold, kMaxHold);
  }
  mAsked = 0;
  mOwnerSilent = false;
  mGranted.Record(granted, aNow);
  // The owner has granted them after they were asked for.
  time_point expires = mAskedAt + mTerms.validity;
  if (granted > 0 && expires > aNow) {
    mBatches.push_back({ expires, granted });
  }
}

void
permit_lease::HandleSilentOwner(bool aTimedOut, time_point aNow)
{
  mAsked = 0;
  mOwnerSilent = true;
  mHeldUntil = aNow + (aTimedOut ? kSilentHold : kErrorHold);
}

void
permit_lease::HandleNewOwner()
{
  mOwnerSilent = false;
  mHeldUntil = {};
}

bool
permit_lease::TryAllowance(duration aWindow, time_point aNow)
{
  if (mAllowanceUsed && aNow - *mAllowanceUsed < aWindow) {
    return false;
  }
  mAllowanceUsed = aNow;
  return true;
}

duration
permit_lease::RetryAfter(time_point aNow)
{
  constexpr double kMinGrantsPerSecond = 0.5;
  double perSecond = std::max(mGranted.PerSecond(aNow), kMinGrantsPerSecond);
  duration interval(
    static_cast<std::int64_t>(kMicrosecondsPerSecond / perSecond));
  time_point next = std::max({ mNextRetry, mHeldUntil, aNow });
  mNextRetry = std::min(next + interval, aNow + kMaxRetryAfter);
  return next - aNow;
}

} // namespace eelgrasstrack
