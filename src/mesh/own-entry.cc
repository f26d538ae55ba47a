#include "mesh/own-entry.h"

#include "base/log.h"
#include "mesh/host-entry-repair.h"

namespace eelgrasstrack {

namespace {

/// Changes of the record within this time are combined into one write.
constexpr duration kPublishDelay = std::chrono::milliseconds(700);
/// Delay before the entry is written again while an instance that leaves waits
/// for that.
constexpr duration kDepartureRetryDelay = std::chrono::milliseconds(250);

} // namespace

own_entry::own_entry(loop& aLoop,
                     control_store& aStore,
                     const host_record& aRecord,
                     own_entry_delegate& aDelegate)
  : mLoop(aLoop)
  , mStore(aStore)
  , mRecord(aRecord)
  , mDelegate(aDelegate)
  , mDepartures(aLoop)
{
}

void
own_entry::Publish()
{
  // An instance may leave while its node stops; that must be known afterwards.
  if (mCalling || (mStopping && !mDepartures.IsWaiting())) {
    return;
  }
  if (mStored && HaveSameEntry(*mStored, mRecord)) {
    return;
  }
  mCalling = true;
  host_record written = mRecord;
  written.leaving = false; // the entry also holds for the next process
  mStore.PublishHost(written, [this, written](const result<void>& aDone) {
    mCalling = false;
    if (aDone) {
      HandleWritten(written);
    } else {
      HandleWriteFailed(aDone.error());
    }
  });
}

void
own_entry::HandleWritten(const host_record& aEntry)
{
  mDepartures.HandleEntryStored(aEntry);
  bool first = !mStored;
  mStored = aEntry;
  mDelegate.OnEntryWritten(first);
  Publish(); // the record may have changed during the write
}

void
own_entry::HandleWriteFailed(const error& aError)
{
  LogEvent(
    log_level::debug, "publish_failed", { { "reason", aError.message } });
  if (aError.kind == error_kind::conflict) {
    Read();
    return;
  }
  // A call that has timed out has taken long enough.
  bool timedOut = aError.kind == error_kind::deadline_exceeded;
  PublishSoon(timedOut ? duration(0) : kDepartureRetryDelay);
}

void
own_entry::Read()
{
  mCalling = true;
  mStore.ReadHost(mRecord.name, [this](const result<host_record>& aEntry) {
    mCalling = false;
    if (aEntry) {
      bool first = !mStored;
      mStored = *aEntry;
      HandleRead(*aEntry, first);
    } else {
      LogEvent(log_level::debug,
               "own_entry_not_read",
               { { "reason", aEntry.error().message } });
    }
    PublishSoon(kDepartureRetryDelay);
  });
}

void
own_entry::HandleRead(const host_record& aEntry, bool aFirst)
{
  mDepartures.HandleEntryStored(aEntry);
  mDelegate.OnEntryRead(aEntry, aFirst);
}

void
own_entry::HandleListed(const host_record& aEntry)
{
  bool first = !mStored;
  if (first) {
    mStored = aEntry; // otherwise it may be older than the last write
  }
  HandleRead(aEntry, first);
}

void
own_entry::HandleLost()
{
  mStored.reset();
  SchedulePublish();
}

void
own_entry::PublishSoon(duration aDelay)
{
  if (mDepartures.IsWaiting()) {
    mLoop.RunAfter(aDelay, [this] { Publish(); });
  } else {
    SchedulePublish();
  }
}

void
own_entry::SchedulePublish()
{
  if (mScheduled) {
    return;
  }
  mScheduled = true;
  mLoop.RunAfter(kPublishDelay, [this] {
    mScheduled = false;
    Publish();
  });
}

void
own_entry::AcknowledgeDeparture(const instance_incarnation& aDeparture,
                                done_callback aDone)
{
  if (mStored && ShowsDeparture(*mStored, aDeparture)) {
    aDone({});
    return;
  }
  mDepartures.Await(aDeparture, std::move(aDone));
  Publish();
}

} // namespace eelgrasstrack
