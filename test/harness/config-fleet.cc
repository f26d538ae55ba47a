#include "harness/config-fleet.h"

#include <algorithm>
#include <libwebsockets.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "base/log.h"
#include "harness/free-address.h"
#include "platform/heartbeats.h"

namespace eelgrasstrack::test {

namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr unsigned kMaxConnections = 4096;
/// Pause after each turn of all loops.
constexpr std::chrono::microseconds kTurnPause{ 500 };
constexpr duration kMaxStartTime = seconds(20);

/// Handles what is due on a loop without waiting.
void
ServiceOnce(const loop& aLoop)
{
  constexpr int kDoNotWait = -1;
  if (lws_service(aLoop.Context(), kDoNotWait) < 0) {
    throw std::runtime_error("an event loop of the fleet has ended");
  }
}

json
ConfigSpec(std::uint64_t aVersion)
{
  json cluster = { { "name", "orders" } };
  return { { "version", "r" + std::to_string(aVersion) },
           { "listeners", json::array() },
           { "clusters", json::array({ cluster }) } };
}

} // namespace

/// A node with an event loop, sockets and connections of its own. Destroyed in
/// the order in which a killed process would lose them.
struct config_fleet::machine
{
  machine()
    : event_loop(kMaxConnections)
    , transport(event_loop)
    , control(transport)
    , store(control, event_loop, counters)
  {
  }

  loop event_loop;
  tcp_transport transport;
  control_client control;
  proxy_counters counters;
  platform::store_client store;
  mesh_settings settings;
  instance_record instance;
  std::unique_ptr<mesh_node> node;
  std::optional<time_point> in_force_at;
  bool frozen = false;
};

config_fleet::config_fleet(fleet_size aSize)
  : mSize(aSize)
  , mStoreLoop(kMaxConnections)
  , mStoreTransport(mStoreLoop)
  , mStore(std::make_unique<platform_store>(mStoreLoop,
                                            mStoreTransport,
                                            FreeAddress()))
{
  mStore->Put("config", "main", ConfigSpec(mVersion));
  for (std::size_t i = 0; i < aSize.domains * aSize.hosts_per_domain; ++i) {
    mNames.push_back("node-" + std::to_string(i / aSize.hosts_per_domain) +
                     "-" + std::to_string(i % aSize.hosts_per_domain));
    mStoreAddresses.push_back(FreeAddress());
    mStore->ServeAlsoAt(mStoreTransport, mStoreAddresses.back());
    mMachines.push_back(StartMachine(i, true));
  }
  if (!RunUntil([this] { return InForceExcept({}) && AllKnowEachOther(); },
                kMaxStartTime)) {
    throw std::runtime_error("the fleet does not start");
  }
}

config_fleet::~config_fleet() = default;

std::unique_ptr<config_fleet::machine>
config_fleet::StartMachine(std::size_t aIndex, bool aFirstStart)
{
  SetLogNode(mNames[aIndex]);
  auto started = std::make_unique<machine>();
  started->store.SetAddress(mStoreAddresses[aIndex]);
  mesh_settings& settings = started->settings;
  settings.name = mNames[aIndex];
  settings.domain = "domain-" + std::to_string(aIndex / mSize.hosts_per_domain);
  settings.service = "orders";
  settings.caller_listen = FreeAddress();
  settings.hop_listen = FreeAddress();
  settings.control_listen = FreeAddress();
  settings.ready_listen = FreeAddress();
  settings.first_start = aFirstStart;
  // The instances send no further heartbeats.
  settings.heartbeat_interval = seconds(3600);
  started->node = std::make_unique<mesh_node>(started->event_loop,
                                              started->transport,
                                              started->control,
                                              started->store,
                                              started->counters,
                                              platform::PlatformHeaderNames(),
                                              settings);
  result<void> opened = started->node->Start();
  if (!opened) {
    throw std::runtime_error(opened.error().message);
  }
  instance_record& instance = started->instance;
  instance.id = "i-" + settings.name;
  instance.service = settings.service;
  instance.version = "v1";
  instance.address = FreeAddress();
  instance.state = instance_state::ready;
  instance.started_unix_ms = 1000;
  started->node->HandleAnnouncement({ instance, ++mAnnouncements });
  return started;
}

bool
config_fleet::AllKnowEachOther() const
{
  return std::all_of(
    mMachines.begin(), mMachines.end(), [this](const auto& aMachine) {
      return json::parse(aMachine->node->Dump()).at("hosts").size() ==
             mMachines.size();
    });
}

void
config_fleet::RunOnce()
{
  ServiceOnce(mStoreLoop);
  for (std::size_t i = 0; i < mMachines.size(); ++i) {
    if (mMachines[i] && !mMachines[i]->frozen) {
      SetLogNode(mNames[i]);
      ServiceOnce(mMachines[i]->event_loop);
    }
  }
  RecordVersions();
  std::this_thread::sleep_for(kTurnPause);
}

