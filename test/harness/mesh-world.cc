#include "harness/mesh-world.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include "harness/free-address.h"
#include "proxy/hop-fields.h"
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasstrack::test {

namespace {

constexpr unsigned kMaxConnections = 1024;
constexpr duration kRequestTimeout = std::chrono::seconds(5);
constexpr const char* kHostName = "h.example";

header_names
TestHeaderNames()
{
  return { "X-Request-Id", "X-Timeout-Ms",   "X-Target",
           "X-Caller",     "X-Stamp",        "X-Not-Executed",
           "Server-Limit", "Server-Leaving", "X-Organisation" };
}

} // namespace

void
memory_store::SetTable(accepted_table aTable)
{
  table = std::move(aTable);
  for (store_access* access : accesses) {
    access->NotifyTable();
  }
}

void
memory_store::SetOrder(const canary_order& aOrder)
{
  for (store_access* access : accesses) {
    access->NotifyOrder(aOrder);
  }
}

void
memory_store::SetEvacuated(const std::set<std::string>& aDomains)
{
  evacuations.domains = aDomains;
  evacuations.revision = { 1, evacuations.revision.number + 1 };
  for (store_access* access : accesses) {
    access->NotifyEvacuations();
  }
}

store_access::store_access(loop& aLoop, memory_store& aStore)
  : mLoop(aLoop)
  , mStore(aStore)
{
  mStore.accesses.push_back(this);
}

void
store_access::NotifyTable()
{
  if (mObserver != nullptr && mStore.table && IsReachable()) {
    mObserver->OnTable(*mStore.table);
  }
}

void
store_access::NotifyOrder(const canary_order& aOrder)
{
  if (mObserver != nullptr && IsReachable()) {
    mObserver->OnOrder(aOrder);
  }
}

void
store_access::NotifyEvacuations()
{
  if (mObserver != nullptr && IsReachable()) {
    mObserver->OnEvacuations(mStore.evacuations);
  }
}

void
store_access::SetObserver(control_store_observer& aObserver)
{
  mObserver = &aObserver;
  mKnownHosts.clear(); // a node that starts knows nothing
  mLoop.RunAfter(duration(1), [this] { NotifyTable(); });
}

void
store_access::ReadConfig(done_callback aDone)
{
  mLoop.RunAfter(duration(1), [this, done = std::move(aDone)] {
    if (!IsReachable()) {
      done(Fail(error_kind::store_unavailable, "store unavailable"));
      return;
    }
    NotifyTable();
    if (mObserver != nullptr) {
      mObserver->OnConfigConfirmed(mLoop.Now());
    }
    done({});
  });
}

result<accepted_table>
store_access::ParseTable(std::string aText)
{
  if (!mStore.table || mStore.table->text != aText) {
    return Fail(error_kind::invalid_argument,
                "table text differs from the stored table");
  }
  return *mStore.table;
}

void
store_access::PublishHost(const host_record& aRecord, done_callback aDone)
{
  result<void> done;
  if (!IsReachable()) {
    done = Fail(error_kind::store_unavailable, "store is unavailable");
  } else if (mStore.hosts.count(aRecord.name) > 0 &&
             mKnownHosts.count(aRecord.name) == 0) {
    done = Fail(error_kind::conflict, "the entry has not been read");
  } else {
    mKnownHosts.insert(aRecord.name);
    mStore.hosts[aRecord.name] = aRecord;
  }
  mLoop.RunAfter(duration(1), [done, aDone] { aDone(done); });
}

void
store_access::ReadHost(const std::string& aName, host_callback aDone)
{
  result<host_record> entry =
    Fail(error_kind::not_found, "no entry of " + aName);
  auto found = mStore.hosts.find(aName);
  if (mStore.unavailable) {
    entry = Fail(error_kind::store_unavailable, "store is unavailable");
  } else if (found != mStore.hosts.end()) {
    entry = found->second;
    mKnownHosts.insert(aName);
  }
  mLoop.RunAfter(duration(1), [entry, aDone] { aDone(entry); });
}

void
store_access::ListHosts(hosts_callback aDone)
{
  mLoop.RunAfter(duration(1), [this, aDone] {
    if (mStore.unavailable) {
      aDone(Fail(error_kind::store_unavailable, "store is unavailable"));
      return;
    }
    std::vector<host_record> hosts;
    for (const auto& [name, host] : mStore.hosts) {
      mKnownHosts.insert(name);
      hosts.push_back(host);
    }
    aDone(std::move(hosts));
  });
}

void
store_access::RemoveHost(const std::string& aName, std::int64_t aIncarnation)
{
  auto found = mStore.hosts.find(aName);
  if (IsReachable() && found != mStore.hosts.end() &&
      found->second.incarnation == aIncarnation) {
    mStore.hosts.erase(found);
  }
}

void
store_access::RecordProgress(const canary_order&, done_callback aDone)
{
  mLoop.RunAfter(duration(1), [aDone] { aDone({}); });
}

mesh_world::mesh_world()
  : mLoop(kMaxConnections)
  , mSockets(mLoop)
  , mCaller(mSockets)
  , mNames(TestHeaderNames())
{
}

mesh_world::~mesh_world() = default;

std::size_t
mesh_world::AddHost(const std::string& aService, const std::string& aVersion)
{
  auto host = std::make_unique<world_host>(mLoop, mStore);
  std::size_t index = mHosts.size();
  host->settings.name = "node-" + std::to_string(index);
  host->settings.domain = index % 2 == 0 ? "a" : "b";
  host->settings.service = aService;
  host->settings.bounds.evacuation_time = std::chrono::seconds(5);
  host->settings.first_start = mFirstStart;
  host->instance.id = "i-" + std::to_string(index);
  host->instance.service = aService;
  host->instance.version = aVersion;
  host->instance.address = FreeAddress();
  host->instance.slots = 4;
  host->instance.started_unix_ms = 1000;
  ServeInstance(*host);
  StartNode(*host);
  mHosts.push_back(std::move(host));
  if (mFirstStart) {
    Announce(index, instance_state::ready);
  }
  return index;
}

std::size_t
mesh_world::AddRestartedHost(host_record aEntry)
{
  EndFirstStart();
  std::size_t index = AddHost(aEntry.instance.service, aEntry.instance.version);
  const world_host& host = *mHosts[index];
  aEntry.hop = host.settings.hop_listen;
  aEntry.control = host.settings.control_listen;
  aEntry.instance.address = host.instance.address;
  mStore.hosts[host.settings.name] = std::move(aEntry);
  return index;
}

void
mesh_world::RestartInstance(std::size_t aHost)
{
  world_host& host = *mHosts[aHost];
  host.behaviour = {};
  ++host.instance.started_unix_ms;
  host.sequence = 0;
  Announce(aHost, instance_state::ready);
}

void
mesh_world::ReplaceInstance(std::size_t aHost, const endpoint& aAddress)
{
  mHosts[aHost]->instance.address = aAddress;
  RestartInstance(aHost);
}

void
mesh_world::SetShutdownGrace(std::size_t aHost, duration aGrace)
{
  world_host& host = *mHosts[aHost];
  host.settings.bounds.shutdown_grace = aGrace;
  host.node->Reload(host.settings);
}

void
mesh_world::StartNode(world_host& aHost)
{
  aHost.settings.caller_listen = FreeAddress();
  aHost.settings.hop_listen = FreeAddress();
  aHost.settings.control_listen = FreeAddress();
  aHost.settings.ready_listen = FreeAddress();
  aHost.node = std::make_unique<mesh_node>(mLoop,
                                           mSockets,
                                           mCaller,
                                           aHost.store,
                                           aHost.counters,
                                           mNames,
                                           aHost.settings);
  REQUIRE(aHost.node->Start());
}

void
mesh_world::RestartNode(std::size_t aHost)
{
  world_host& host = *mHosts[aHost];
  host.node->Drain();
  mReplacedNodes.push_back(std::move(host.node));
  RunFor(std::chrono::milliseconds(2)); // the new incarnation starts later
  host.settings.first_start = false;
  StartNode(host);
}

void
mesh_world::Announce(std::size_t aHost, instance_state aState)
{
  world_host& host = *mHosts[aHost];
  host.instance.state = aState;
  host.node->HandleAnnouncement({ host.instance, ++host.sequence });
}

void
mesh_world::ServeInstance(world_host& aHost)
{
  aHost.instance_sockets = std::make_unique<tcp_transport>(mLoop);
  REQUIRE(ServeAt(*aHost.instance_sockets,
                  aHost.instance.address,
                  [this, &aHost](const buffered_request& aRequest,
                                 const respond_callback& aRespond) {
                    HandleInstanceRequest(aHost, aRequest, aRespond);
                  }));
}

void
mesh_world::HandleInstanceRequest(world_host& aHost,
                                  const buffered_request& aRequest,
                                  const respond_callback& aRespond)
{
  const instance_behaviour behaviour = aHost.behaviour;
  buffered_response response;
  response.status = behaviour.status;
  if (const std::string* id = FindField(aRequest.fields, mNames.request_id)) {
    response.fields.push_back({ mNames.request_id, *id });
  }
  if (!behaviour.request_limit.empty()) {
    response.fields.push_back(
      { mNames.request_limit, behaviour.request_limit });
  }
  if (behaviour.leaving) {
    response.fields.push_back({ mNames.leaving, "1" });
  }
  if (behaviour.refuses) {
    response.status = 503;
    response.fields.push_back({ mNames.not_executed, "1" });
    aRespond(response);
    return;
  }
  ++aHost.run_count;
  aHost.last_fields = aRequest.fields;
  aHost.last_timeout = std::chrono::milliseconds(
    NumberField(aRequest.fields, mNames.timeout_ms).value_or(0));
  if (!behaviour.crash_target.empty() &&
      aRequest.target == behaviour.crash_target) {
    ++aHost.crash_count;
    mLoop.RunAfter(behaviour.delay, [this, &aHost] { CrashInstance(aHost); });
    return;
  }
  response.fields.push_back({ mNames.server_stamp, aHost.instance.id });
  if (behaviour.sends_invalid_answer) {
    // A field name that is not valid HTTP.
    response.fields.push_back({ "Broken\r\n\x01", "x" });
  }
  response.body = aRequest.method + " " + aRequest.target + " " + aRequest.body;
  mLoop.RunAfter(behaviour.delay, [aRespond, response] { aRespond(response); });
}

void
mesh_world::CrashInstance(world_host& aHost)
{
  if (!aHost.instance_sockets) {
    return; // another request has crashed it
  }
  aHost.instance_sockets.reset();
  mLoop.RunAfter(aHost.behaviour.restart_time, [this, &aHost] {
    ServeInstance(aHost);
    ++aHost.instance.started_unix_ms;
    aHost.sequence = 0;
    aHost.node->HandleAnnouncement({ aHost.instance, ++aHost.sequence });
  });
}

result<buffered_response>
mesh_world::SendRequest(std::size_t aHost,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aBody,
                        const header_fields& aFields)
{
  pending_answer answer = StartRequest(aHost, aMethod, aTarget, aBody, aFields);
  WaitFor(answer);
  return **answer;
}

pending_answer
mesh_world::StartRequest(std::size_t aHost,
                         const std::string& aMethod,
                         const std::string& aTarget,
                         const std::string& aBody,
                         const header_fields& aFields)
{
  static int sNextId = 0;
  buffered_request request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.fields = { { "X-Route-Host", kHostName },
                     { mNames.request_id, "q-" + std::to_string(++sNextId) },
                     { mNames.timeout_ms, "2000" } };
  request.fields.insert(request.fields.end(), aFields.begin(), aFields.end());
  return Call(mHosts[aHost]->settings.caller_listen, std::move(request));
}

pending_answer
mesh_world::SendAsNode(std::size_t aHost,
                       const std::string& aMethod,
                       const std::string& aTarget)
{
  const world_host& host = *mHosts[aHost];
  forwarded_request call;
  call.instance = host.instance.id;
  call.route = "route";
  call.idempotent = true;
  call.soft_deadline = mLoop.Now() + kRequestTimeout;
  call.deadline = call.soft_deadline;
  buffered_request request;
  request.method = aMethod;
  request.target = aTarget;
  request.fields = { { mNames.request_id, "n-1" },
                     { std::string(kCallField),
                       EncodeCall(call, mLoop.Now()) } };
  return Call(host.settings.hop_listen, std::move(request));
}

pending_answer
mesh_world::Call(const endpoint& aAddress, buffered_request aRequest)
{
  auto answer = std::make_shared<std::optional<result<buffered_response>>>();
  mCaller.Call(aAddress,
               std::move(aRequest),
               kRequestTimeout,
               [this, answer](result<buffered_response> aAnswer) {
                 *answer = std::move(aAnswer);
                 mLoop.Stop();
               });
  return answer;
}

int
mesh_world::PostToNode(std::size_t aHost,
                       const std::string& aPath,
                       const std::string& aBody)
{
  buffered_request request;
  request.method = "POST";
  request.target = aPath;
  request.body = aBody;
  return StatusOf(
    Call(mHosts[aHost]->settings.control_listen, std::move(request)));
}

void
mesh_world::WaitFor(const pending_answer& aAnswer)
{
  while (!*aAnswer) {
    mLoop.Run();
  }
}

int
mesh_world::StatusOf(const pending_answer& aAnswer)
{
  WaitFor(aAnswer);
  const result<buffered_response>& answer = **aAnswer;
  return answer ? answer->status : 0;
}

void
mesh_world::RunFor(duration aTime)
{
  bool over = false;
  mLoop.RunAfter(aTime, [this, &over] {
    over = true;
    mLoop.Stop();
  });
  while (!over) {
    mLoop.Run();
  }
}

std::size_t
mesh_world::KnownInstances(std::size_t aHost) const
{
  nlohmann::json dump = nlohmann::json::parse(mHosts[aHost]->node->Dump());
  std::size_t known = 0;
  for (const nlohmann::json& host : dump.at("hosts")) {
    known += host.contains("instance") ? 1 : 0;
  }
  return known;
}

std::string
mesh_world::KnownState(std::size_t aHost, std::size_t aOf) const
{
  nlohmann::json dump = nlohmann::json::parse(mHosts[aHost]->node->Dump());
  for (const nlohmann::json& host : dump.at("hosts")) {
    if (host.at("name") == mHosts[aOf]->settings.name &&
        host.contains("instance")) {
      return host.at("instance").at("state").get<std::string>();
    }
  }
  return "";
}

void
mesh_world::RunUntilInstancesKnown()
{
  constexpr duration kStep = std::chrono::milliseconds(20);
  constexpr int kMaxSteps = 500;
  for (int step = 0; step < kMaxSteps; ++step) {
    std::size_t complete = 0;
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      complete += KnownInstances(host) == mHosts.size() ? 1 : 0;
    }
    if (complete == mHosts.size()) {
      return;
    }
    RunFor(kStep);
  }
  FAIL("nodes do not know the instances of all hosts after 10 s");
}

