#ifndef EELGRASSTRACK_TEST_HARNESS_PLATFORM_STORE_H_
#define EELGRASSTRACK_TEST_HARNESS_PLATFORM_STORE_H_

#include <nlohmann/json.hpp>

#include "wire/service-port.h"

namespace eelgrasstrack::test {

/// In-process fake of the platform's store with its HTTP protocol: objects by
/// kind and name, conditional writes, paged listings and watches.
class platform_store
{
public:
  /// Fault that applies to all calls.
  enum class fault
  {
    none,
    /// Returns 503 without executing the call.
    unavailable,
    /// Returns 429 without executing the call.
    rate_limited,
    /// Executes the call and sends no response.
    drops_answers,
    /// Sends no response to a write and executes it when `ExecuteLateWrites` is
    /// called, if its condition still holds.
    delays_writes,
    /// Responds to a listing with no objects and executes other calls.
    empty_listings,
  };

  platform_store(loop& aLoop,
                 tcp_transport& aTransport,
                 const endpoint& aAddress);

  /// Creates or replaces an object as an operator does.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);

  /// Responses hold `aText` in place of each string value `aMarker`, to serve
  /// what no JSON value in memory can hold.
  void SetRawText(const std::string& aMarker, const std::string& aText);

  /// The contents at a moment.
  struct copy
  {
    std::map<std::string, std::map<std::string, nlohmann::json>>
      objects_by_kind;
    std::uint64_t revision = 0;
  };
  copy Copy() const { return { mObjectsByKind, mRevision }; }
  /// Puts back the contents of a copy, as after a loss of the store: revisions
  /// go back and are given out again, waiting watches are cut off and the era
  /// rises by one.
  void Restore(const copy& aCopy);

  /// Drops the history of changes: watches from an older revision get 410.
  void Compact() { mOldestWatchRevision = mRevision; }

  /// Serves at another address as well. Calls that arrive there can have a
  /// fault of their own.
  void ServeAlsoAt(tcp_transport& aTransport, const endpoint& aAddress);

  void SetFault(fault aFault) { mFault = aFault; }
  /// Sets the fault of the calls that arrive at one address, in place of the
  /// one for all; nothing: the one for all.
  void SetFaultAt(const endpoint& aAddress, std::optional<fault> aFault);
  /// Sets how long each response is held back.
  void SetResponseDelay(duration aDelay) { mResponseDelay = aDelay; }
  /// Executes the delayed writes.
  void ExecuteLateWrites();
  /// Sets the maximum number of objects on one page of a listing.
  void SetPageSize(std::size_t aSize) { mPageSize = aSize; }
  /// Calls `aTask` once, after the next page that others follow was read.
  void RunAfterPage(std::function<void()> aTask)
  {
    mAfterPage = std::move(aTask);
  }

  /// Returns the current object, or null if there is none.
  nlohmann::json Find(const std::string& aKind, const std::string& aName) const;
  /// Number of calls received, including failed ones.
  unsigned CallCount() const { return mCalls; }

private:
  /// A watch that waits for a change after `revision`.
  struct pending_watch
  {
    std::string kind;
    std::uint64_t revision;
    respond_callback respond;
  };

  void Handle(const std::string& aAddress,
              buffered_request aRequest,
              respond_callback aRespond);
  fault FaultAt(const std::string& aAddress) const;
  /// Serves a GET. Clears `aRespond` if the call is a watch, which responds
  /// later.
  buffered_response Read(const buffered_request& aRequest,
                         respond_callback& aRespond);
  buffered_response Write(const buffered_request& aRequest);
  buffered_response List(const std::string& aKind, const std::string& aAfter);
  void InsertRawTexts(std::string& aBody) const;
  /// Gives an object the next revision and answers the watches that wait for
  /// it.
  void RecordChange(const std::string& aKind, const std::string& aName);
  void AnswerWatches();
  /// Responds to the watch if objects have changed. Returns whether it did.
  bool AnswerIfChanged(const pending_watch& aWatch);

  loop& mLoop;
  std::map<std::string, std::map<std::string, nlohmann::json>> mObjectsByKind;
  std::vector<pending_watch> mPendingWatches;
  std::uint64_t mRevision = 100;
  std::uint64_t mEra = 1;
  std::uint64_t mOldestWatchRevision = 0;
  std::size_t mPageSize = 500;
  std::function<void()> mAfterPage;
  unsigned mCalls = 0;
  std::map<std::string, std::string> mRawTexts;
  fault mFault = fault::none;
  std::map<std::string, fault> mFaultsByAddress;
  duration mResponseDelay{ 0 };
  std::vector<buffered_request> mLateWrites;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_PLATFORM_STORE_H_
