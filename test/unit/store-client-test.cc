#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/platform-store.h"
#include "platform/store-client.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::platform;
using namespace eelgrasstrack::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

json
MakeTable(int aVersion)
{
  return { { "version", "r" + std::to_string(aVersion) },
           { "listeners", json::array() },
           { "clusters", json::array() } };
}

/// Records the versions and orders that the client reports.
class recording_observer final : public control_store_observer
{
public:
  void OnTable(accepted_table aTable) override
  {
    versions.push_back(aTable.table->Version());
  }
  void OnConfigConfirmed(time_point aTime) override { confirmed_at = aTime; }
  void OnOrder(const canary_order& aOrder) override
  {
    orders.push_back(aOrder);
  }
  void OnOrderRemoved(const std::string&) override {}
  void OnEvacuations(const evacuation_snapshot& aSnapshot) override
  {
    evacuations = aSnapshot;
  }
  void OnStoreRestored() override {}

  std::vector<std::uint64_t> versions;
  time_point confirmed_at{};
  std::vector<canary_order> orders;
  evacuation_snapshot evacuations;
};

/// A store client connected to a fake store over loopback.
class store_client_fixture
{
public:
  store_client_fixture()
    : transport(event_loop)
    , control(transport)
    , address(FreeAddress())
    , store(event_loop, transport, address)
    , client(control, event_loop, counters)
  {
    client.SetAddress(address);
    client.SetObserver(observer);
    store.Put("config", "main", MakeTable(3));
  }

  void RunFor(duration aTime)
  {
    event_loop.RunAfter(aTime, [this] { event_loop.Stop(); });
    event_loop.Run();
  }

  /// Waits up to 5 s until the last reported version is `aVersion`.
  bool WaitForVersion(std::uint64_t aVersion)
  {
    constexpr int kMaxSteps = 100;
    for (int i = 0; i < kMaxSteps; ++i) {
      if (!observer.versions.empty() && observer.versions.back() == aVersion) {
        return true;
      }
      RunFor(milliseconds(50));
    }
    return false;
  }

  host_record MakeHost(const std::string& aName) const
  {
    host_record record;
    record.name = aName;
    record.hop = { "10.0.0.1", 1 };
    record.control = { "10.0.0.1", 2 };
    return record;
  }

  void Publish(const host_record& aRecord)
  {
    bool done = false;
    client.PublishHost(aRecord, [&](const result<void>& aDone) {
      CHECK(aDone);
      done = true;
      event_loop.Stop();
    });
    while (!done) {
      event_loop.Run();
    }
  }

  /// Publishes an entry and returns the error, if the call failed.
  std::optional<error_kind> TryPublish(const host_record& aRecord)
  {
    std::optional<result<void>> done;
    client.PublishHost(aRecord, [&](result<void> aDone) {
      done = std::move(aDone);
      event_loop.Stop();
    });
    while (!done) {
      event_loop.Run();
    }
    return *done ? std::nullopt : std::optional(done->error().kind);
  }

  std::int64_t StoredIncarnation(const std::string& aName) const
  {
    return store.Find("eelgrasstrack-hosts", aName)
      .at("spec")
      .at("incarnation")
      .get<std::int64_t>();
  }

  /// Records the progress of an order of the service `s` and checks that this
  /// conflicts and changes nothing.
  void CheckProgressConflicts(const canary_order& aOrder)
  {
    std::optional<result<void>> done;
    client.RecordProgress(aOrder, [&](result<void> aDone) {
      done = std::move(aDone);
      event_loop.Stop();
    });
    while (!done) {
      event_loop.Run();
    }
    REQUIRE_FALSE(*done);
    CHECK(done->error().kind == error_kind::conflict);
    CHECK(store.Find("rollouts", "s").at("status").is_null());
  }

  loop event_loop{ 256 };
  tcp_transport transport;
  control_client control;
  endpoint address;
  platform_store store;
  proxy_counters counters;
  recording_observer observer;
  store_client client;
};

} // namespace