traffic_configuration
mesh_world::ConfigurationFor(std::uint64_t aVersion,
                             const std::string& aPrefix,
                             const std::string& aService)
{
  traffic_route route;
  route.name = "route";
  // The caller sends the address that it calls as the host name.
  route.host = "127.0.0.1";
  route.prefix = aPrefix;
  route.idempotent = true;
  route.max_attempts = 2;
  route.latency_target = std::chrono::milliseconds(500);
  route.timeout = std::chrono::seconds(2);
  route.targets = { { aService, 1 } };
  traffic_configuration configuration;
  configuration.version = aVersion;
  configuration.routes = { route };
  configuration.services = { { aService, {} } };
  return configuration;
}

void
mesh_world::SetRoute(std::uint64_t aVersion,
                     const std::string& aPrefix,
                     const std::string& aService,
                     bool aIdempotent)
{
  traffic_configuration configuration =
    ConfigurationFor(aVersion, aPrefix, aService);
  configuration.routes.front().idempotent = aIdempotent;
  SetConfiguration(std::move(configuration));
}

void
mesh_world::SetConfiguration(traffic_configuration aConfiguration)
{
  std::uint64_t version = aConfiguration.version;
  result<std::shared_ptr<const traffic_table>> table =
    traffic_table::Build(std::move(aConfiguration));
  REQUIRE(table);
  mStore.SetTable({ *table, "table " + std::to_string(version) });
}

} // namespace eelgrasstrack::test
