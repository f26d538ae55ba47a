#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/platform-store.h"
#include "mesh/mesh-node.h"
#include "mesh/order-id-json.h"
#include "platform/heartbeats.h"
#include "platform/store-client.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::platform;
using namespace eelgrasstrack::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kHostKind = "eelgrasstrack-hosts";

json
TableSpec(int aVersion)
{
  json cluster = { { "name", "orders" } };
  return { { "version", "r" + std::to_string(aVersion) },
           { "listeners", json::array() },
           { "clusters", json::array({ cluster }) } };
}

json
OrderSpec(const std::string& aVersion, int aSeconds)
{
  return { { "svc", "orders" }, { "to", aVersion }, { "over_s", aSeconds } };
}

/// A fake of the platform's store, and nodes on it.
class store_world
{
public:
  store_world()
    : transport(event_loop)
    , control(transport)
    , store_address(FreeAddress())
    , store(event_loop, transport, store_address)
  {
    store.Put("config", "main", TableSpec(3));
  }

  /// A node with the instance beside it and its own client of the store.
  struct test_node
  {
    test_node(control_client& aControl, loop& aLoop)
      : store(aControl, aLoop, counters)
    {
    }

    proxy_counters counters;
    store_client store;
    mesh_settings settings;
    std::unique_ptr<mesh_node> node;
  };

  mesh_node& AddNode(const std::string& aName, const std::string& aVersion)
  {
    auto added = std::make_unique<test_node>(control, event_loop);
    added->store.SetAddress(store_address);
    added->settings.name = aName;
    added->settings.domain = "a";
    added->settings.service = "orders";
    added->settings.caller_listen = FreeAddress();
    added->settings.hop_listen = FreeAddress();
    added->settings.control_listen = FreeAddress();
    added->settings.ready_listen = FreeAddress();
    added->settings.first_start = first_start;
    // The instances send no further heartbeats.
    added->settings.heartbeat_interval = seconds(3600);
    added->node = std::make_unique<mesh_node>(event_loop,
                                              transport,
                                              control,
                                              added->store,
                                              added->counters,
                                              PlatformHeaderNames(),
                                              added->settings);
    REQUIRE(added->node->Start());
    instance_record instance;
    instance.id = "i-" + aName + aVersion;
    instance.service = "orders";
    instance.version = aVersion;
    instance.address = FreeAddress();
    instance.state = instance_state::ready;
    instance.started_unix_ms = 1000 + static_cast<std::int64_t>(nodes.size());
    added->node->HandleAnnouncement({ instance, 1 });
    nodes.push_back(std::move(added));
    return *nodes.back()->node;
  }

  void RunFor(duration aTime)
  {
    event_loop.RunAfter(aTime, [this] { event_loop.Stop(); });
    event_loop.Run();
  }

  /// Runs until the condition holds, for 10 s at most. Returns whether it does.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    constexpr duration kStep = milliseconds(10);
    constexpr int kMaxSteps = 1000;
    for (int i = 0; i < kMaxSteps && !aCondition(); ++i) {
      RunFor(kStep);
    }
    return aCondition();
  }

  bool EntryExists(const std::string& aName) const
  {
    return !store.Find(kHostKind, aName).is_null();
  }

  bool AllHold(std::uint64_t aVersion) const
  {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& aNode) {
      return aNode->node->ConfigVersion() == aVersion;
    });
  }

  /// Writes objects that nobody reads, so that the revision rises.
  void WriteOthers()
  {
    constexpr int kWrites = 20;
    for (int i = 0; i < kWrites; ++i) {
      store.Put("other", "x", { { "i", i } });
    }
  }

  /// Entry of a host that nobody answers for.
  static json GhostEntry()
  {
    host_record ghost;
    ghost.name = "ghost";
    ghost.domain = "a";
    ghost.hop = FreeAddress();
    ghost.control = FreeAddress();
    ghost.incarnation = 1;
    return { { "metadata", { { "name", "ghost" }, { "rev", 1 } } },
             { "spec", EncodeHostRecord(ghost) },
             { "status", nullptr } };
  }

  /// State that the rollout of the service has in the store; empty if none is
  /// recorded.
  std::string RecordedState() const
  {
    json object = store.Find("rollouts", "orders");
    return object.is_null() || !object.at("status").is_object()
             ? ""
             : object.at("status").at("state").get<std::string>();
  }

  static json RolloutsOf(const mesh_node& aNode)
  {
    return json::parse(aNode.Dump()).at("moves");
  }

  /// Version that a node rolls the service out to, and its phase.
  static std::string RolloutAt(const mesh_node& aNode)
  {
    json moves = RolloutsOf(aNode);
    return moves.empty() ? ""
                         : moves.at(0).at("to").get<std::string>() + " " +
                             moves.at(0).at("phase").get<std::string>();
  }

  loop event_loop{ 512 };
  tcp_transport transport;
  control_client control;
  endpoint store_address;
  platform_store store;
  bool first_start = true;
  std::vector<std::unique_ptr<test_node>> nodes;
};