TEST_CASE_METHOD(store_client_fixture,
                 "store client, configuration changes, is reported",
                 "[store-client]")
{
  client.SetWatching(true);
  REQUIRE(WaitForVersion(3));
  store.Put("config", "main", MakeTable(8));
  CHECK(WaitForVersion(8));
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, not watching, makes no calls",
                 "[store-client]")
{
  RunFor(milliseconds(200));
  CHECK(store.CallCount() == 0);
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, malformed configuration, is not reported",
                 "[store-client]")
{
  client.SetWatching(true);
  REQUIRE(WaitForVersion(3));
  store.Put("config", "main", { { "version", 7 } });
  RunFor(milliseconds(600));
  CHECK(observer.versions == std::vector<std::uint64_t>{ 3 });
  store.Put("config", "main", MakeTable(9));
  CHECK(WaitForVersion(9));
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, watch history dropped, lists again",
                 "[store-client]")
{
  client.SetWatching(true);
  REQUIRE(WaitForVersion(3));
  store.SetFault(platform_store::fault::unavailable);
  store.Put("config", "main", MakeTable(8));
  RunFor(milliseconds(500));
  store.Put("config", "main", MakeTable(12));
  store.Compact();
  store.SetFault(platform_store::fault::none);
  CHECK(WaitForVersion(12));
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, store refuses calls, backs off and recovers",
                 "[store-client]")
{
  auto fault = GENERATE(platform_store::fault::unavailable,
                        platform_store::fault::rate_limited);
  store.SetFault(fault);
  client.SetWatching(true);
  RunFor(milliseconds(600));
  CHECK(observer.versions.empty());
  CHECK(store.CallCount() < 20); // backoff limits the calls
  store.SetFault(platform_store::fault::none);
  CHECK(WaitForVersion(3));
}

TEST_CASE_METHOD(
  store_client_fixture,
  "store client, watch response is lost, retries after a timeout",
  "[store-client]")
{
  client.SetWatching(true);
  REQUIRE(WaitForVersion(3));
  RunFor(milliseconds(400));
  store.SetFault(platform_store::fault::drops_answers);
  RunFor(milliseconds(3000)); // the pending watch ends, the next one is lost
  store.Put("config", "main", MakeTable(8));
  store.SetFault(platform_store::fault::none);
  CHECK(WaitForVersion(8));
}

// Guards against a change that is lost because it was made after its page of a
// listing was read, and the watch began at the revision of the last page.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, change between pages, is reported",
                 "[store-client]")
{
  store.Put("config", "other-1", { { "by", "another writer" } });
  store.Put("config", "other-2", { { "by", "another writer" } });
  store.SetPageSize(1);
  store.RunAfterPage([this] { store.Put("config", "main", MakeTable(8)); });
  client.SetWatching(true);
  CHECK(WaitForVersion(8));
}

// Guards against a node that takes its configuration for the latest one after
// it could not decode a later one.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, malformed configuration, is not confirmed",
                 "[store-client]")
{
  client.SetWatching(true);
  REQUIRE(WaitForVersion(3));
  store.Put("config", "main", { { "version", 7 } });
  RunFor(milliseconds(100));
  time_point before = observer.confirmed_at;
  RunFor(milliseconds(1500));
  CHECK(observer.confirmed_at == before);
  store.Put("config", "main", MakeTable(9));
  REQUIRE(WaitForVersion(9));
  RunFor(milliseconds(50));
  CHECK(observer.confirmed_at > before);
}

// Guards against a node that takes its configuration for the latest one
// because a listing does not hold any, and goes on from that listing's
// revision.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, listing lacks the configuration, lists again",
                 "[store-client]")
{
  client.ReadConfig([](const result<void>&) {});
  REQUIRE(WaitForVersion(3));
  time_point confirmed = observer.confirmed_at;
  store.SetFault(platform_store::fault::empty_listings);
  client.SetWatching(true);
  RunFor(milliseconds(300));
  store.Put("config", "main", MakeTable(8));
  RunFor(milliseconds(1500));
  CHECK(observer.versions.back() == 3);
  CHECK(observer.confirmed_at == confirmed);
  store.SetFault(platform_store::fault::none);
  CHECK(WaitForVersion(8));
}

