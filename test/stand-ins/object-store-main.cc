// A stand-in for the platform's object store with object versions, conditional
// writes, long-poll watches and rate limits. `POST /control` injects faults,
// `GET /counts` returns call counts.
#include <cstdio>
#include <cxxopts.hpp>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

#include "http/server.h"
#include "store/call-budget.h"

namespace {

using namespace eelgrasstrack;
using nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr std::string_view kObjectsPath = "/v1/objects/";

/// A stored object; version 0 means that it does not exist.
struct object
{
  std::uint64_t version = 0;
  std::string value;
};

/// A long poll that is answered at the next write of its key or when its wait
/// time is over.
struct pending_watch
{
  std::string key;
  std::uint64_t known_version = 0;
  exchange_ptr exchange;
};

/// Injected faults, set by `POST /control`.
struct faults
{
  /// Answers all object calls with status 503; set by `out`.
  bool unavailable = false;
  int delay_ms = 0;
  /// Number of next writes that take effect but get no answer; set by
  /// `lose_answers`.
  int answers_to_drop = 0;
};

/// Counts that `GET /counts` returns.
struct call_counts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  /// Calls over the rate limit, answered with status 429.
  std::uint64_t refused = 0;
  /// Reads and watches together.
  std::uint64_t max_reads_per_second = 0;
  std::uint64_t max_writes_per_second = 0;
};

/// Handles the object, control and count calls.
class object_store_stand_in final : public http_handler
{
public:
  object_store_stand_in(loop& aLoop,
                        double aReadsPerSecond,
                        double aWritesPerSecond)
    : mLoop(aLoop)
    , mReadBudget(aReadsPerSecond, aReadsPerSecond)
    , mWriteBudget(aWritesPerSecond, aWritesPerSecond)
  {
    mLoop.RunEvery(std::chrono::seconds(1), [this] { UpdateMaxRates(); });
  }

  void Handle(exchange_ptr aExchange) override
  {
    const http_request& request = aExchange->Request();
    if (request.path == "/control") {
      SetFaults(aExchange);
      return;
    }
    if (request.path == "/counts") {
      RespondCounts(aExchange);
      return;
    }
    if (request.path.rfind(kObjectsPath, 0) != 0) {
      Respond(aExchange, 404, {});
      return;
    }
    if (mFaults.unavailable) {
      Respond(aExchange, 503, {});
      return;
    }
    auto serve = [this, aExchange] { Serve(aExchange); };
    if (mFaults.delay_ms > 0) {
      mLoop.RunAfter(std::chrono::milliseconds(mFaults.delay_ms), serve);
    } else {
      serve();
    }
  }

private:
  void Serve(const exchange_ptr& aExchange)
  {
    const http_request& request = aExchange->Request();
    std::string key = request.path.substr(kObjectsPath.size());
    bool isWrite = request.method == "PUT";
    call_budget& budget = isWrite ? mWriteBudget : mReadBudget;
    if (!budget.TryAcquire(mLoop.Now())) {
      ++mCounts.refused;
      Respond(aExchange, 429, {});
      return;
    }
    if (isWrite) {
      ++mCounts.writes;
      ++mWritesThisSecond;
      Put(aExchange, key);
      return;
    }
    ++mReadsThisSecond;
    std::string knownVersion = QueryValue(request.query, "watch");
    if (knownVersion.empty()) {
      ++mCounts.reads;
      RespondObject(aExchange, mObjects[key]);
      return;
    }
    ++mCounts.watches;
    Watch(aExchange, key, std::stoull(knownVersion));
  }

  void Put(const exchange_ptr& aExchange, const std::string& aKey)
  {
    const http_request& request = aExchange->Request();
    object& stored = mObjects[aKey];
    std::string_view match = HeaderValue(request.headers, "if-match");
    std::string expected = "\"" + std::to_string(stored.version) + "\"";
    bool isCreate = HeaderValue(request.headers, "if-none-match") == "*";
    bool conditionHolds = isCreate ? stored.version == 0 : match == expected;
    if (!conditionHolds) {
      Respond(aExchange, 412, {});
      return;
    }
    stored.version = ++mNextVersion;
    stored.value = request.body;
    AnswerWatches(aKey);
    if (mFaults.answers_to_drop > 0) {
      --mFaults.answers_to_drop;
      return;
    }
    RespondObject(aExchange, object{ stored.version, "" });
  }