/// Two nodes that hold the configuration of the store.
class restored_store_fixture : public store_world
{
public:
  restored_store_fixture()
  {
    for (const char* name : { "node-1", "node-2" }) {
      AddNode(name, "v1");
    }
    RunUntil([this] { return EntryExists("node-1") && EntryExists("node-2"); });
    RunUntil([this] { return AllHold(3); });
  }
};

/// A node's view of the mesh for a gossip that is not used.
class unused_delegate final : public gossip_delegate
{
public:
  std::uint64_t ConfigVersion() const override { return 0; }
  void OnNewerConfig(const host_record&, std::uint64_t) override {}
  void OnHostsChanged() override {}
  void OnInstanceLeft(const instance_incarnation&) override {}
  void OnEvacuationsChanged() override {}
  void OnRemovedByOthers() override {}
  void OnCanaryUpdates(const std::vector<canary_rollout>&) override {}
};

/// The repair of host entries on the only node that has tasks.
class entry_repair_fixture : public store_world
{
public:
  entry_repair_fixture()
    : client(control, event_loop, counters)
    , peers(event_loop,
            control,
            directory,
            versions,
            crashes,
            evacuations,
            counters,
            delegate)
    , repair(event_loop, client, directory, peers)
  {
    client.SetAddress(store_address);
    host_record self;
    self.name = directory.Self();
    self.domain = "a";
    directory.Merge(self, event_loop.Now());
    // A node removes hosts only while it reaches a majority. One that is
    // stopping counts for that and has no tasks.
    host_record stopping = self;
    stopping.name = "node-2";
    stopping.leaving = true;
    directory.Merge(stopping, event_loop.Now());
    repair.SetActive(true);
  }

  proxy_counters counters;
  version_selector versions;
  crash_table crashes;
  evacuation_table evacuations;
  unused_delegate delegate;
  host_directory directory{ "node-1" };
  store_client client;
  gossip peers;
  host_entry_repair repair;
};

} // namespace

// Guards against CONFIG: a change written after the store went back has a
// revision that was given out before, and a watch from there never shows it.
TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, revisions are given out again, configuration "
                 "is in force",
                 "[store-restored]")
{
  platform_store::copy copy = store.Copy();
  store.Put("config", "main", TableSpec(8));
  RunUntil([this] { return AllHold(8); });
  store.Restore(copy);
  store.Put("config", "main", TableSpec(12));
  CHECK(RunUntil([this] { return AllHold(12); }));
}

TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, holds an older configuration, the newer one "
                 "stays in force",
                 "[store-restored]")
{
  platform_store::copy copy = store.Copy();
  store.Put("config", "main", TableSpec(8));
  RunUntil([this] { return AllHold(8); });
  store.Restore(copy);
  RunFor(seconds(1));
  CHECK(AllHold(8));
  store.Put("config", "main", TableSpec(8)); // the operator writes it again
  store.Put("config", "main", TableSpec(9));
  CHECK(RunUntil([this] { return AllHold(9); }));
}

// Guards against CONFIG: a node that starts while the store holds an older
// configuration says that it is ready before it has asked the other nodes.
TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, node starts, is not ready with an older "
                 "configuration",
                 "[store-restored]")
{
  platform_store::copy copy = store.Copy();
  store.Put("config", "main", TableSpec(8));
  RunUntil([this] { return AllHold(8); });
  // The copy also holds a host that is gone; it is the first one to be asked.
  copy.objects_by_kind[kHostKind]["ghost"] = GhostEntry();
  store.Restore(copy);
  first_start = false;
  mesh_node& started = AddNode("node-0", "v1");
  constexpr int kMaxSteps = 2000;
  for (int i = 0; i < kMaxSteps && !started.Ready(); ++i) {
    RunFor(milliseconds(1));
  }
  CHECK(started.Ready());
  CHECK(started.ConfigVersion() == 8);
}

// Guards against a later order that is ignored since its revision is lower than
// that of an order from before the store went back.
TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, next order has a lower revision, is rolled "
                 "out",
                 "[store-restored]")
{
  platform_store::copy copy = store.Copy();
  WriteOthers();
  store.Put("rollouts", "orders", OrderSpec("v2", 60));
  REQUIRE(RunUntil([this] { return RecordedState() == "running"; }));
  store.Restore(copy);
  store.Put("rollouts", "orders", OrderSpec("v3", 60));
  CHECK(RunUntil([this] { return RecordedState() == "running"; }));
  CHECK(RolloutAt(*nodes[0]->node) == "v3 trial");
  CHECK(RolloutAt(*nodes[1]->node) == "v3 trial");
}