// Guards against a node that knows nothing of the store although it answers.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, configuration read, is reported and confirmed",
                 "[store-client]")
{
  std::optional<result<void>> done;
  client.ReadConfig([&](result<void> aDone) {
    done = std::move(aDone);
    event_loop.Stop();
  });
  time_point started = event_loop.Now();
  event_loop.Run();
  REQUIRE(done);
  CHECK(*done);
  CHECK(observer.versions == std::vector<std::uint64_t>{ 3 });
  CHECK(observer.confirmed_at <= started);
  CHECK(observer.confirmed_at > time_point{});
}

// Guards against the time that each read takes to decode a large configuration
// that has not changed.
TEST_CASE_METHOD(
  store_client_fixture,
  "store client, same configuration read twice, is reported once "
  "and confirmed twice",
  "[store-client]")
{
  client.ReadConfig([](const result<void>&) {});
  REQUIRE(WaitForVersion(3));
  RunFor(milliseconds(50));
  time_point confirmed = observer.confirmed_at;
  client.ReadConfig([](const result<void>&) {});
  RunFor(milliseconds(50));
  CHECK(observer.versions == std::vector<std::uint64_t>{ 3 });
  CHECK(observer.confirmed_at > confirmed);
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, hosts on several pages, lists all valid ones",
                 "[store-client]")
{
  store.SetPageSize(2);
  for (const char* name : { "a", "b", "c", "d", "e" }) {
    Publish(MakeHost(name));
  }
  store.Put("eelgrasstrack-hosts", "bad", { { "name", 7 } });
  std::vector<host_record> hosts;
  client.ListHosts([&](result<std::vector<host_record>> aHosts) {
    REQUIRE(aHosts);
    hosts = *aHosts;
    event_loop.Stop();
  });
  event_loop.Run();
  CHECK(hosts.size() == 5);
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, host entry exists already, is replaced",
                 "[store-client]")
{
  Publish(MakeHost("a"));
  host_record updated = MakeHost("a");
  updated.incarnation = 9;
  Publish(updated);
  CHECK(store.Find("eelgrasstrack-hosts", "a").at("spec").at("incarnation") ==
        9);
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, own host entry changes, needs one call",
                 "[store-client]")
{
  Publish(MakeHost("a"));
  REQUIRE(store.CallCount() == 1);
  host_record updated = MakeHost("a");
  updated.incarnation = 9;
  Publish(updated);
  CHECK(store.CallCount() == 2);
  CHECK(store.Find("eelgrasstrack-hosts", "a").at("spec").at("incarnation") ==
        9);
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, own host entry was removed, is created again",
                 "[store-client]")
{
  Publish(MakeHost("a"));
  client.RemoveHost("a", MakeHost("a").incarnation);
  RunFor(milliseconds(100));
  REQUIRE(store.Find("eelgrasstrack-hosts", "a").is_null());
  Publish(MakeHost("a"));
  CHECK_FALSE(store.Find("eelgrasstrack-hosts", "a").is_null());
}

// Guards against DRAIN: a write of the entry without an answer is done seconds
// later, and the store forgets a departure that a later write has recorded.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, write without an answer is done late, later "
                 "entry stays",
                 "[store-client]")
{
  bool created = GENERATE(false, true);
  host_record record = MakeHost("a");
  if (!created) {
    Publish(record);
  }
  store.SetFault(platform_store::fault::delays_writes);
  record.incarnation = 1;
  REQUIRE(TryPublish(record) == error_kind::deadline_exceeded);
  store.SetFault(platform_store::fault::none);
  record.incarnation = 2;
  Publish(record);
  store.ExecuteLateWrites();
  CHECK(StoredIncarnation("a") == 2);
}

