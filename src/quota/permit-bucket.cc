#include "quota/permit-bucket.h"

#include <algorithm>
#include <cmath>

namespace eelgrasstrack {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// A node rejects locally for no longer than this after a refusal.
constexpr double kMaxBacklogSeconds = 0.5;
constexpr duration kRefusedMemory = std::chrono::seconds(1);
/// Longest reported wait: a share near 0 would make it endless.
constexpr double kMaxWaitSeconds = 60;

double
SecondsOf(duration aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosecondsPerSecond;
}

} // namespace

permit_bucket::permit_bucket(const quota_terms& aTerms, time_point aNow)
  : mTerms(aTerms)
  , mRefilledAt(aNow)
{
}

void
permit_bucket::SetTerms(const quota_terms& aTerms, time_point aNow)
{
  Refill(aNow);
  mTerms = aTerms;
  mPermits = std::min(mPermits, mTerms.depth);
  mBacklog = std::min(mBacklog, Rate() * kMaxBacklogSeconds);
}

void
permit_bucket::SetShare(double aShare, time_point aNow)
{
  Refill(aNow);
  mShare = aShare;
}

void
permit_bucket::Refill(time_point aNow)
{
  double refill = Rate() * SecondsOf(std::max(aNow - mRefilledAt, duration(0)));
  mRefilledAt = std::max(aNow, mRefilledAt);
  mPermits = std::min(mPermits + refill, mTerms.depth);
  mBacklog = std::max(mBacklog - refill, 0.0);
}

permit_grant
permit_bucket::Take(const std::string& aNode, unsigned aCount, time_point aNow)
{
  Refill(aNow);
  permit_grant grant;
  double available = std::min<double>(aCount, std::floor(mPermits));
  grant.count = static_cast<unsigned>(available);
  mPermits -= grant.count;
  if (grant.count == aCount) {
    return grant;
  }
  grant.wait = WaitFor(aNode, aNow);
  mBacklog =
    std::min(mBacklog + aCount - grant.count, Rate() * kMaxBacklogSeconds);
  return grant;
}

duration
permit_bucket::WaitFor(const std::string& aNode, time_point aNow)
{
  mRefused[aNode] = aNow;
  ForgetRefused(aNow);
  double rate = std::max(Rate(), 1 / kMaxWaitSeconds);
  double next = (1 - mPermits) / rate;
  // The nodes that wait must come back before the bucket overflows, or part of
  // the limit is lost.
  double untilHalfFull =
    static_cast<double>(mRefused.size()) * mTerms.depth / 2 / rate;
  double seconds =
    next + std::min({ mBacklog / rate, untilHalfFull, kMaxBacklogSeconds });
  return duration(static_cast<std::int64_t>(std::min(seconds, kMaxWaitSeconds) *
                                            kMicrosecondsPerSecond));
}

void
permit_bucket::ForgetRefused(time_point aNow)
{
  if (aNow - mForgottenAt < kRefusedMemory / 2) {
    return;
  }
  mForgottenAt = aNow;
  std::erase_if(mRefused, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kRefusedMemory;
  });
}

} // namespace eelgrasstrack
