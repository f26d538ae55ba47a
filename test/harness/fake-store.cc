#include "harness/fake-store.h"

#include <algorithm>

namespace eelgrasstrack::harness {

namespace {

/// Rate limits of the platform, from the users' description of it.
constexpr double kReadsPerSecond = 2000;
constexpr double kWritesPerSecond = 300;
/// Time after which a caller gives up a call, in addition to a watch's wait.
constexpr duration kCallTimeout = std::chrono::seconds(3);

result<stored_object>
UnavailableError(execution aRan)
{
  return tl::unexpected<error>(
    error{ error_kind::store_unavailable, "object store: unavailable", aRan });
}

} // namespace

fake_store::fake_store(virtual_time& aTime, std::uint64_t aSeed)
  : mTime(aTime)
  , mRandom(aSeed)
  , mReadBudget(kReadsPerSecond, kReadsPerSecond)
  , mWriteBudget(kWritesPerSecond, kWritesPerSecond)
{
}

duration
fake_store::Latency()
{
  std::uniform_int_distribution<duration::rep> draw(mDelay.count() / 2,
                                                    mDelay.count() * 2);
  return duration(draw(mRandom));
}

bool
fake_store::Admit(bool aWrite)
{
  ++mCalls;
  std::int64_t second = mTime.UnixMilliseconds() / 1000;
  if (second != mCurrentSecond) {
    mCurrentSecond = second;
    mReadsInSecond = 0;
    mWritesInSecond = 0;
  }
  if (aWrite) {
    mPeakWrites = std::max(mPeakWrites, ++mWritesInSecond);
  } else {
    mPeakReads = std::max(mPeakReads, ++mReadsInSecond);
  }
  bool admitted = (aWrite ? mWriteBudget : mReadBudget).TryAcquire(mTime.Now());
  mRefused += admitted ? 0 : 1;
  return admitted;
}

bool
fake_store::Fails()
{
  bool fails = mHanging || mUnavailable;
  mFailedCalls += fails ? 1 : 0;
  return fails;
}

template<typename T>
void
fake_store::EndWithoutAnswer(std::function<void(result<T>)> aDone,
                             duration aWait)
{
  result<T> unavailable =
    tl::unexpected<error>(UnavailableError(execution::unknown).error());
  if (!mHanging) {
    Reply<T>(std::move(aDone), std::move(unavailable));
    return;
  }
  mTime.RunAfter(aWait + kCallTimeout,
                 [aDone, unavailable] { aDone(unavailable); });
}

stored_object
fake_store::Sent(const std::string& aKey)
{
  if (aKey == mMissingKey) {
    return {};
  }
  stored_object object = mObjects[aKey];
  if (mAnswersToTruncate > 0 && object.version != 0) {
    --mAnswersToTruncate;
    object.value.resize(object.value.size() / 2);
  }
  return object;
}

void
fake_store::Get(const std::string& aKey, get_callback aDone)
{
  if (Fails()) {
    EndWithoutAnswer<stored_object>(aDone, duration(0));
    return;
  }
  if (!Admit(false)) {
    Reply<stored_object>(
      aDone, Fail(error_kind::overloaded, "object store: rate limit exceeded"));
    return;
  }
  Reply<stored_object>(aDone, Sent(aKey));
}

void
fake_store::Put(const std::string& aKey,
                std::string aValue,
                std::uint64_t aExpectedVersion,
                put_callback aDone)
{
  auto lost = [&](execution aRan) {
    return result<std::uint64_t>(
      tl::unexpected<error>(UnavailableError(aRan).error()));
  };
  if (Fails()) {
    EndWithoutAnswer<std::uint64_t>(aDone, duration(0));
    return;
  }
  if (!Admit(true)) {
    Reply<std::uint64_t>(
      aDone, Fail(error_kind::overloaded, "object store: rate limit exceeded"));
    return;
  }
  // The write takes effect after a delay, so that concurrent calls can overlap.
  mTime.RunAfter(
    Latency(),
    [this, aKey, value = std::move(aValue), aExpectedVersion, aDone, lost] {
      stored_object& stored = mObjects[aKey];
      if (stored.version != aExpectedVersion) {
        Reply<std::uint64_t>(
          aDone,
          Fail(error_kind::conflict,
               "object store: version differs from the expected one"));
        return;
      }
      stored.version = ++mNextVersion;
      stored.value = value;
      for (auto each = mWatches.begin(); each != mWatches.end();) {
        if (each->key != aKey || each->silent) {
          ++each;
          continue;
        }
        Reply<stored_object>(each->done, Sent(aKey));
        each = mWatches.erase(each);
      }
      std::uniform_real_distribution<double> draw(0, 1);
      if (draw(mRandom) < mLostAnswerChance) {
        Reply<std::uint64_t>(aDone, lost(execution::unknown));
        return;
      }
      Reply<std::uint64_t>(aDone, stored.version);
    });
}

void
fake_store::Watch(const std::string& aKey,
                  std::uint64_t aKnownVersion,
                  duration aWait,
                  get_callback aDone)
{
  if (Fails()) {
    EndWithoutAnswer<stored_object>(aDone, aWait);
    return;
  }
  if (!Admit(false)) {
    Reply<stored_object>(
      aDone, Fail(error_kind::overloaded, "object store: rate limit exceeded"));
    return;
  }
  if (aKey == mMissingKey || mObjects[aKey].version != aKnownVersion) {
    Reply<stored_object>(aDone, Sent(aKey));
    return;
  }
  std::uint64_t id = ++mNextWatch;
  mWatches.push_back({ aKey, aKnownVersion, id, aDone });
  mTime.RunAfter(aWait, [this, id, aKey] {
    auto found =
      std::find_if(mWatches.begin(), mWatches.end(), [&](const watch& aWatch) {
        return aWatch.id == id;
      });
    if (found != mWatches.end()) {
      watch ended = *found;
      mWatches.erase(found);
      if (ended.silent) {
        mTime.RunAfter(kCallTimeout, [done = ended.done] {
          done(UnavailableError(execution::unknown));
        });
      } else {
        Reply<stored_object>(ended.done, Sent(aKey));
      }
    }
  });
}

void
fake_store::SilencePendingWatches()
{
  for (watch& each : mWatches) {
    each.silent = true;
  }
}

void
fake_store::SetUnavailable(bool aUnavailable)
{
  mUnavailable = aUnavailable;
  if (!mUnavailable) {
    return;
  }
  for (const watch& each : mWatches) {
    Reply<stored_object>(each.done, UnavailableError(execution::unknown));
  }
  mWatches.clear();
}

} // namespace eelgrasstrack::harness