  void Watch(const exchange_ptr& aExchange,
             const std::string& aKey,
             std::uint64_t aKnown)
  {
    if (mObjects[aKey].version != aKnown) {
      RespondObject(aExchange, mObjects[aKey]);
      return;
    }
    mWatches.push_back({ aKey, aKnown, aExchange });
    std::string wait = QueryValue(aExchange->Request().query, "wait_ms");
    mLoop.RunAfter(std::chrono::milliseconds(std::stol(wait)),
                   [this, aExchange, aKey] {
                     if (!aExchange->Answered()) {
                       RespondObject(aExchange, mObjects[aKey]);
                     }
                   });
  }

  void AnswerWatches(const std::string& aKey)
  {
    std::list<pending_watch> remaining;
    for (pending_watch& watch : mWatches) {
      if (watch.key != aKey) {
        remaining.push_back(watch);
      } else if (!watch.exchange->Answered()) {
        RespondObject(watch.exchange, mObjects[aKey]);
      }
    }
    mWatches = std::move(remaining);
  }

  void SetFaults(const exchange_ptr& aExchange)
  {
    json body = json::parse(aExchange->Request().body, nullptr, false);
    if (!body.is_object()) {
      Respond(aExchange, 400, {});
      return;
    }
    mFaults.unavailable = body.value("out", mFaults.unavailable);
    mFaults.delay_ms = body.value("delay_ms", mFaults.delay_ms);
    mFaults.answers_to_drop =
      body.value("lose_answers", mFaults.answers_to_drop);
    if (mFaults.unavailable) {
      for (pending_watch& watch : mWatches) {
        Respond(watch.exchange, 503, {});
      }
      mWatches.clear();
    }
    Respond(aExchange, 200, {});
  }

  void RespondCounts(const exchange_ptr& aExchange)
  {
    http_response response;
    response.body = json{
      { "reads", mCounts.reads },
      { "writes", mCounts.writes },
      { "watches", mCounts.watches },
      { "refused", mCounts.refused },
      { "waiting", mWatches.size() },
      { "most_reads_in_second", mCounts.max_reads_per_second },
      { "most_writes_in_second", mCounts.max_writes_per_second }
    }.dump();
    aExchange->Respond(std::move(response));
  }

  void UpdateMaxRates()
  {
    mCounts.max_reads_per_second =
      std::max(mCounts.max_reads_per_second, mReadsThisSecond);
    mCounts.max_writes_per_second =
      std::max(mCounts.max_writes_per_second, mWritesThisSecond);
    mReadsThisSecond = 0;
    mWritesThisSecond = 0;
  }

  static void Respond(const exchange_ptr& aExchange,
                      int aStatus,
                      std::string aBody)
  {
    http_response response;
    response.status = aStatus;
    response.body = std::move(aBody);
    aExchange->Respond(std::move(response));
  }

  static void RespondObject(const exchange_ptr& aExchange,
                            const object& aObject)
  {
    if (aObject.version == 0) {
      Respond(aExchange, 404, {});
      return;
    }
    http_response response;
    response.headers.push_back(
      { "etag", "\"" + std::to_string(aObject.version) + "\"" });
    response.body = aObject.value;
    aExchange->Respond(std::move(response));
  }

  loop& mLoop;
  call_budget mReadBudget;
  call_budget mWriteBudget;
  faults mFaults;
  call_counts mCounts;
  std::map<std::string, object> mObjects;
  std::list<pending_watch> mWatches;
  std::uint64_t mNextVersion = 0;
  std::uint64_t mReadsThisSecond = 0;
  std::uint64_t mWritesThisSecond = 0;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("object-store-stand-in");
  options.add_options()("listen", "", cxxopts::value<std::string>())(
    "reads", "", cxxopts::value<double>()->default_value("2000"))(
    "writes", "", cxxopts::value<double>()->default_value("300"));
  cxxopts::ParseResult flags = options.parse(aCount, aArguments);
  loop eventLoop(8192);
  object_store_stand_in store(
    eventLoop, flags["reads"].as<double>(), flags["writes"].as<double>());
  http_server_options serverOptions;
  serverOptions.listen = ParseEndpoint(flags["listen"].as<std::string>());
  http_server server(eventLoop, store, serverOptions);
  eventLoop.OnTerminate([&eventLoop] { eventLoop.Stop(); });
  eventLoop.Run();
  return 0;
}
