#include <catch2/catch.hpp>

#include "harness/store-world.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kNode = "node-1";

instance_record
MakeInstance(const std::string& aId, std::int64_t aStart)
{
  instance_record instance;
  instance.id = aId;
  instance.service = "orders";
  instance.version = "v1";
  instance.address = { "127.0.0.1", 9 };
  instance.state = instance_state::ready;
  instance.started_unix_ms = aStart;
  return instance;
}

/// A node, and what the store holds of it.
class departure_world : public store_world
{
public:
  departure_world() = default;

  /// All processes were killed; the node starts again.
  explicit departure_world(const platform_store::copy& aStored)
  {
    store.Restore(aStored);
    first_start = false;
  }

  mesh_node& Start() { return StartNode(kNode); }

  /// The node hears of an instance, and its entry is written.
  void Join(const instance_record& aInstance)
  {
    Start();
    Announce(aInstance);
    REQUIRE(RunUntil([this] { return StoredState() == "ready"; }));
  }

  void Announce(const instance_record& aInstance)
  {
    Node().HandleAnnouncement({ aInstance, ++mSequence });
  }

  /// Reports the exit of an instance. Returns whether that was acknowledged
  /// within a second.
  bool ReportExit(const exit_notice& aNotice)
  {
    std::optional<bool> acknowledged;
    Node().AcknowledgeDeparture(Node().HandleInstanceExit(aNotice),
                                [&acknowledged](const result<void>& aDone) {
                                  acknowledged = aDone.has_value();
                                });
    REQUIRE(RunUntil([&acknowledged] { return acknowledged.has_value(); }));
    return *acknowledged;
  }

  mesh_node& Node() { return *nodes.back()->node; }

  /// State of the instance in the node's entry; empty if there is none.
  std::string StoredState() const
  {
    json entry = store.Find(kHostKind, kNode);
    return entry.is_null() || !entry.at("spec").contains("instance")
             ? ""
             : entry.at("spec").at("instance").at("state").get<std::string>();
  }

  /// Whether the node takes the instance beside it for ready.
  bool TakesForReady()
  {
    json hosts = json::parse(Node().Dump()).at("hosts");
    return hosts.at(0).contains("instance") &&
           hosts.at(0).at("instance").at("state") == "ready";
  }

  /// Sends a message of another node to the last one.
  void Send(const json& aMessage)
  {
    buffered_request request;
    request.method = "POST";
    request.target = "/v1/gossip";
    request.body = aMessage.dump();
    std::optional<bool> handled;
    control.Call(nodes.back()->settings.control_listen,
                 std::move(request),
                 seconds(1),
                 [&handled](const result<buffered_response>& aAnswer) {
                   handled = aAnswer && aAnswer->status == 200;
                 });
    RunUntil([&handled] { return handled.has_value(); });
    REQUIRE(handled == true);
  }

  /// Id of the node's instance as the first node knows it.
  std::string InstanceKnownToOther()
  {
    json hosts = json::parse(nodes.front()->node->Dump()).at("hosts");
    for (const json& host : hosts) {
      if (host.at("name") == kNode && host.contains("instance")) {
        return host.at("instance").at("id").get<std::string>();
      }
    }
    return "";
  }

private:
  std::int64_t mSequence = 0;
};

/// What the store holds when all processes are killed at the end of a run.
platform_store::copy
StoredAfter(const std::function<void(departure_world&)>& aRun)
{
  departure_world killed;
  aRun(killed);
  return killed.store.Copy();
}

/// An instance has left, and that was acknowledged.
void
LeaveAcknowledged(departure_world& aWorld)
{
  aWorld.Join(MakeInstance("i-1", 1000));
  REQUIRE(aWorld.ReportExit({ "i-1", 1000 }));
}

} // namespace

// Guards against DRAIN: a write that names the instance as ready and has found
// no answer is done after the departure was acknowledged.
TEST_CASE_METHOD(departure_world,
                 "departure record, earlier write is done late, stays",
                 "[departure]")
{
  Join(MakeInstance("i-1", 1000));
  store.SetFault(platform_store::fault::delays_writes);
  Announce(MakeInstance("i-1", 2000));
  RunFor(milliseconds(1000)); // its write is on the way
  store.SetFault(platform_store::fault::none);
  REQUIRE(ReportExit({ "i-1", 2000 }));
  store.ExecuteLateWrites();
  CHECK(StoredState() == "gone");
}

// Guards against instances that leave without an acknowledgement: the answer to
// the write is lost.
TEST_CASE_METHOD(departure_world,
                 "departure record, answer to the write is lost, is "
                 "acknowledged when it is reported again",
                 "[departure]")
{
  Join(MakeInstance("i-1", 1000));
  store.SetFault(platform_store::fault::drops_answers);
  CHECK_FALSE(ReportExit({ "i-1", 1000 }));
  store.SetFault(platform_store::fault::none);
  CHECK(ReportExit({ "i-1", 1000 }));
}

// Guards against DRAIN: a late heartbeat reaches a restarted node before it can
// read its entry, and the node writes over the departure.
TEST_CASE("departure record, late heartbeat before the entry is read, instance "
          "stays gone",
          "[departure]")
{
  departure_world restarted(StoredAfter(LeaveAcknowledged));
  restarted.store.SetFault(platform_store::fault::unavailable);
  restarted.Start();
  restarted.Announce(MakeInstance("i-1", 1000));
  restarted.RunFor(milliseconds(300));
  restarted.store.SetFault(platform_store::fault::none);
  restarted.RunFor(milliseconds(2000));
  CHECK_FALSE(restarted.TakesForReady());
  CHECK(restarted.StoredState() == "gone");
}