// Guards against the loss of a recorded end: the operator waits for ever for a
// rollout that was taken back.
TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, rollout was taken back, is recorded again",
                 "[store-restored]")
{
  platform_store::copy before = store.Copy();
  WriteOthers();
  store.Put("rollouts", "orders", OrderSpec("v2", 60));
  platform_store::copy ordered = store.Copy();
  REQUIRE(RunUntil([this] { return RecordedState() == "running"; }));
  canary_rollout ended;
  ended.service = "orders";
  ended.target_version = "v2";
  ended.order_id = OrderIdOf(RolloutsOf(*nodes[0]->node).at(0));
  ended.time_limit = seconds(60);
  ended.phase = canary_phase::rolled_back;
  for (const auto& node : nodes) {
    node->node->OnCanaryUpdates({ ended });
  }
  REQUIRE(RunUntil([this] { return RecordedState() == "reverted"; }));
  SECTION("its order is still there")
  {
    store.Restore(ordered);
  }
  SECTION("its order is written again")
  {
    store.Restore(before);
    RunFor(milliseconds(500));
    store.Put("rollouts", "orders", OrderSpec("v2", 60));
  }
  CHECK(RunUntil([this] { return RecordedState() == "reverted"; }));
  for (const auto& node : nodes) {
    CHECK(RolloutAt(*node->node) == "v2 reverted");
  }
}

// Guards against a rollout that starts again from its canary phase, or is never
// said to be complete, though the old instances are gone.
TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, rollout was complete, is recorded again",
                 "[store-restored]")
{
  first_start = false;
  AddNode("node-3", "v2");
  platform_store::copy before = store.Copy();
  WriteOthers();
  store.Put("rollouts", "orders", OrderSpec("v2", 2));
  platform_store::copy ordered = store.Copy();
  REQUIRE(RunUntil([this] { return RecordedState() == "complete"; }));
  SECTION("its order is still there")
  {
    store.Restore(ordered);
  }
  SECTION("its order is written again")
  {
    store.Restore(before);
    RunFor(milliseconds(500));
    store.Put("rollouts", "orders", OrderSpec("v2", 2));
  }
  // Sooner than a rollout that starts again from its canary phase.
  bool recorded = false;
  for (int i = 0; i < 150 && !recorded; ++i) {
    RunFor(milliseconds(10));
    recorded = RecordedState() == "complete";
    for (const auto& node : nodes) {
      CHECK(RolloutAt(*node->node) == "v2 complete");
    }
  }
  CHECK(recorded);
}

// Guards against a lost entry: a node that starts later does not find the host.
TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, entry of a host is lost, is written again",
                 "[store-restored]")
{
  platform_store::copy copy = store.Copy();
  first_start = false;
  AddNode("node-3", "v1");
  REQUIRE(RunUntil([this] { return EntryExists("node-3"); }));
  RunFor(seconds(2)); // until it has nothing more to write
  store.Restore(copy);
  CHECK(RunUntil([this] { return EntryExists("node-3"); }));
}

// Guards against a leftover: the entry of a host that was removed comes back
// and stays for ever, and each node that starts later asks that host.
TEST_CASE_METHOD(entry_repair_fixture,
                 "store restored, entry of a removed host is back, is removed "
                 "again",
                 "[store-restored]")
{
  platform_store::copy copy = store.Copy();
  copy.objects_by_kind[kHostKind]["ghost"] = GhostEntry();
  result<host_record> ghost = DecodeHostRecord(GhostEntry().at("spec"));
  REQUIRE(ghost);
  directory.Merge(*ghost, event_loop.Now());
  directory.MarkUnreachable("ghost", event_loop.Now());
  (void)directory.RemoveUnreachable(duration(0), event_loop.Now() + seconds(1));
  REQUIRE(directory.WasRemoved("ghost"));
  store.Restore(copy);
  REQUIRE(EntryExists("ghost"));
  repair.Start();
  CHECK(RunUntil([this] { return !EntryExists("ghost"); }));
}

TEST_CASE_METHOD(restored_store_fixture,
                 "store restored, twice in a row, configuration is in force",
                 "[store-restored]")
{
  platform_store::copy copy = store.Copy();
  for (int version : { 8, 12 }) {
    store.Put("config", "main", TableSpec(version));
    CHECK(RunUntil([&] { return AllHold(version); }));
    store.Restore(copy);
  }
  store.Put("config", "main", TableSpec(15));
  CHECK(RunUntil([this] { return AllHold(15); }));
}

// Guards against a node that waits for others that are gone.
TEST_CASE_METHOD(store_world,
                 "node starts, the only other host is gone, is ready in time",
                 "[store-restored]")
{
  store.Put(kHostKind, "ghost", GhostEntry().at("spec"));
  first_start = false;
  mesh_node& started = AddNode("node-1", "v1");
  CHECK(RunUntil([&started] { return started.Ready(); }));
  CHECK(started.ConfigVersion() == 3);
}
