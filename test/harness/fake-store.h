#ifndef EELGRASSTRACK_HARNESS_FAKE_STORE_H_
#define EELGRASSTRACK_HARNESS_FAKE_STORE_H_

#include <list>
#include <map>
#include <random>

#include "harness/virtual-time.h"
#include "store/call-budget.h"
#include "store/object-store.h"

namespace eelgrasstrack::harness {

/// An in-memory object store with injected faults and the platform's rate
/// limits.
class fake_store final : public object_store
{
public:
  fake_store(virtual_time& aTime, std::uint64_t aSeed);

  void Get(const std::string& aKey, get_callback aDone) override;
  void Put(const std::string& aKey,
           std::string aValue,
           std::uint64_t aExpectedVersion,
           put_callback aDone) override;
  void Watch(const std::string& aKey,
             std::uint64_t aKnownVersion,
             duration aWait,
             get_callback aDone) override;

  /// While unavailable, all new calls fail, as do the pending watches.
  void SetUnavailable(bool aUnavailable);
  /// The connections of all pending watches fall silent: these calls end with
  /// their timeout. New calls work.
  void SilencePendingWatches();
  /// While hanging, new calls get no answer and end with their timeout.
  void SetHanging(bool aHanging) { mHanging = aHanging; }
  /// Reads and watches of this key are answered as if there were no such
  /// object; an empty key ends that.
  void SetMissing(std::string aKey) { mMissingKey = std::move(aKey); }
  /// Cuts the next `aCount` answers with an object short.
  void TruncateAnswers(unsigned aCount) { mAnswersToTruncate = aCount; }
  /// Each step of a call takes between half of `aDelay` and twice `aDelay`.
  void SetDelay(duration aDelay) { mDelay = aDelay; }
  /// Sets the probability that a write takes effect but its answer is lost.
  void SetLostAnswerChance(double aChance) { mLostAnswerChance = aChance; }

  const stored_object& ObjectOf(const std::string& aKey)
  {
    return mObjects[aKey];
  }
  /// Puts back an earlier object, like a restore from a backup.
  void Restore(const std::string& aKey, stored_object aObject)
  {
    mObjects[aKey] = std::move(aObject);
  }
  const std::string& ValueOf(const std::string& aKey)
  {
    return mObjects[aKey].value;
  }
  std::uint64_t Calls() const { return mCalls; }
  /// Number of calls made while the store was unavailable or hanging, which
  /// `Calls` does not count.
  std::uint64_t FailedCalls() const { return mFailedCalls; }
  /// Number of calls refused by the rate limits.
  std::uint64_t RefusedCalls() const { return mRefused; }
  std::uint64_t PendingWatches() const { return mWatches.size(); }
  /// Highest number of reads or writes in any one second so far.
  std::uint64_t PeakReads() const { return mPeakReads; }
  std::uint64_t PeakWrites() const { return mPeakWrites; }

private:
  struct watch
  {
    std::string key;
    std::uint64_t known_version;
    std::uint64_t id;
    get_callback done;
    bool silent = false;
  };

  /// Whether a call fails, because the store is unavailable or hanging. Counts
  /// the failed calls.
  bool Fails();
  duration Latency();
  bool Admit(bool aWrite);
  /// Ends a failed call: at once, or, while hanging, `aWait` and the call
  /// timeout after its start.
  template<typename T>
  void EndWithoutAnswer(std::function<void(result<T>)> aDone, duration aWait);
  /// The object as a caller receives it.
  stored_object Sent(const std::string& aKey);
  template<typename T>
  void Reply(std::function<void(result<T>)> aDone, result<T> aResult)
  {
    mTime.RunAfter(Latency(), [aDone, aResult] { aDone(aResult); });
  }

  virtual_time& mTime;
  std::mt19937_64 mRandom;
  std::map<std::string, stored_object> mObjects;
  std::list<watch> mWatches;
  call_budget mReadBudget;
  call_budget mWriteBudget;
  duration mDelay = std::chrono::milliseconds(3);
  double mLostAnswerChance = 0;
  bool mUnavailable = false;
  bool mHanging = false;
  std::string mMissingKey;
  unsigned mAnswersToTruncate = 0;
  std::uint64_t mNextVersion = 0;
  std::uint64_t mNextWatch = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailedCalls = 0;
  std::uint64_t mRefused = 0;
  std::int64_t mCurrentSecond = 0;
  std::uint64_t mReadsInSecond = 0;
  std::uint64_t mWritesInSecond = 0;
  std::uint64_t mPeakReads = 0;
  std::uint64_t mPeakWrites = 0;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_FAKE_STORE_H_