// Guards against DRAIN: the node that acknowledged the departure had not heard
// of the instance, and its entry names none.
TEST_CASE("departure record, instance unknown to the node, late heartbeat "
          "after a restart is refused",
          "[departure]")
{
  departure_world restarted(StoredAfter([](departure_world& aKilled) {
    aKilled.first_start = false;
    aKilled.Start();
    aKilled.RunFor(milliseconds(1000));
    REQUIRE(aKilled.ReportExit({ "i-1", {} }));
  }));
  restarted.Start();
  restarted.RunFor(milliseconds(500));
  restarted.Announce(MakeInstance("i-1", 1000));
  CHECK_FALSE(restarted.TakesForReady());
}

// Guards against DRAIN: only the last departure of a host is in its entry.
TEST_CASE("departure record, two instances left in turn, late heartbeat of the "
          "first is refused",
          "[departure]")
{
  departure_world restarted(StoredAfter([](departure_world& aKilled) {
    LeaveAcknowledged(aKilled);
    aKilled.Announce(MakeInstance("i-2", 2000));
    aKilled.RunFor(milliseconds(1000));
    REQUIRE(aKilled.ReportExit({ "i-2", 2000 }));
  }));
  restarted.Start();
  restarted.RunFor(milliseconds(500));
  restarted.Announce(MakeInstance("i-1", 1000));
  CHECK_FALSE(restarted.TakesForReady());
}

// Guards against DRAIN: a notice without a start counts as later than the next
// instance, whose departure is then acknowledged unrecorded.
TEST_CASE("departure record, notice of an unknown instance came before, "
          "departure of the present one is recorded",
          "[departure]")
{
  departure_world restarted(StoredAfter([](departure_world& aKilled) {
    aKilled.first_start = false;
    aKilled.Start();
    aKilled.RunFor(milliseconds(1000));
    REQUIRE(aKilled.ReportExit({ "i-0", {} }));
    aKilled.Announce(MakeInstance("i-1", 1000));
    REQUIRE(aKilled.RunUntil(
      [&aKilled] { return aKilled.StoredState() == "ready"; }));
    REQUIRE(aKilled.ReportExit({ "i-1", 1000 }));
    CHECK(aKilled.StoredState() == "gone");
  }));
  restarted.Start();
  restarted.RunFor(milliseconds(500));
  restarted.Announce(MakeInstance("i-1", 1000)); // a late heartbeat
  CHECK_FALSE(restarted.TakesForReady());
}

// Guards against DRAIN: the clock of the host was set back, and the start of
// the instance lies after the notice, which does not name it.
TEST_CASE("departure record, notice without a start, clock was set back, "
          "instance is not resumed",
          "[departure]")
{
  std::int64_t start = 0;
  departure_world restarted(StoredAfter([&start](departure_world& aKilled) {
    constexpr std::int64_t kHourMs = 3'600'000;
    start = aKilled.event_loop.UnixMilliseconds() + kHourMs;
    aKilled.Join(MakeInstance("i-1", start));
  }));
  restarted.store.SetFault(platform_store::fault::unavailable);
  restarted.Start();
  CHECK_FALSE(restarted.ReportExit({ "i-1", {} }));
  restarted.store.SetFault(platform_store::fault::none);
  restarted.RunFor(milliseconds(1000));
  CHECK_FALSE(restarted.TakesForReady());
  CHECK(restarted.ReportExit({ "i-1", {} }));
  CHECK_FALSE(restarted.TakesForReady());
  CHECK(restarted.StoredState() == "gone");
  restarted.Announce(MakeInstance("i-1", start)); // a late heartbeat
  CHECK_FALSE(restarted.TakesForReady());
}

// Guards against an outage after a departure: the instance starts again with
// its id, and is served.
TEST_CASE("departure record, instance starts again after a restart, is ready",
          "[departure]")
{
  departure_world restarted(StoredAfter(LeaveAcknowledged));
  restarted.Start();
  restarted.RunFor(milliseconds(500));
  restarted.Announce(MakeInstance("i-1", 2000));
  CHECK(restarted.TakesForReady());
}

// Guards against a node that is ignored by the others: its clock was set back,
// and their records of its predecessor look newer than its own.
TEST_CASE("host record, clock was set back, others follow the restarted node",
          "[departure]")
{
  bool inStore = GENERATE(false, true);
  constexpr std::int64_t kHourMs = 3'600'000;
  departure_world world;
  host_record predecessor;
  predecessor.name = kNode;
  predecessor.domain = "a";
  predecessor.hop = FreeAddress();
  predecessor.control = FreeAddress();
  predecessor.incarnation = world.event_loop.UnixMilliseconds() + kHourMs;
  predecessor.instance = MakeInstance("i-1", 1000);
  if (inStore) {
    world.store.Put(kHostKind, kNode, EncodeHostRecord(predecessor));
  }
  world.first_start = false;
  world.StartNode("node-2");
  world.RunFor(milliseconds(1500)); // its entry is written
  if (!inStore) {
    world.Send(
      { { "from", kNode }, { "hosts", { EncodeHostRecord(predecessor) } } });
  }
  world.Start();
  world.RunFor(milliseconds(500));
  world.Announce(MakeInstance("i-2", 2000));
  CHECK(
    world.RunUntil([&world] { return world.InstanceKnownToOther() == "i-2"; }));
  json own = json::parse(world.Node().Dump()).at("hosts").at(0);
  CHECK(own.at("incarnation") > predecessor.incarnation);
}
