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

/// Where a node of a local fleet listens.
struct node_endpoints
{
  endpoint callers;
  endpoint operators;
  endpoint peers;
  std::string domain;
  std::string region;
};

struct fleet_shape
{
  std::size_t nodes = 4;
  std::size_t domains = 4;
  /// More flags for each node.
  std::vector<std::string> node_flags;
  /// The store's limits, in calls per second.
  double store_reads_per_second = 2000;
  double store_writes_per_second = 300;
  /// Each node gets all others as seeds in its settings.
  bool has_seeds = false;
  /// Nodes reach the store through this endpoint, if set.
  std::optional<endpoint> store_proxy;
};

/// An upstream to start beside a node.
struct upstream_spec
{
  std::string service;
  std::string version;
  unsigned slots = 0;
  std::vector<std::string> flags;
};

/// Real processes on this machine: a store, nodes and upstreams, and a loop of
/// the test's own to talk to them.
class local_fleet
{
public:
  /// `aPrograms` is the folder of the built programs.
  local_fleet(std::string aPrograms, fleet_shape aShape);
  ~local_fleet();

  void StartStore();
  void StartNode(std::size_t aNode);
  void StartNodes();
  /// Returns the index of the upstream.
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
  const std::string& Folder() const { return mFolder; }

  /// Runs the test's loop for a time.
  void RunFor(duration aTime);

  /// Calls and waits for the answer.
  http_result Call(const endpoint& aTarget,
                   http_request aRequest,
                   duration aTimeout = std::chrono::seconds(10));

  /// Calls an operators' RPC; yields the answer whatever its status.
  http_result Rpc(std::size_t aNode,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const nlohmann::json* aBody = nullptr);

  /// The same, read as JSON; null if there was no answer.
  nlohmann::json RpcJson(std::size_t aNode,
                         const std::string& aMethod,
                         const std::string& aPath,
                         const nlohmann::json* aBody = nullptr);

  /// Sets faults of the store, or of an upstream.
  void SetFaults(const endpoint& aTarget, const nlohmann::json& aFaults);
  nlohmann::json StoreCallCounts();

  /// Version in force at a node; -1 if it does not answer.
  std::int64_t VersionAt(std::size_t aNode);

  /// Waits until a condition holds; returns whether it did in time.
  bool WaitUntil(duration aTimeout, const std::function<bool()>& aCondition);

  bool WaitUntilServing(duration aTimeout);
  bool WaitUntilVersion(std::int64_t aVersion, duration aTimeout);

  /// Runs the command line tool; returns its exit status and output.
  struct command_result
  {
    int status = -1;
    std::string output;
  };
  command_result RunCtl(std::size_t aNode, std::vector<std::string> aArguments);

  /// A port that nothing listens on, for this test only.
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
  std::map<std::string, std::unique_ptr<http_client>> mClients;
  unsigned mCommandCount = 0;
};

/// The secret of all processes of a local fleet.
inline constexpr const char* kFleetSecret = "local-fleet-secret";

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_LOCAL_FLEET_H_
