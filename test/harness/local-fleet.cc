#include "harness/local-fleet.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasstrack::harness {

namespace {

// Each test process uses one of kPortBlocks port ranges, selected by process
// id, so that concurrent test processes rarely use the same ports.
constexpr unsigned kFirstPort = 10000;
constexpr unsigned kPortsPerProcess = 1500;
constexpr unsigned kPortBlocks = 14;
constexpr unsigned kMaxLoopConnections = 4096;
constexpr duration kPollInterval = std::chrono::milliseconds(20);

bool
IsPortFree(const endpoint& aEndpoint)
{
  int handle = socket(AF_INET, SOCK_STREAM, 0);
  int enabled = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  int bindResult =
    bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(handle);
  return bindResult == 0;
}

} // namespace

local_fleet::local_fleet(std::string aPrograms, fleet_shape aShape)
  : mPrograms(std::move(aPrograms))
  , mShape(std::move(aShape))
  , mNextPort(kFirstPort +
              static_cast<unsigned>(getpid()) % kPortBlocks * kPortsPerProcess)
  , mLoop(std::make_unique<loop>(kMaxLoopConnections))
  , mSockets(std::make_unique<tcp_transport>(*mLoop))
{
  setenv("EELGRASSTRACK_PEER_SECRET", kFleetSecret, 1);
  setenv("EELGRASSTRACK_OPERATOR_SECRET", kFleetSecret, 1);
  std::string pattern =
    (std::filesystem::temp_directory_path() / "eelgrasstrack-XXXXXX").string();
  mFolder = mkdtemp(pattern.data());
  mStoreEndpoint = AllocateEndpoint();
  for (std::size_t i = 0; i < mShape.nodes; ++i) {
    node_endpoints endpoints;
    endpoints.callers = AllocateEndpoint();
    endpoints.operators = AllocateEndpoint();
    endpoints.peers = AllocateEndpoint();
    endpoints.domain = "domain-" + std::to_string(i % mShape.domains);
    endpoints.region = "main";
    mNodeEndpoints.push_back(endpoints);
  }
}

