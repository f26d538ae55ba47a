#ifndef EELGRASSTRACK_PROXY_INGRESS_H_
#define EELGRASSTRACK_PROXY_INGRESS_H_

#include "mesh/host-directory.h"
#include "proxy/caller-wait-estimator.h"
#include "proxy/hop-client.h"
#include "proxy/instance-chooser.h"
#include "proxy/instance-dispatcher.h"
#include "proxy/proxy-counters.h"
#include "proxy/server-session.h"
#include "proxy/shared-retry-budget.h"
#include "proxy/version-selector.h"

namespace eelgrasstrack {

/// What the first hop works with. All of it outlives the ingress.
struct ingress_dependencies
{
  socket_host& host;
  const header_names& names;
  instance_dispatcher& local;
  hop_client& hops;
  host_directory& directory;
  instance_chooser& chooser;
  shared_retry_budget& retries;
  version_selector& versions;
  proxy_counters& counters;
};

/// The first hop: takes the requests of callers on this host, finds the route
/// and an instance for each, and answers.
class ingress final : public request_server
{
public:
  explicit ingress(ingress_dependencies aDependencies);

  result<void> Listen(const endpoint& aAddress);

  /// Service of the upstream on this host, as instances learn it.
  void SetCallerService(std::string aService);

  /// Takes a configuration. The version never falls.
  void SetTable(traffic_table_ptr aTable);
  const traffic_table_ptr& Table() const { return mTable; }

  /// Every connection ends after its next answer.
  void SetClosing(bool aClosing);

  /// New requests are refused as not run: the process ends before they could.
  void SetRefusing(bool aRefusing) { mRefusing = aRefusing; }

  void Sweep(time_point aNow) { mSessions.Sweep(aNow); }
  std::size_t BusySessionCount() const { return mSessions.BusyCount(); }

  traffic_limits Limits() const override;
  std::shared_ptr<request_handler> Begin(
    received_request aRequest,
    const std::shared_ptr<server_session>& aSession) override;
  bool IsClosing() const override { return mClosing; }

  // For the requests in progress.

  ingress_dependencies& Dependencies() { return mDependencies; }
  const std::string& CallerService() const { return mCallerService; }
  caller_wait_estimator& WaitEstimator() { return mWaitEstimator; }
  bool IsRefusing() const { return mRefusing; }

  /// The service that takes the next request of a route, by weight.
  const std::string& SelectTarget(const traffic_route& aRoute);
  /// Instances of a service that a request may go to.
  std::vector<instance_candidate> Candidates(
    const std::string& aService,
    const canary_decision& aCanary) const;

private:
  ingress_dependencies mDependencies;
  std::string mCallerService;
  traffic_table_ptr mTable;
  session_list mSessions;
  caller_wait_estimator mWaitEstimator;
  /// Weight that each target of a route has in hand, by route name.
  std::map<std::string, std::map<std::string, double>> mCurrentWeights;
  bool mClosing = false;
  bool mRefusing = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INGRESS_H_
