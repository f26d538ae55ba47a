#ifndef EELGRASSTRACK_HARNESS_LOCAL_FLEET_H_
#define EELGRASSTRACK_HARNESS_LOCAL_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "harness/process.h"
#include "http/client.h"

namespace eelgrasstrack::harness {

/// Listen addresses and location of a node.
struct node_endpoints
{
  endpoint callers;
  endpoint operators;
  endpoint peers;
  std::string domain;
  std::string region;
};

/// Size and settings of a local fleet.
struct fleet_shape
{
  std::size_t nodes = 4;
  std::size_t domains = 4;
  /// Additional command-line flags for each node.
  std::vector<std::string> node_flags;
  /// Rate limits of the store.
  double store_reads_per_second = 2000;
  double store_writes_per_second = 300;
  /// Passes the peer endpoints of all nodes to each node as seeds.
  bool has_seeds = false;
  /// If set, nodes connect to the store through this endpoint.
  std::optional<endpoint> store_proxy;
};

/// An upstream to start next to a node.
struct upstream_spec
{
  std::string service;
  std::string version;
  unsigned slots = 0;
  std::vector<std::string> flags;
};

/// Runs a store, nodes and upstreams as processes on this machine, and an event
/// loop in the test process to call them.
class local_fleet
{
public:
  /// `aPrograms` is the directory that contains the built programs.
  local_fleet(std::string aPrograms, fleet_shape aShape);
  ~local_fleet();

  void StartStore();
  void StartNode(std::size_t aNode);
  void StartNodes();
  /// Starts an upstream next to node `aNode` and returns its index.
  std::size_t StartUpstream(std::size_t aNode, const upstream_spec& aSpec);

  process& Node(std::size_t aNode) { return *mNodes.at(aNode); }
  process& Upstream(std::size_t aUpstream) { return *mUpstreams.at(aUpstream); }
  const endpoint& UpstreamEndpoint(std::size_t aUpstream) const
  {
    return mUpstreamEndpoints.at(aUpstream);
  }
  const node_endpoints& NodeEndpoints(std::size_t aNode) const
  {
    return mNodeEndpoints.at(aNode);
  }
  const endpoint& StoreEndpoint() const { return mStoreEndpoint; }
  std::size_t Size() const { return mNodeEndpoints.size(); }
  loop& Loop() { return *mLoop; }
  /// Directory of the processes' logs, removed at the end unless
  /// `EELGRASSTRACK_KEEP_LOGS` is set.
  const std::string& Folder() const { return mFolder; }

  /// Runs the event loop of the test for `aTime`.
  void RunFor(duration aTime);

  /// Sends a request and waits for the answer.
  http_result Call(const endpoint& aTarget,
                   http_request aRequest,
                   duration aTimeout = std::chrono::seconds(10));

  /// Calls an operator RPC; returns the answer also if its status is an error.
  http_result Rpc(std::size_t aNode,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const nlohmann::json* aBody = nullptr);

  /// Calls an operator RPC and parses the answer as JSON; null without an
  /// answer.
  nlohmann::json RpcJson(std::size_t aNode,
                         const std::string& aMethod,
                         const std::string& aPath,
                         const nlohmann::json* aBody = nullptr);

  /// Injects faults into the store or an upstream.
  void SetFaults(const endpoint& aTarget, const nlohmann::json& aFaults);
  /// Call counts of the store; null if it does not answer.
  nlohmann::json StoreCallCounts();

  /// Configuration version in force at a node; -1 if the node does not answer.
  std::int64_t VersionAt(std::size_t aNode);

  /// Waits until a condition holds; returns false after `aTimeout`.
  bool WaitUntil(duration aTimeout, const std::function<bool()>& aCondition);

  /// Waits until the health check of every started node succeeds.
  bool WaitUntilServing(duration aTimeout);
  /// Waits until every started node has `aVersion` or a later one in force.
  bool WaitUntilVersion(std::int64_t aVersion, duration aTimeout);

  /// Exit status and output of the command-line tool.
  struct command_result
  {
    int status = -1;
    std::string output;
  };
  /// Runs the command-line tool against a node.
  command_result RunCtl(std::size_t aNode, std::vector<std::string> aArguments);

  /// Reserves an endpoint with a free port for this test process.
  endpoint AllocateEndpoint();

private:
  std::string mPrograms;
  fleet_shape mShape;
  std::string mFolder;
  unsigned mNextPort;
  endpoint mStoreEndpoint;
  std::vector<node_endpoints> mNodeEndpoints;
  std::unique_ptr<process> mStore;
  std::map<std::size_t, std::unique_ptr<process>> mNodes;
  std::map<std::size_t, std::unique_ptr<process>> mUpstreams;
  std::vector<endpoint> mUpstreamEndpoints;
  std::unique_ptr<loop> mLoop;
  std::unique_ptr<tcp_transport> mSockets;
  std::map<std::string, std::unique_ptr<http_client>> mClients;
  unsigned mCommandCount = 0;
};

/// Peer and operator secret of all processes of a local fleet.
inline constexpr const char* kFleetSecret = "local-fleet-secret";

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_LOCAL_FLEET_H_
