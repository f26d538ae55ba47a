#ifndef EELGRASSTRACK_REVIEW_STORE_H_
#define EELGRASSTRACK_REVIEW_STORE_H_

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "net.h"

namespace review {

/// Stand-in for the platform's store: objects by kind and name, conditional
/// writes, listings and watches. Its threads end with the process.
class store
{
public:
  /// Returns false if the address can't be used.
  bool Start(const address& aAddress);

  /// Writes the spec of an object as the operator does.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  /// Returns an object, or null.
  nlohmann::json Find(const std::string& aKind, const std::string& aName);
  /// Number of objects of a kind.
  std::size_t Count(const std::string& aKind);

  /// While true, every call of a node is answered with 503 and not done.
  std::atomic<bool> unavailable{ false };
  /// Time from the execution of a call to its answer.
  std::atomic<int> answer_ms{ kAnswerMs };
  static constexpr int kAnswerMs = 4;

private:
  struct event
  {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool deleted = false;
  };
  struct reply
  {
    int status = 200;
    nlohmann::json body;
  };

  void Serve(int aSocket);
  reply Handle(const message& aRequest);
  reply List(const std::string& aKind);
  reply Watch(const std::string& aKind,
              std::uint64_t aRevision,
              milliseconds aWait);
  reply Write(const std::string& aMethod,
              const std::vector<std::string>& aPath,
              const nlohmann::json& aBody,
              const std::string& aRevision);
  void Change(const std::string& aKind,
              const std::string& aName,
              bool aDeleted);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, nlohmann::json>> mObjects;
  std::vector<event> mEvents;
  std::uint64_t mRevision = 100;
};

} // namespace review

#endif // EELGRASSTRACK_REVIEW_STORE_H_
