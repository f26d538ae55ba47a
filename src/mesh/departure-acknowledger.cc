#include "mesh/departure-acknowledger.h"

#include <algorithm>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

/// Time for the store to write the entry before other nodes are asked as well.
constexpr duration kStoreWriteTime = std::chrono::milliseconds(300);
/// An instance that has no answer after a second asks elsewhere.
constexpr duration kRecordTimeout = std::chrono::milliseconds(900);
/// Nodes that must record a departure in place of the store, as one of them may
/// be killed as well.
constexpr std::size_t kRequiredNodes = 2;

} // namespace

departure_acknowledger::departure_acknowledger(loop& aLoop, gossip& aGossip)
  : mLoop(aLoop)
  , mGossip(aGossip)
{
}

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
  mLoop.RunAfter(kStoreWriteTime, [this, pending] { AskOthers(pending); });
  mLoop.RunAfter(kRecordTimeout, [this, pending] {
    Finish(pending,
           Fail(error_kind::not_ready,
                "departure: neither the store nor other nodes have recorded "
                "it"));
  });
  return pending;
}

void
departure_acknowledger::HandleEntryWritten(const host_record& aEntry)
{
  for (const pending_ptr& pending : std::vector<pending_ptr>(mPending)) {
    if (!NamesAsReady(aEntry, pending->departure)) {
      Finish(pending, {});
    }
  }
}

void
departure_acknowledger::HandleWriteFailed()
{
  for (const pending_ptr& pending : std::vector<pending_ptr>(mPending)) {
    AskOthers(pending);
  }
}

void
departure_acknowledger::AskOthers(const pending_ptr& aPending)
{
  if (aPending->waiting.empty() || aPending->others_asked) {
    return;
  }
  aPending->others_asked = true;
  mGossip.SpreadDeparture(aPending->departure,
                          [this, aPending](const std::string& aHost) {
                            HandleRecorded(aPending, aHost);
                          });
}

void
departure_acknowledger::HandleRecorded(const pending_ptr& aPending,
                                       const std::string& aHost)
{
  aPending->recorded_by.insert(aHost);
  std::size_t wanted =
    std::min(kRequiredNodes, mGossip.ReachableHosts().size());
  if (aPending->recorded_by.size() >= wanted) {
    Finish(aPending, {});
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
             { "nodes", std::to_string(aPending->recorded_by.size()) },
             { "outcome", aResult ? "recorded" : aResult.error().message } });
  std::erase(mPending, aPending);
  std::vector<done_callback> waiting = std::move(aPending->waiting);
  aPending->waiting.clear();
  for (const done_callback& done : waiting) {
    done(aResult);
  }
}

bool
NamesAsReady(const host_record& aEntry, const instance_incarnation& aInstance)
{
  return aEntry.instance.state == instance_state::ready &&
         HasLeft(aInstance, aEntry.instance);
}

} // namespace eelgrasstrack