// Guards against a write that overwrites what an earlier process of the host
// has recorded.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, entry not read, conflicts until it is read",
                 "[store-client]")
{
  host_record record = MakeHost("a");
  record.incarnation = 1;
  Publish(record);
  store_client restarted(control, event_loop, counters);
  restarted.SetAddress(address);
  host_record next = record;
  next.incarnation = 2;
  std::optional<result<void>> written;
  std::optional<result<host_record>> read;
  restarted.PublishHost(
    next, [&](result<void> aDone) { written = std::move(aDone); });
  RunFor(milliseconds(100));
  REQUIRE(written);
  REQUIRE_FALSE(*written);
  CHECK(written->error().kind == error_kind::conflict);
  CHECK(StoredIncarnation("a") == 1);
  restarted.ReadHost(
    "a", [&](result<host_record> aEntry) { read = std::move(aEntry); });
  RunFor(milliseconds(100));
  REQUIRE(read);
  REQUIRE(*read);
  CHECK((*read)->incarnation == 1);
  restarted.PublishHost(
    next, [&](result<void> aDone) { written = std::move(aDone); });
  RunFor(milliseconds(100));
  CHECK(*written);
  CHECK(StoredIncarnation("a") == 2);
}

// Guards against an entry that can't be written any more: a write was done and
// its answer lost.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, answer to a write is lost, entry read again is "
                 "written",
                 "[store-client]")
{
  host_record record = MakeHost("a");
  Publish(record);
  store.SetFault(platform_store::fault::drops_answers);
  record.incarnation = 1;
  REQUIRE(TryPublish(record) == error_kind::deadline_exceeded);
  store.SetFault(platform_store::fault::none);
  record.incarnation = 2;
  REQUIRE(TryPublish(record) == error_kind::conflict);
  client.ReadHost("a", [this](const result<host_record>& aEntry) {
    CHECK(aEntry);
    event_loop.Stop();
  });
  event_loop.Run();
  Publish(record);
  CHECK(StoredIncarnation("a") == 2);
}

TEST_CASE_METHOD(store_client_fixture,
                 "store client, order has changed, progress write conflicts",
                 "[store-client]")
{
  store.Put(
    "rollouts", "s", { { "svc", "s" }, { "to", "v2" }, { "over_s", 9 } });
  client.SetWatching(true);
  RunFor(milliseconds(300));
  REQUIRE(observer.orders.size() == 1);
  canary_order order = observer.orders[0];
  store.Put(
    "rollouts", "s", { { "svc", "s" }, { "to", "v3" }, { "over_s", 9 } });
  order.phase = canary_phase::complete;
  CheckProgressConflicts(order);
}

// Guards against a status on the wrong order: the store has gone back and given
// the revision of the order that was read to another one.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, store restored, progress of an order read "
                 "before conflicts",
                 "[store-client]")
{
  platform_store::copy copy = store.Copy();
  store.Put(
    "rollouts", "s", { { "svc", "s" }, { "to", "v2" }, { "over_s", 9 } });
  client.SetWatching(true);
  RunFor(milliseconds(300));
  REQUIRE(observer.orders.size() == 1);
  canary_order order = observer.orders[0];
  store.Restore(copy);
  store.Put(
    "rollouts", "s", { { "svc", "s" }, { "to", "v3" }, { "over_s", 9 } });
  RunFor(seconds(1)); // the client hears of the new era
  order.phase = canary_phase::complete;
  CheckProgressConflicts(order);
}

// Guards against a node that is cut off from its store for good: the eras of a
// store at another address are lower.
TEST_CASE_METHOD(store_client_fixture,
                 "store client, address changes, store with a lower era is "
                 "followed",
                 "[store-client]")
{
  store.Restore(store.Copy());
  client.SetWatching(true);
  REQUIRE(WaitForVersion(3));
  endpoint otherAddress = FreeAddress();
  platform_store other(event_loop, transport, otherAddress);
  other.Put("config", "main", MakeTable(5));
  client.SetAddress(otherAddress);
  CHECK(WaitForVersion(5));
  other.Put("config", "main", MakeTable(6));
  CHECK(WaitForVersion(6));
}
