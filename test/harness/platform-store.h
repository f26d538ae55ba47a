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
  enum class mood
  {
    well,
    /// Answers 503; nothing is done.
    busy,
    /// Answers 429; nothing is done.
    over_rate,
    /// Does what is asked and does not answer.
    loses_answers,
  };

  platform_store(loop& aLoop,
                 tcp_transport& aSockets,
                 const endpoint& aAddress);

  /// What an operator writes.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);

  /// Forgets what has changed so far; watches from before answer 410.
  void Compact() { mHistoryFrom = mRevision; }

  void SetMood(mood aMood) { mMood = aMood; }
  void SetPageSize(std::size_t aSize) { mPageSize = aSize; }

  /// An object as it is, or null.
  nlohmann::json Find(const std::string& aKind, const std::string& aName) const;
  unsigned Calls() const { return mCalls; }

private:
  struct waiting_watch
  {
    std::string kind;
    std::uint64_t revision;
    respond_callback answer;
  };

  void Handle(buffered_request aRequest, respond_callback aRespond);
  buffered_response Read(const buffered_request& aRequest,
                         respond_callback& aRespond);
  buffered_response Write(const buffered_request& aRequest);
  buffered_response List(const std::string& aKind, const std::string& aAfter);
  void Changed(const std::string& aKind, const std::string& aName);
  void AnswerWatches();
  bool AnswerWatch(const waiting_watch& aWatch);

  loop& mLoop;
  std::map<std::string, std::map<std::string, nlohmann::json>> mKinds;
  std::vector<waiting_watch> mWatches;
  std::uint64_t mRevision = 100;
  std::uint64_t mHistoryFrom = 0;
  std::size_t mPageSize = 500;
  unsigned mCalls = 0;
  mood mMood = mood::well;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_PLATFORM_STORE_H_
