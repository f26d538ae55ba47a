#include "harness/load-generator.h"

#include <algorithm>

namespace eelgrasstrack::harness {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr std::size_t kKeptFailureBytes = 1000;

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
  , mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mBody(mOptions.body_bytes, 'x')
{
  for (const endpoint& target : mOptions.targets) {
    http_client_options limits;
    limits.max_connections = mOptions.connections_per_target;
    mClients.push_back(std::make_unique<http_client>(mLoop, target, limits));
  }
}

void
load_generator::Start()
{
  mRunning = true;
  Next();
}

void
load_generator::Next()
{
  if (!mRunning) {
    return;
  }
  std::exponential_distribution<double> gap(mOptions.calls_per_second);
  auto wait = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(gap(mRandom)));
  mLoop.RunAfter(wait, [this] {
    if (mRunning) {
      Begin();
    }
    Next();
  });
}

void
load_generator::Begin()
{
  std::uniform_int_distribution<std::size_t> draw(0, mOptions.callers - 1);
  std::size_t caller = draw(mRandom);
  std::string id = mOptions.name + "-" + std::to_string(mNextId++);
  http_request request;
  request.method = mOptions.method;
  request.path = mOptions.path;
  request.body = mBody;
  request.headers = { { "x-caller",
                        mOptions.name + "-" + std::to_string(caller) },
                      { "x-request-id", id } };
  ++mReport.begun;
  ++mOutstanding;
  time_point begun = mLoop.Now();
  mClients[caller % mClients.size()]->Start(
    std::move(request),
    mOptions.timeout,
    [this, caller, id, begun](const http_result& aResult) {
      Finished(caller, id, begun, aResult);
    });
}

void
load_generator::Finished(std::size_t aCaller,
                         const std::string& aId,
                         time_point aBegun,
                         const http_result& aResult)
{
  --mOutstanding;
  double took =
    std::chrono::duration<double, std::milli>(mLoop.Now() - aBegun).count();
  bool notRun = aResult
                  ? HeaderValue(aResult->headers, "x-execution") == "not_run"
                  : aResult.error().ran == execution::not_run;
  bool isNew = aResult && !mNewVersion.empty() &&
               HeaderValue(aResult->headers, "x-version") == mNewVersion;
  if (isNew) {
    ++mReport.new_version;
    mReport.exposed.insert(aCaller);
  }
  bool good = aResult && aResult->status < kFirstErrorStatus;
  if (good) {
    bool belongs = HeaderValue(aResult->headers, "x-request-id") == aId &&
                   aResult->body.find("\"" + aId + "\"") != std::string::npos;
    mReport.wrong += belongs ? 0 : 1;
    ++mReport.good;
    mReport.latencies_ms.push_back(took);
  } else if (notRun) {
    ++mReport.failed_not_run;
  } else {
    ++mReport.failed_unknown;
  }
  if (!good) {
    mReport.hurt.insert(aCaller);
    bool room = mReport.failures.size() < kKeptFailureBytes;
    mReport.failures += !room     ? ""
                        : aResult ? aResult->body + "\n"
                                  : aResult.error().message + "\n";
  }
  if (mKeepIds && good) {
    mReport.answered_ids.push_back(aId);
  }
  if (mKeepIds && !good && notRun) {
    mReport.not_run_ids.push_back(aId);
  }
}

} // namespace eelgrasstrack::harness
