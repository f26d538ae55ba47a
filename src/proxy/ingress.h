#ifndef EELGRASSTRACK_PROXY_INGRESS_H_
#define EELGRASSTRACK_PROXY_INGRESS_H_

#include "config/config-knowledge.h"
#include "mesh/evacuation-table.h"
#include "mesh/host-directory.h"
#include "proxy/caller-wait-estimator.h"
#include "proxy/crash-table.h"
#include "proxy/hop-client.h"
#include "proxy/instance-chooser.h"
#include "proxy/instance-dispatcher.h"
#include "proxy/proxy-counters.h"
#include "proxy/request-limit-table.h"
#include "proxy/server-session.h"
#include "proxy/shared-retry-budget.h"
#include "proxy/version-selector.h"
#include "quota/request-quota.h"

namespace eelgrasstrack {

/// Objects that the ingress uses. All of them outlive it.
struct ingress_dependencies
{
  tcp_transport& transport;
  const header_names& names;
  instance_dispatcher& local;
  hop_client& hops;
  host_directory& directory;
  instance_chooser& chooser;
  shared_retry_budget& retries;
  version_selector& versions;
  proxy_counters& counters;
  crash_table& crashes;
  const evacuation_table& evacuations;
  request_quota& quota;
  const config_knowledge& config;
};

/// The first hop: accepts requests of callers on this host, matches each to a
/// route, chooses an instance and returns the answer.
class ingress final : public request_server
{
public:
  explicit ingress(ingress_dependencies aDependencies);

  result<void> Listen(const endpoint& aAddress);

  /// Sets the service of the upstream on this host. Instances receive it as the
  /// caller service.
  void SetCallerService(std::string aService);

  /// Replaces the configuration. The version must increase; a table whose
  /// version is not higher than the current one is ignored.
  void SetTable(traffic_table_ptr aTable);
  const traffic_table_ptr& Table() const { return mTable; }

  /// While true, each connection is closed after its next answer.
  void SetClosing(bool aClosing);

  /// While true, new requests are refused as not run because the process exits
  /// before they could complete.
  void SetRefusing(bool aRefusing) { mRefusing = aRefusing; }

  /// Sets the time by which all requests must have ended because the process
  /// exits.
  void SetServingUntil(time_point aTime) { mServingUntil = aTime; }

  /// Sets the accounts of request bodies and of answers that callers have not
  /// taken, and the limits on connections. The accounts outlive the ingress.
  void SetClientLimits(const body_budget& aBodies,
                       const body_budget& aAnswers,
                       const session_limits& aLimits);
  const session_counts& SessionCounts() const { return mSessions.Counts(); }

  /// Closes connections that exceeded the idle or the head timeout, and forgets
  /// limits of instances that were not confirmed for long.
  void Sweep(time_point aNow);
  /// Number of connections that have a request in progress.
  std::size_t BusySessionCount() const { return mSessions.BusyCount(); }

  traffic_limits Limits() const override;
  std::shared_ptr<request_handler> Begin(
    received_request aRequest,
    const std::shared_ptr<server_exchange>& aExchange) override;
  bool IsClosing() const override { return mClosing; }
  header_fields RefusalFields(int aStatus) const override;

  // Used by the requests in progress.

  ingress_dependencies& Dependencies() { return mDependencies; }
  const std::string& CallerService() const { return mCallerService; }
  caller_wait_estimator& WaitEstimator() { return mWaitEstimator; }
  answer_size_estimator& AnswerSizes() { return mAnswerSizes; }
  request_limit_table& RequestLimits() { return mRequestLimits; }
  bool IsRefusing() const { return mRefusing; }
  time_point ServingUntil() const { return mServingUntil; }

  /// Selects the service for the next request of a route, by weight.
  const std::string& SelectTarget(const traffic_route& aRoute);
  /// Returns the instances of a service that a request may be sent to.
  std::vector<instance_candidate> Candidates(
    const std::string& aService,
    const canary_decision& aCanary) const;

private:
  ingress_dependencies mDependencies;
  std::string mCallerService;
  traffic_table_ptr mTable;
  session_list mSessions;
  caller_wait_estimator mWaitEstimator;
  answer_size_estimator mAnswerSizes;
  request_limit_table mRequestLimits;
  /// Current weights of the smooth weighted round robin, by route name and
  /// service.
  std::map<std::string, std::map<std::string, double>> mCurrentWeights;
  bool mClosing = false;
  bool mRefusing = false;
  time_point mServingUntil = time_point::max();
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_INGRESS_H_
