#ifndef EELGRASSTRACK_TEST_HARNESS_PLATFORM_STORE_H_
#define EELGRASSTRACK_TEST_HARNESS_PLATFORM_STORE_H_

#include <nlohmann/json.hpp>

#include "wire/service-port.h"

namespace eelgrasstrack::test {

/// A stand-in for the platform's store that speaks its protocol over HTTP:
/// objects by kind and name, conditional writes, paged lists and watches.
class platform_store
{
public:
  /// How the store treats its callers.
  enum class fault
  {
    none,
    /// Answers 503; nothing is done.
    unavailable,
    /// Answers 429; nothing is done.
    rate_limited,
    /// Does what is asked and does not answer.
    drops_answers,
  };

  platform_store(loop& aLoop, socket_host& aSockets, const endpoint& aAddress);

  /// What an operator writes.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);

  /// Forgets what has changed so far; watches from before answer 410.
  void Compact() { mOldestWatchRevision = mRevision; }

  void SetFault(fault aFault) { mFault = aFault; }
  void SetPageSize(std::size_t aSize) { mPageSize = aSize; }

  /// An object as it is, or null.
  nlohmann::json Find(const std::string& aKind, const std::string& aName) const;
  unsigned CallCount() const { return mCalls; }

private:
  struct pending_watch
  {
    std::string kind;
    std::uint64_t revision;
    respond_callback respond;
  };

  void Handle(buffered_request aRequest, respond_callback aRespond);
  buffered_response Read(const buffered_request& aRequest,
                         respond_callback& aRespond);
  buffered_response Write(const buffered_request& aRequest);
  buffered_response List(const std::string& aKind, const std::string& aAfter);
  void RecordChange(const std::string& aKind, const std::string& aName);
  void AnswerWatches();
  bool AnswerIfChanged(const pending_watch& aWatch);

  loop& mLoop;
  std::map<std::string, std::map<std::string, nlohmann::json>> mObjectsByKind;
  std::vector<pending_watch> mPendingWatches;
  std::uint64_t mRevision = 100;
  std::uint64_t mOldestWatchRevision = 0;
  std::size_t mPageSize = 500;
  unsigned mCalls = 0;
  fault mFault = fault::none;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_PLATFORM_STORE_H_
