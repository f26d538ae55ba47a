#include <catch2/catch.hpp>

#include "harness/store-world.h"
#include "mesh/order-id-json.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::platform;
using namespace eelgrasstrack::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

json
OrderSpec(const std::string& aVersion, int aSeconds)
{
  return { { "svc", "orders" }, { "to", aVersion }, { "over_s", aSeconds } };
}

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
  const config_knowledge& Configuration() const override { return mKnowledge; }
  void OnConfigAnnounced(const host_record&,
                         std::uint64_t,
                         std::optional<duration>) override
  {
  }
  void OnHostsChanged() override {}
  void OnInstanceLeft(const instance_incarnation&) override {}
  void OnNewerOwnRecord(const host_record&) override {}
  void OnEvacuationsChanged() override {}
  void OnRemovedByOthers() override {}
  void OnCanaryUpdates(const std::vector<canary_rollout>&) override {}

private:
  config_knowledge mKnowledge;
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
