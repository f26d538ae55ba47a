#ifndef EELGRASSTRACK_TEST_HARNESS_STORE_WORLD_H_
#define EELGRASSTRACK_TEST_HARNESS_STORE_WORLD_H_

#include <algorithm>
#include <catch2/catch.hpp>

#include "harness/free-address.h"
#include "harness/platform-store.h"
#include "mesh/mesh-node.h"
#include "platform/heartbeats.h"
#include "platform/store-client.h"

namespace eelgrasstrack::test {

inline constexpr const char* kHostKind = "eelgrasstrack-hosts";

inline nlohmann::json
TableSpec(int aVersion)
{
  nlohmann::json cluster = { { "name", "orders" } };
  return { { "version", "r" + std::to_string(aVersion) },
           { "listeners", nlohmann::json::array() },
           { "clusters", nlohmann::json::array({ cluster }) } };
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
    platform::store_client store;
    mesh_settings settings;
    std::unique_ptr<mesh_node> node;
  };

  /// Starts a node whose instance is not announced.
  mesh_node& StartNode(const std::string& aName)
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
    added->settings.heartbeat_interval = std::chrono::seconds(3600);
    added->node = std::make_unique<mesh_node>(event_loop,
                                              transport,
                                              control,
                                              added->store,
                                              added->counters,
                                              platform::PlatformHeaderNames(),
                                              added->settings);
    REQUIRE(added->node->Start());
    nodes.push_back(std::move(added));
    return *nodes.back()->node;
  }

  /// Starts a node and announces the instance beside it.
  mesh_node& AddNode(const std::string& aName, const std::string& aVersion)
  {
    mesh_node& node = StartNode(aName);
    instance_record instance;
    instance.id = "i-" + aName + aVersion;
    instance.service = "orders";
    instance.version = aVersion;
    instance.address = FreeAddress();
    instance.state = instance_state::ready;
    instance.started_unix_ms = 1000 + static_cast<std::int64_t>(nodes.size());
    node.HandleAnnouncement({ instance, 1 });
    return node;
  }

  void RunFor(duration aTime)
  {
    event_loop.RunAfter(aTime, [this] { event_loop.Stop(); });
    event_loop.Run();
  }

  /// Runs until the condition holds, for 10 s at most. Returns whether it does.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    constexpr duration kStep = std::chrono::milliseconds(10);
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
  static nlohmann::json GhostEntry()
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
    nlohmann::json object = store.Find("rollouts", "orders");
    return object.is_null() || !object.at("status").is_object()
             ? ""
             : object.at("status").at("state").get<std::string>();
  }

  static nlohmann::json RolloutsOf(const mesh_node& aNode)
  {
    return nlohmann::json::parse(aNode.Dump()).at("moves");
  }

  /// Version that a node rolls the service out to, and its phase.
  static std::string RolloutAt(const mesh_node& aNode)
  {
    nlohmann::json moves = RolloutsOf(aNode);
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

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_STORE_WORLD_H_
