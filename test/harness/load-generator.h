#ifndef EELGRASSTRACK_HARNESS_LOAD_GENERATOR_H_
#define EELGRASSTRACK_HARNESS_LOAD_GENERATOR_H_

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"

namespace eelgrasstrack::harness {

/// Load to generate.
struct load_options
{
  std::vector<endpoint> targets;
  std::string method = "GET";
  std::string path = "/";
  std::size_t body_bytes = 0;
  std::size_t callers = 50;
  /// Rate of all callers together. The load is open-loop: calls start at random
  /// times, whether or not earlier calls have finished.
  double calls_per_second = 100;
  duration timeout = std::chrono::seconds(5);
  unsigned connections_per_target = 256;
  std::uint64_t seed = 1;
  /// Prefix of caller names and request ids; distinguishes generators.
  std::string name = "caller";
};

/// Results of the calls as seen by the callers.
struct load_report
{
  std::uint64_t started = 0;
  std::uint64_t succeeded = 0;
  /// Failed calls that are known not to have been executed.
  std::uint64_t failed_not_run = 0;
  /// Failed calls that may have been executed.
  std::uint64_t failed_unknown = 0;
  /// Successful answers without the request's id in the header and the body:
  /// mixed up or incomplete.
  std::uint64_t mismatched = 0;
  /// Answers from the version set by `SetNewVersion`.
  std::uint64_t from_new_version = 0;
  /// Callers with an answer from the new version.
  std::set<std::size_t> exposed_callers;
  /// Callers with a failed call.
  std::set<std::size_t> failed_callers;
  /// Latencies of successful calls.
  std::vector<double> latencies_ms;
  /// Request ids of calls that succeeded, and of failed calls that were not
  /// executed. Filled after `RecordIds` only.
  std::vector<std::string> answered_ids;
  std::vector<std::string> not_run_ids;

  /// Answers or error messages of the first failed calls, for diagnostics.
  std::string failure_texts;

  /// Latency quantile in milliseconds; 0 if no call succeeded.
  double Quantile(double aQuantile) const;
};

/// Generates calls at a constant average rate with exponentially distributed
/// intervals.
class load_generator
{
public:
  load_generator(loop& aLoop, load_options aOptions);

  /// Starts generating calls.
  void Start();
  /// Starts no further calls; outstanding calls continue.
  void Stop() { mIsRunning = false; }
  void SetRate(double aCallsPerSecond)
  {
    mOptions.calls_per_second = aCallsPerSecond;
  }
  /// Sets the version that the report counts as new.
  void SetNewVersion(std::string aVersion)
  {
    mNewVersion = std::move(aVersion);
  }
  /// Makes the report include request ids.
  void RecordIds() { mRecordsIds = true; }
  void ResetReport() { mReport = load_report{}; }

  /// Number of calls without an answer yet.
  std::size_t Outstanding() const { return mOutstanding; }
  const load_report& Report() const { return mReport; }

private:
  void ScheduleNextCall();
  void StartCall();
  void OnCallFinished(std::size_t aCaller,
                      const std::string& aId,
                      time_point aStarted,
                      const http_result& aResult);

  loop& mLoop;
  tcp_transport mSockets;
  load_options mOptions;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<http_client>> mClients;
  std::string mBody;
  std::string mNewVersion;
  load_report mReport;
  std::uint64_t mNextId = 0;
  std::size_t mOutstanding = 0;
  bool mIsRunning = false;
  bool mRecordsIds = false;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_LOAD_GENERATOR_H_
