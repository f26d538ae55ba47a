#include "mesh/departure-acknowledger.h"

#include <algorithm>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

/// An instance that has no answer after a second asks again.
constexpr duration kRecordTimeout = std::chrono::milliseconds(900);

} // namespace

void
departure_acknowledger::Await(const instance_incarnation& aDeparture,
                              done_callback aDone)
{
  pending_ptr pending = Find(aDeparture);
  if (!pending) {
    pending = Begin(aDeparture);
  }
  pending->waiting.push_back(std::move(aDone));
}

departure_acknowledger::pending_ptr
departure_acknowledger::Find(const instance_incarnation& aDeparture) const
{
  auto found = std::find_if(mPending.begin(),
                            mPending.end(),
                            [&aDeparture](const pending_ptr& aPending) {
                              return aPending->departure == aDeparture;
                            });
  return found == mPending.end() ? nullptr : *found;
}

departure_acknowledger::pending_ptr
departure_acknowledger::Begin(const instance_incarnation& aDeparture)
{
  auto pending = std::make_shared<pending_departure>();
  pending->departure = aDeparture;
  mPending.push_back(pending);
  mLoop.RunAfter(kRecordTimeout, [this, pending] {
    Finish(
      pending,
      Fail(error_kind::not_ready, "departure: the store has not recorded it"));
  });
  return pending;
}

void
departure_acknowledger::HandleEntryStored(const host_record& aEntry)
{
  for (const pending_ptr& pending : std::vector<pending_ptr>(mPending)) {
    if (ShowsDeparture(aEntry, pending->departure)) {
      Finish(pending, {});
    }
  }
}

void
departure_acknowledger::Finish(const pending_ptr& aPending,
                               const result<void>& aResult)
{
  if (aPending->waiting.empty()) {
    return; // already finished
  }
  LogEvent(aResult ? log_level::info : log_level::warning,
           "departure_acknowledged",
           { { "instance", aPending->departure.id },
             { "outcome", aResult ? "recorded" : aResult.error().message } });
  std::erase(mPending, aPending);
  std::vector<done_callback> waiting = std::move(aPending->waiting);
  aPending->waiting.clear();
  for (const done_callback& done : waiting) {
    done(aResult);
  }
}

} // namespace eelgrasstrack