void
config_fleet::RecordVersions()
{
  for (const std::unique_ptr<machine>& each : mMachines) {
    if (each && !each->in_force_at && each->node->ConfigVersion() >= mVersion) {
      each->in_force_at = Now();
    }
  }
}

void
config_fleet::RunFor(duration aTime)
{
  time_point end = Now() + aTime;
  while (Now() < end) {
    RunOnce();
  }
}

bool
config_fleet::RunUntil(const std::function<bool()>& aCondition, duration aLimit)
{
  time_point end = Now() + aLimit;
  while (!aCondition() && Now() < end) {
    RunOnce();
  }
  return aCondition();
}

const std::string&
config_fleet::NameOf(std::size_t aNode) const
{
  return mNames.at(aNode);
}

std::vector<std::size_t>
config_fleet::NodesOf(std::size_t aDomain) const
{
  std::vector<std::size_t> nodes;
  for (std::size_t i = 0; i < mSize.hosts_per_domain; ++i) {
    nodes.push_back(aDomain * mSize.hosts_per_domain + i);
  }
  return nodes;
}

std::vector<std::size_t>
config_fleet::WatchersOf(std::size_t aDomain) const
{
  std::vector<std::size_t> nodes = NodesOf(aDomain);
  std::erase_if(nodes, [this](std::size_t aNode) { return !Watches(aNode); });
  return nodes;
}

bool
config_fleet::Watches(std::size_t aNode) const
{
  const std::unique_ptr<machine>& chosen = mMachines.at(aNode);
  return chosen &&
         json::parse(chosen->node->Dump()).at("watches_store").get<bool>();
}

const endpoint&
config_fleet::StoreAddressOf(std::size_t aNode) const
{
  return mStoreAddresses.at(aNode);
}

void
config_fleet::ConfirmNextVersion()
{
  ++mVersion;
  for (const std::unique_ptr<machine>& each : mMachines) {
    if (each) {
      each->in_force_at.reset();
    }
  }
  mStore->Put("config", "main", ConfigSpec(mVersion));
  mConfirmedAt = Now();
}

std::optional<time_point>
config_fleet::InForceAt(std::size_t aNode) const
{
  const std::unique_ptr<machine>& chosen = mMachines.at(aNode);
  return chosen ? chosen->in_force_at : std::nullopt;
}

bool
config_fleet::InForceExcept(const std::vector<std::size_t>& aNodes) const
{
  for (std::size_t i = 0; i < Size(); ++i) {
    bool counts = std::find(aNodes.begin(), aNodes.end(), i) == aNodes.end();
    if (counts && !InForceAt(i)) {
      return false;
    }
  }
  return true;
}

void
config_fleet::RestartInstances()
{
  constexpr int kStarts = 2;
  for (std::size_t i = 0; i < Size(); ++i) {
    if (!mMachines[i]) {
      continue;
    }
    SetLogNode(mNames[i]);
    for (int start = 0; start < kStarts; ++start) {
      ++mMachines[i]->instance.started_unix_ms;
      mMachines[i]->node->HandleAnnouncement(
        { mMachines[i]->instance, ++mAnnouncements });
    }
  }
}

void
config_fleet::Silence(link_kind aLinks, silence_kind aKind)
{
  std::set<std::uint16_t> ports;
  for (std::size_t i = 0; i < Size(); ++i) {
    if (aLinks != link_kind::nodes) {
      ports.insert(mStoreAddresses[i].port);
    }
    if (aLinks != link_kind::store && mMachines[i]) {
      ports.insert(mMachines[i]->settings.control_listen.port);
      ports.insert(mMachines[i]->settings.hop_listen.port);
    }
  }
  mSilencer.Silence(ports, aKind);
}

void
config_fleet::SetStoreCutOff(std::size_t aNode, bool aCutOff)
{
  connection_silencer::SetCutOff(mStoreAddresses.at(aNode).port, aCutOff);
}

void
config_fleet::SetFrozen(std::size_t aNode, bool aFrozen)
{
  mMachines.at(aNode)->frozen = aFrozen;
}

void
config_fleet::Kill(std::size_t aNode)
{
  mMachines.at(aNode).reset();
}

void
config_fleet::Restart(std::size_t aNode)
{
  mMachines.at(aNode) = StartMachine(aNode, false);
}

std::uint64_t
config_fleet::CountAt(std::size_t aNode, proxy_event aEvent) const
{
  const std::unique_ptr<machine>& chosen = mMachines.at(aNode);
  return chosen ? chosen->counters.Count(aEvent) : 0;
}

std::uint64_t
config_fleet::Count(proxy_event aEvent) const
{
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < Size(); ++i) {
    count += CountAt(i, aEvent);
  }
  return count;
}

} // namespace eelgrasstrack::test
