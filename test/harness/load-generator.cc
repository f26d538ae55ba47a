#include "harness/load-generator.h"

#include <algorithm>

namespace eelgrasstrack::harness {

namespace {

constexpr int kFirstErrorStatus = 400;
/// No further text is recorded once the recorded texts have this size.
constexpr std::size_t kFailureTextLimitBytes = 1000;

} // namespace

double
load_report::Quantile(double aQuantile) const
{
  if (latencies_ms.empty()) {
    return 0;
  }
  std::vector<double> sorted = latencies_ms;
  std::sort(sorted.begin(), sorted.end());
  auto index =
    static_cast<std::size_t>(aQuantile * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

load_generator::load_generator(loop& aLoop, load_options aOptions)
  : mLoop(aLoop)
  , mSockets(aLoop)
  , mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mBody(mOptions.body_bytes, 'x')
{
  for (const endpoint& target : mOptions.targets) {
    http_client_options limits;
    limits.max_connections = mOptions.connections_per_target;
    mClients.push_back(std::make_unique<http_client>(mSockets, target, limits));
  }
}

void
load_generator::Start()
{
  mIsRunning = true;
  ScheduleNextCall();
}

void
load_generator::ScheduleNextCall()
{
  if (!mIsRunning) {
    return;
  }
  std::exponential_distribution<double> intervalSeconds(
    mOptions.calls_per_second);
  auto interval = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(intervalSeconds(mRandom)));
  mLoop.RunAfter(interval, [this] {
    if (mIsRunning) {
      StartCall();
    }
    ScheduleNextCall();
  });
}

void
load_generator::StartCall()
{
  std::uniform_int_distribution<std::size_t> callerDistribution(
    0, mOptions.callers - 1);
  std::size_t caller = callerDistribution(mRandom);
  std::string id = mOptions.name + "-" + std::to_string(mNextId++);
  http_request request;
  request.method = mOptions.method;
  request.path = mOptions.path;
  request.body = mBody;
  request.headers = { { "x-caller",
                        mOptions.name + "-" + std::to_string(caller) },
                      { "x-request-id", id } };
  ++mReport.started;
  ++mOutstanding;
  time_point started = mLoop.Now();
  mClients[caller % mClients.size()]->Start(
    std::move(request),
    mOptions.timeout,
    [this, caller, id, started](const http_result& aResult) {
      OnCallFinished(caller, id, started, aResult);
    });
}

void
load_generator::OnCallFinished(std::size_t aCaller,
                               const std::string& aId,
                               time_point aStarted,
                               const http_result& aResult)
{
  --mOutstanding;
  double latencyMs =
    std::chrono::duration<double, std::milli>(mLoop.Now() - aStarted).count();
  bool notRun = aResult
                  ? HeaderValue(aResult->headers, "x-execution") == "not_run"
                  : aResult.error().execution_status == execution::not_run;
  bool isNewVersion = aResult && !mNewVersion.empty() &&
                      HeaderValue(aResult->headers, "x-version") == mNewVersion;
  if (isNewVersion) {
    ++mReport.from_new_version;
    mReport.exposed_callers.insert(aCaller);
  }
  bool succeeded = aResult && aResult->status < kFirstErrorStatus;
  if (succeeded) {
    bool matchesRequest =
      HeaderValue(aResult->headers, "x-request-id") == aId &&
      aResult->body.find("\"" + aId + "\"") != std::string::npos;
    mReport.mismatched += matchesRequest ? 0 : 1;
    ++mReport.succeeded;
    mReport.latencies_ms.push_back(latencyMs);
  } else if (notRun) {
    ++mReport.failed_not_run;
  } else {
    ++mReport.failed_unknown;
  }
  if (!succeeded) {
    mReport.failed_callers.insert(aCaller);
    bool hasRoom = mReport.failure_texts.size() < kFailureTextLimitBytes;
    mReport.failure_texts += !hasRoom  ? ""
                             : aResult ? aResult->body + "\n"
                                       : aResult.error().message + "\n";
  }
  if (mRecordsIds && succeeded) {
    mReport.answered_ids.push_back(aId);
  }
  if (mRecordsIds && !succeeded && notRun) {
    mReport.not_run_ids.push_back(aId);
  }
}

} // namespace eelgrasstrack::harness
