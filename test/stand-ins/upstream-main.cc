// A stand-in for an upstream. It announces itself to its local node, answers
// after a configured delay, logs each execution and injects configured faults.
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "http/client.h"
#include "http/server.h"

namespace {

using namespace eelgrasstrack;
using nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

/// Delays and injected faults, set by flags or by `POST /control`.
struct behaviour
{
  /// Percent of calls that get status 500.
  double fail_percent = 0;
  int delay_ms = 0;
  /// Added to `delay_ms` for calls to which the faults apply.
  int extra_delay_ms = 0;
  /// Faults apply only to paths with this prefix.
  std::string fault_path_prefix;
  bool truncates = false;
  /// Sends no answer.
  bool hangs = false;
};

/// Identity and addresses of the upstream.
struct upstream_options
{
  std::string service;
  std::string version;
  endpoint listen;
  /// Operator listener of the local node, which accepts announcements.
  endpoint node;
  /// File to append one line per execution to; empty for none.
  std::string log_path;
  unsigned slots = 0;
};

/// Serves calls and announces the upstream once per second.
class upstream_stand_in final : public http_handler
{
public:
  upstream_stand_in(loop& aLoop,
                    upstream_options aOptions,
                    behaviour aBehaviour)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
    , mBehaviour(std::move(aBehaviour))
    , mSockets(aLoop)
    , mNodeClient(mSockets, mOptions.node, http_client_options{})
    , mRandom(RandomSeed())
  {
    if (!mOptions.log_path.empty()) {
      mLog.open(mOptions.log_path, std::ios::app);
    }
    Announce();
    mLoop.RunEvery(std::chrono::seconds(1), [this] { Announce(); });
  }

  void Handle(exchange_ptr aExchange) override
  {
    if (aExchange->Request().path == "/control") {
      Control(aExchange);
      return;
    }
    bool isFaulty =
      aExchange->Request().path.rfind(mBehaviour.fault_path_prefix, 0) == 0;
    if (isFaulty && mBehaviour.hangs) {
      return;
    }
    int delay =
      mBehaviour.delay_ms + (isFaulty ? mBehaviour.extra_delay_ms : 0);
    ++mRunningCalls;
    auto answer = [this, aExchange, isFaulty] {
      --mRunningCalls;
      Answer(aExchange, isFaulty);
    };
    if (delay > 0) {
      mLoop.RunAfter(std::chrono::milliseconds(delay), answer);
    } else {
      answer();
    }
  }

  /// Announces that the upstream is leaving, then stops the loop once more than
  /// 2 s have passed and no call is running.
  void Drain()
  {
    mIsLeaving = true;
    Announce();
    StopWhenIdle(mLoop.Now());
  }

private:
  std::uint64_t RandomSeed() const { return mOptions.listen.port; }

  void StopWhenIdle(time_point aSince)
  {
    bool graceElapsed = mLoop.Now() - aSince > std::chrono::seconds(2);
    if (graceElapsed && mRunningCalls == 0) {
      mLoop.Stop();
      return;
    }
    mLoop.RunAfter(std::chrono::milliseconds(50),
                   [this, aSince] { StopWhenIdle(aSince); });
  }

  void Answer(const exchange_ptr& aExchange, bool aFaulty)
  {
    const http_request& request = aExchange->Request();
    if (mLog.is_open()) {
      mLog << HeaderValue(request.headers, "x-request-id") << " "
           << mOptions.version << std::endl;
    }
    std::uniform_real_distribution<double> percentDistribution(0, 100);
    http_response response;
    if (aFaulty && percentDistribution(mRandom) < mBehaviour.fail_percent) {
      response.status = 500;
      response.body = "fault\n";
    } else {
      response.headers.push_back({ "content-type", "application/json" });
      response.body = json{
        { "service", mOptions.service },
        { "version", mOptions.version },
        { "path", request.path },
        { "request", HeaderValue(request.headers, "x-request-id") },
        { "echo", request.body }
      }.dump();
    }
    aExchange->Respond(std::move(response));
  }

  void Control(const exchange_ptr& aExchange)
  {
    json body = json::parse(aExchange->Request().body, nullptr, false);
    if (body.is_object()) {
      mBehaviour.fail_percent =
        body.value("fail_percent", mBehaviour.fail_percent);
      mBehaviour.delay_ms = body.value("delay_ms", mBehaviour.delay_ms);
      mBehaviour.extra_delay_ms =
        body.value("extra_delay_ms", mBehaviour.extra_delay_ms);
      mBehaviour.fault_path_prefix =
        body.value("only_path", mBehaviour.fault_path_prefix);
      mBehaviour.hangs = body.value("hang", mBehaviour.hangs);
    }
    http_response response;
    response.status = body.is_object() ? 200 : 400;
    aExchange->Respond(std::move(response));
  }

  void Announce()
  {
    json body = { { "service", mOptions.service },
                  { "version", mOptions.version },
                  { "address", ToString(mOptions.listen) },
                  { "slots", mOptions.slots },
                  { "leaving", mIsLeaving } };
    http_request request;
    request.method = "POST";
    request.path = "/v1/upstream";
    request.body = body.dump();
    request.headers.push_back({ "content-type", "application/json" });
    mNodeClient.Start(
      std::move(request), std::chrono::seconds(1), [](const http_result&) {});
  }

  loop& mLoop;
  upstream_options mOptions;
  behaviour mBehaviour;
  tcp_transport mSockets;
  http_client mNodeClient;
  std::mt19937_64 mRandom;
  std::ofstream mLog;
  int mRunningCalls = 0;
  bool mIsLeaving = false;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("upstream-stand-in");
  options.add_options()("service", "", cxxopts::value<std::string>())(
    "version", "", cxxopts::value<std::string>())(
    "listen", "", cxxopts::value<std::string>())(
    "node", "", cxxopts::value<std::string>())(
    "log", "", cxxopts::value<std::string>()->default_value(""))(
    "slots", "", cxxopts::value<unsigned>()->default_value("0"))(
    "fail-percent", "", cxxopts::value<double>()->default_value("0"))(
    "only-path", "", cxxopts::value<std::string>()->default_value(""))(
    "delay-ms", "", cxxopts::value<int>()->default_value("2"));
  cxxopts::ParseResult flags = options.parse(aCount, aArguments);
  upstream_options upstreamOptions;
  upstreamOptions.service = flags["service"].as<std::string>();
  upstreamOptions.version = flags["version"].as<std::string>();
  upstreamOptions.listen = ParseEndpoint(flags["listen"].as<std::string>());
  upstreamOptions.node = ParseEndpoint(flags["node"].as<std::string>());
  upstreamOptions.log_path = flags["log"].as<std::string>();
  upstreamOptions.slots = flags["slots"].as<unsigned>();
  behaviour initialBehaviour;
  initialBehaviour.fail_percent = flags["fail-percent"].as<double>();
  initialBehaviour.fault_path_prefix = flags["only-path"].as<std::string>();
  initialBehaviour.delay_ms = flags["delay-ms"].as<int>();
  loop eventLoop(1024);
  upstream_stand_in upstream(eventLoop, upstreamOptions, initialBehaviour);
  http_server_options serverOptions;
  serverOptions.listen = upstreamOptions.listen;
  http_server server(eventLoop, upstream, serverOptions);
  eventLoop.OnTerminate([&upstream] { upstream.Drain(); });
  eventLoop.Run();
  return 0;
}
