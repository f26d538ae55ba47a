#ifndef EELGRASSTRACK_REVIEW_INSTANCE_H_
#define EELGRASSTRACK_REVIEW_INSTANCE_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "record.h"

namespace review {

/// A request that an instance has begun to work on.
struct instance_run
{
  std::string request_id;
  std::string instance;
  clock::time_point at;
};

/// Stand-in for an instance. Its threads end with the process.
class instance
{
public:
  struct options
  {
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    address listen;
    /// Where the heartbeats go: `control` of the node beside it.
    address control;
    milliseconds beat_interval{ 1500 };
    milliseconds work{ 50 };
    unsigned slots = 12;
    /// Bytes of the body of a plain answer.
    std::size_t answer_bytes = 6000;
  };

  /// Handles a request in place of the plain answer. Returns whether the
  /// connection stays open; nothing for the plain answer.
  using behaviour =
    std::function<std::optional<bool>(instance&, int, const message&)>;

  instance(options aOptions, record& aRecord)
    : mOptions(std::move(aOptions))
    , mRecord(aRecord)
  {
  }

  /// Returns false if the address can't be used.
  bool Start();

  /// Replaces the behaviour. `aBeforeBody`: it is asked before the body of the
  /// request is read.
  void Behave(behaviour aBehaviour, bool aBeforeBody = false);

  /// Sends `draining` or the exit notice. Returns whether it was confirmed
  /// within a second.
  bool ReportDraining();
  bool ReportExit();

  /// Stops at once, as a process that is killed.
  void Stop() { mStopped = true; }

  /// Writes down a run of the request.
  void RecordRun(const message& aRequest);
  std::vector<instance_run> Runs();

  /// Head of a success with the fields that every instance sets.
  std::string AnswerHead(const message& aRequest) const;
  /// A body that belongs to the request and this instance alone.
  std::string BodyFor(const message& aRequest, std::size_t aBytes) const;
  const options& Options() const { return mOptions; }

private:
  void Serve(int aSocket);
  bool Answer(int aSocket, const message& aRequest);
  void Beat();
  bool Report(const std::string& aMethod, const std::string& aBody);

  options mOptions;
  record& mRecord;
  std::mutex mMutex;
  behaviour mBehaviour;
  bool mBeforeBody = false;
  std::vector<instance_run> mRuns;
  std::string mState = "ready";
  std::int64_t mBorn = 0;
  std::atomic<int> mSequence{ 0 };
  std::atomic<bool> mBeats{ true };
  std::atomic<bool> mStopped{ false };
};

} // namespace review

#endif // EELGRASSTRACK_REVIEW_INSTANCE_H_
