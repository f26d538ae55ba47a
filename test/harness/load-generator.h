#ifndef EELGRASSTRACK_HARNESS_LOAD_GENERATOR_H_
#define EELGRASSTRACK_HARNESS_LOAD_GENERATOR_H_

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"

namespace eelgrasstrack::harness {

struct load_options
{
  std::vector<endpoint> targets;
  std::string method = "GET";
  std::string path = "/";
  std::size_t body_bytes = 0;
  std::size_t callers = 50;
  /// Over all callers; calls begin at random times, whether or not earlier
  /// ones have ended.
  double calls_per_second = 100;
  duration timeout = std::chrono::seconds(5);
  unsigned connections_per_target = 256;
  std::uint64_t seed = 1;
  /// Name of the callers, so that several generators can be told apart.
  std::string name = "caller";
};

/// What callers saw.
struct load_report
{
  std::uint64_t started = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed_not_run = 0;
  std::uint64_t failed_unknown = 0;
  /// Answers that do not belong to their request, or are not whole.
  std::uint64_t mismatched = 0;
  std::uint64_t from_new_version = 0;
  std::set<std::size_t> exposed_callers;
  std::set<std::size_t> failed_callers;
  std::vector<double> latencies_ms;
  /// Request ids by what their caller was told.
  std::vector<std::string> answered_ids;
  std::vector<std::string> not_run_ids;

  /// What the first few failed calls were told, for people.
  std::string failure_texts;

  double Quantile(double aQuantile) const;
};

/// Callers with a steady rate.
class load_generator
{
public:
  load_generator(loop& aLoop, load_options aOptions);

  void Start();
  void Stop() { mIsRunning = false; }
  void SetRate(double aCallsPerSecond)
  {
    mOptions.calls_per_second = aCallsPerSecond;
  }
  /// The version that counts as new in the report.
  void SetNewVersion(std::string aVersion)
  {
    mNewVersion = std::move(aVersion);
  }
  void RecordIds() { mRecordsIds = true; }
  void ResetReport() { mReport = load_report{}; }

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
