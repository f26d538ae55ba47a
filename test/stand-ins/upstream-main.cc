// A stand-in for an upstream: announces itself to the node beside it, answers
// after a set time, logs each execution, and misbehaves as it is told.
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

/// How the upstream misbehaves, set by flags or by `POST /control`.
struct behaviour
{
  double fail_percent = 0;
  int delay_ms = 0;
  int extra_delay_ms = 0;
  /// Faults show on paths with this prefix only.
  std::string only_path;
  bool truncate = false;
  bool hang = false;
};

struct upstream_options
{
  std::string service;
  std::string version;
  endpoint listen;
  endpoint node;
  std::string log;
  unsigned slots = 0;
};

class upstream_stand_in final : public http_handler
{
public:
  upstream_stand_in(loop& aLoop,
                    upstream_options aOptions,
                    behaviour aBehaviour)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
    , mBehaviour(std::move(aBehaviour))
    , mClient(aLoop, mOptions.node, http_client_options{})
    , mRandom(HashSeed())
  {
    if (!mOptions.log.empty()) {
      mLog.open(mOptions.log, std::ios::app);
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
    bool faulty = aExchange->Request().path.rfind(mBehaviour.only_path, 0) == 0;
    if (faulty && mBehaviour.hang) {
      return;
    }
    int delay = mBehaviour.delay_ms + (faulty ? mBehaviour.extra_delay_ms : 0);
    ++mRunning;
    auto answer = [this, aExchange, faulty] {
      --mRunning;
      Answer(aExchange, faulty);
    };
    if (delay > 0) {
      mLoop.RunAfter(std::chrono::milliseconds(delay), answer);
    } else {
      answer();
    }
  }

  /// Announces leaving, then stops when nothing runs any more.
  void Leave()
  {
    mLeaving = true;
    Announce();
    StopWhenIdle(mLoop.Now());
  }

private:
  std::uint64_t HashSeed() const { return mOptions.listen.port; }

  void StopWhenIdle(time_point aSince)
  {
    bool waited = mLoop.Now() - aSince > std::chrono::seconds(2);
    if (waited && mRunning == 0) {
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
    std::uniform_real_distribution<double> draw(0, 100);
    http_response response;
    if (aFaulty && draw(mRandom) < mBehaviour.fail_percent) {
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
      mBehaviour.only_path = body.value("only_path", mBehaviour.only_path);
      mBehaviour.hang = body.value("hang", mBehaviour.hang);
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
                  { "leaving", mLeaving } };
    http_request request;
    request.method = "POST";
    request.path = "/v1/upstream";
    request.body = body.dump();
    request.headers.push_back({ "content-type", "application/json" });
    mClient.Start(
      std::move(request), std::chrono::seconds(1), [](const http_result&) {});
  }

  loop& mLoop;
  upstream_options mOptions;
  behaviour mBehaviour;
  http_client mClient;
  std::mt19937_64 mRandom;
  std::ofstream mLog;
  int mRunning = 0;
  bool mLeaving = false;
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
  upstream_options own;
  own.service = flags["service"].as<std::string>();
  own.version = flags["version"].as<std::string>();
  own.listen = ParseEndpoint(flags["listen"].as<std::string>());
  own.node = ParseEndpoint(flags["node"].as<std::string>());
  own.log = flags["log"].as<std::string>();
  own.slots = flags["slots"].as<unsigned>();
  behaviour faults;
  faults.fail_percent = flags["fail-percent"].as<double>();
  faults.only_path = flags["only-path"].as<std::string>();
  faults.delay_ms = flags["delay-ms"].as<int>();
  loop events(1024);
  upstream_stand_in upstream(events, own, faults);
  http_server_options listen;
  listen.listen = own.listen;
  http_server server(events, upstream, listen);
  events.OnTerminate([&upstream] { upstream.Leave(); });
  events.Run();
  return 0;
}