local_fleet::~local_fleet()
{
  mClients.clear();
  mNodes.clear();
  mUpstreams.clear();
  mStore.reset();
  if (std::getenv("EELGRASSTRACK_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
}

endpoint
local_fleet::AllocateEndpoint()
{
  endpoint candidate{ "127.0.0.1", static_cast<std::uint16_t>(mNextPort++) };
  while (!IsPortFree(candidate)) {
    candidate.port = static_cast<std::uint16_t>(mNextPort++);
  }
  return candidate;
}

void
local_fleet::StartStore()
{
  mStore = std::make_unique<process>(
    mPrograms + "/object-store-stand-in",
    std::vector<std::string>{
      "--listen=" + ToString(mStoreEndpoint),
      "--reads=" + std::to_string(mShape.store_reads_per_second),
      "--writes=" + std::to_string(mShape.store_writes_per_second) },
    mFolder + "/store.log");
}

void
local_fleet::StartNode(std::size_t aNode)
{
  const node_endpoints& own = mNodeEndpoints.at(aNode);
  std::vector<std::string> flags{
    "--store=" + ToString(mShape.store_proxy.value_or(mStoreEndpoint)),
    "--domain=" + own.domain,
    "--region=" + own.region,
    "--caller-listen=" + ToString(own.callers),
    "--operator-listen=" + ToString(own.operators),
    "--peer-listen=" + ToString(own.peers),
    "--random-seed=" + std::to_string(aNode + 1),
  };
  std::string seeds;
  for (const node_endpoints& other : mNodeEndpoints) {
    seeds += (seeds.empty() ? "" : ",") + ToString(other.peers);
  }
  if (mShape.has_seeds) {
    flags.push_back("--seeds=" + seeds);
  }
  flags.insert(flags.end(), mShape.node_flags.begin(), mShape.node_flags.end());
  mNodes[aNode] = std::make_unique<process>(mPrograms + "/eelgrasstrackd",
                                            flags,
                                            mFolder + "/node-" +
                                              std::to_string(aNode) + ".log");
}

void
local_fleet::StartNodes()
{
  for (std::size_t i = 0; i < mNodeEndpoints.size(); ++i) {
    StartNode(i);
  }
}

std::size_t
local_fleet::StartUpstream(std::size_t aNode, const upstream_spec& aSpec)
{
  std::size_t index = mUpstreamEndpoints.size();
  mUpstreamEndpoints.push_back(AllocateEndpoint());
  std::vector<std::string> flags{
    "--service=" + aSpec.service,
    "--version=" + aSpec.version,
    "--slots=" + std::to_string(aSpec.slots),
    "--listen=" + ToString(mUpstreamEndpoints.back()),
    "--node=" + ToString(mNodeEndpoints.at(aNode).operators),
    "--log=" + mFolder + "/executions.log",
  };
  flags.insert(flags.end(), aSpec.flags.begin(), aSpec.flags.end());
  mUpstreams[index] = std::make_unique<process>(
    mPrograms + "/upstream-stand-in", flags, mFolder + "/upstreams.log");
  return index;
}

void
local_fleet::RunFor(duration aTime)
{
  mLoop->RunAfter(aTime, [this] { mLoop->Stop(); });
  mLoop->Run();
}

http_result
local_fleet::Call(const endpoint& aTarget,
                  http_request aRequest,
                  duration aTimeout)
{
  std::unique_ptr<http_client>& client = mClients[ToString(aTarget)];
  if (client == nullptr) {
    client =
      std::make_unique<http_client>(*mSockets, aTarget, http_client_options{});
  }
  http_result outcome =
    Fail(error_kind::internal,
         "local fleet: the loop stopped before the call was answered");
  client->Start(std::move(aRequest), aTimeout, [&](http_result aResult) {
    outcome = std::move(aResult);
    mLoop->Stop();
  });
  mLoop->Run();
  return outcome;
}

http_result
local_fleet::Rpc(std::size_t aNode,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const nlohmann::json* aBody)
{
  http_request request;
  request.method = aMethod;
  request.path = aPath;
  request.headers.push_back(
    { "authorization", std::string("Bearer ") + kFleetSecret });
  if (aBody != nullptr) {
    request.body = aBody->dump();
    request.headers.push_back({ "content-type", "application/json" });
  }
  return Call(mNodeEndpoints.at(aNode).operators, std::move(request));
}

nlohmann::json
local_fleet::RpcJson(std::size_t aNode,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const nlohmann::json* aBody)
{
  http_result answer = Rpc(aNode, aMethod, aPath, aBody);
  if (!answer) {
    return nullptr;
  }
  return nlohmann::json::parse(answer->body, nullptr, false);
}

void
local_fleet::SetFaults(const endpoint& aTarget, const nlohmann::json& aFaults)
{
  http_request request;
  request.method = "POST";
  request.path = "/control";
  request.body = aFaults.dump();
  Call(aTarget, std::move(request));
}

nlohmann::json
local_fleet::StoreCallCounts()
{
  http_request request;
  request.method = "GET";
  request.path = "/counts";
  http_result answer = Call(mStoreEndpoint, std::move(request));
  return answer ? nlohmann::json::parse(answer->body) : nlohmann::json();
}

std::int64_t
local_fleet::VersionAt(std::size_t aNode)
{
  nlohmann::json config = RpcJson(aNode, "GET", "/v1/config");
  return config.is_object() ? config.value("version", std::int64_t{ -1 }) : -1;
}

bool
local_fleet::WaitUntil(duration aTimeout,
                       const std::function<bool()>& aCondition)
{
  time_point deadline = mLoop->Now() + aTimeout;
  while (!aCondition()) {
    if (mLoop->Now() > deadline) {
      return false;
    }
    RunFor(kPollInterval);
  }
  return true;
}

bool
local_fleet::WaitUntilServing(duration aTimeout)
{
  return WaitUntil(aTimeout, [this] {
    for (const auto& [index, node] : mNodes) {
      http_result health = Rpc(index, "GET", "/v1/health");
      if (!health || health->status != 200) {
        return false;
      }
    }
    return true;
  });
}

bool
local_fleet::WaitUntilVersion(std::int64_t aVersion, duration aTimeout)
{
  return WaitUntil(aTimeout, [&] {
    for (const auto& [index, node] : mNodes) {
      if (VersionAt(index) < aVersion) {
        return false;
      }
    }
    return true;
  });
}

local_fleet::command_result
local_fleet::RunCtl(std::size_t aNode, std::vector<std::string> aArguments)
{
  std::string output =
    mFolder + "/ctl-" + std::to_string(mCommandCount++) + ".log";
  aArguments.insert(aArguments.begin(),
                    "--node=" + ToString(mNodeEndpoints.at(aNode).operators));
  process command(mPrograms + "/eelgrasstrackctl", aArguments, output);
  command_result outcome;
  constexpr double kCommandTimeoutSeconds = 300;
  outcome.status = command.WaitForExit(kCommandTimeoutSeconds);
  std::ifstream file(output);
  std::stringstream text;
  text << file.rdbuf();
  outcome.output = text.str();
  return outcome;
}

} // namespace eelgrasstrack::harness
