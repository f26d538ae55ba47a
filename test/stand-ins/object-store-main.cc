// A stand-in for the platform's object store: versions, conditional updates,
// long-poll watches, a limit on calls, and faults that a control call sets.
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

constexpr std::string_view kObjects = "/v1/objects/";

struct object
{
  std::uint64_t version = 0;
  std::string value;
};

struct waiting_watch
{
  std::string key;
  std::uint64_t known = 0;
  exchange_ptr exchange;
};

/// What goes wrong, set by `POST /control`.
struct faults
{
  bool out = false;
  int delay_ms = 0;
  /// Writes that take effect while their answer is lost.
  int lose_answers = 0;
};

struct call_counts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t refused = 0;
  std::uint64_t most_reads_in_second = 0;
  std::uint64_t most_writes_in_second = 0;
};

class object_store_stand_in final : public http_handler
{
public:
  object_store_stand_in(loop& aLoop, double aReads, double aWrites)
    : mLoop(aLoop)
    , mReads(aReads, aReads)
    , mWrites(aWrites, aWrites)
  {
    mLoop.RunEvery(std::chrono::seconds(1), [this] { CloseSecond(); });
  }

  void Handle(exchange_ptr aExchange) override
  {
    const http_request& request = aExchange->Request();
    if (request.path == "/control") {
      Control(aExchange);
      return;
    }
    if (request.path == "/counts") {
      Counts(aExchange);
      return;
    }
    if (request.path.rfind(kObjects, 0) != 0) {
      Respond(aExchange, 404, {});
      return;
    }
    if (mFaults.out) {
      Respond(aExchange, 503, {});
      return;
    }
    auto work = [this, aExchange] { Serve(aExchange); };
    if (mFaults.delay_ms > 0) {
      mLoop.RunAfter(std::chrono::milliseconds(mFaults.delay_ms), work);
    } else {
      work();
    }
  }

private:
  void Serve(const exchange_ptr& aExchange)
  {
    const http_request& request = aExchange->Request();
    std::string key = request.path.substr(kObjects.size());
    bool write = request.method == "PUT";
    call_budget& budget = write ? mWrites : mReads;
    if (!budget.Take(mLoop.Now())) {
      ++mCounts.refused;
      Respond(aExchange, 429, {});
      return;
    }
    if (write) {
      ++mCounts.writes;
      ++mWritesInSecond;
      Put(aExchange, key);
      return;
    }
    ++mReadsInSecond;
    std::string known = QueryValue(request.query, "watch");
    if (known.empty()) {
      ++mCounts.reads;
      RespondObject(aExchange, mObjects[key]);
      return;
    }
    ++mCounts.watches;
    Watch(aExchange, key, std::stoull(known));
  }

  void Put(const exchange_ptr& aExchange, const std::string& aKey)
  {
    const http_request& request = aExchange->Request();
    object& stored = mObjects[aKey];
    std::string_view match = HeaderValue(request.headers, "if-match");
    std::string expected = "\"" + std::to_string(stored.version) + "\"";
    bool create = HeaderValue(request.headers, "if-none-match") == "*";
    bool holds = create ? stored.version == 0 : match == expected;
    if (!holds) {
      Respond(aExchange, 412, {});
      return;
    }
    stored.version = ++mNextVersion;
    stored.value = request.body;
    WakeWatches(aKey);
    if (mFaults.lose_answers > 0) {
      --mFaults.lose_answers;
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

  void WakeWatches(const std::string& aKey)
  {
    std::list<waiting_watch> still;
    for (waiting_watch& watch : mWatches) {
      if (watch.key != aKey) {
        still.push_back(watch);
      } else if (!watch.exchange->Answered()) {
        RespondObject(watch.exchange, mObjects[aKey]);
      }
    }
    mWatches = std::move(still);
  }

  void Control(const exchange_ptr& aExchange)
  {
    json body = json::parse(aExchange->Request().body, nullptr, false);
    if (!body.is_object()) {
      Respond(aExchange, 400, {});
      return;
    }
    mFaults.out = body.value("out", mFaults.out);
    mFaults.delay_ms = body.value("delay_ms", mFaults.delay_ms);
    mFaults.lose_answers = body.value("lose_answers", mFaults.lose_answers);
    if (mFaults.out) {
      for (waiting_watch& watch : mWatches) {
        Respond(watch.exchange, 503, {});
      }
      mWatches.clear();
    }
    Respond(aExchange, 200, {});
  }

  void Counts(const exchange_ptr& aExchange)
  {
    http_response response;
    response.body = json{
      { "reads", mCounts.reads },
      { "writes", mCounts.writes },
      { "watches", mCounts.watches },
      { "refused", mCounts.refused },
      { "waiting", mWatches.size() },
      { "most_reads_in_second", mCounts.most_reads_in_second },
      { "most_writes_in_second", mCounts.most_writes_in_second }
    }.dump();
    aExchange->Respond(std::move(response));
  }

  void CloseSecond()
  {
    mCounts.most_reads_in_second =
      std::max(mCounts.most_reads_in_second, mReadsInSecond);
    mCounts.most_writes_in_second =
      std::max(mCounts.most_writes_in_second, mWritesInSecond);
    mReadsInSecond = 0;
    mWritesInSecond = 0;
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
  call_budget mReads;
  call_budget mWrites;
  faults mFaults;
  call_counts mCounts;
  std::map<std::string, object> mObjects;
  std::list<waiting_watch> mWatches;
  std::uint64_t mNextVersion = 0;
  std::uint64_t mReadsInSecond = 0;
  std::uint64_t mWritesInSecond = 0;
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
  loop events(8192);
  object_store_stand_in store(
    events, flags["reads"].as<double>(), flags["writes"].as<double>());
  http_server_options listen;
  listen.listen = ParseEndpoint(flags["listen"].as<std::string>());
  http_server server(events, store, listen);
  events.OnTerminate([&events] { events.Stop(); });
  events.Run();
  return 0;
}
