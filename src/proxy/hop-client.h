#ifndef EELGRASSTRACK_PROXY_HOP_CLIENT_H_
#define EELGRASSTRACK_PROXY_HOP_CLIENT_H_

#include <functional>
#include <map>
#include <set>

#include "proxy/forwarded-request.h"
#include "wire/channel-pool.h"

namespace eelgrasstrack {

/// Sends requests to the nodes on the hosts of the chosen instances and pools
/// the connections to these nodes.
class hop_client
{
public:
  hop_client(tcp_transport& aTransport, const header_names& aNames);

  /// Sets the function called with the name of a host that may be down: a
  /// connection to it failed, or an answer is overdue and nothing has been
  /// received from it for 400 ms.
  void OnHostSuspected(std::function<void(const std::string&)> aHandler);

  /// Sets the function called with the name of a host whose record at this node
  /// is out of date: the host does not run the requested instance, or it is
  /// leaving.
  void OnHostRecordStale(std::function<void(const std::string&)> aHandler);

  /// Sends a request to a host. Fails if no connection could be opened.
  run_start Run(const std::string& aHostName,
                const endpoint& aAddress,
                forwarded_request aRequest,
                std::shared_ptr<answer_sink> aSink);

  /// Handles a host that does not answer probes: fails the requests that may be
  /// sent elsewhere. The others keep waiting, since they may still be answered.
  void HandleUnreachableHost(const std::string& aHostName);

  /// Reports hosts with overdue answers, fails requests that could not be sent
  /// and closes idle connections that are old or may have fallen silent.
  void Sweep(time_point aNow);

private:
  friend class hop_run;

  /// Maximum number of idle connections to one host.
  static constexpr std::size_t kMaxIdle = 32;

  struct host_state
  {
    channel_pool idle{ kMaxIdle };
    /// Requests that have not ended.
    std::set<class hop_run*> runs;
    /// When a part of an answer was last received.
    time_point last_received{};
    /// Address that the idle connections go to.
    endpoint address;
  };

  std::shared_ptr<client_channel> AcquireChannel(host_state& aState);
  /// Closes the idle connections to a host that may be as silent as those of
  /// its overdue requests: they were last used before such a request began.
  static void CloseIfSilent(host_state& aState, time_point aNow);
  void ReportSuspected(const std::string& aHostName);
  /// Reports the host's record as stale if the failure shows that it is.
  void ReportIfStale(const std::string& aHostName, const run_failure& aFailure);

  tcp_transport& mTransport;
  const header_names& mNames;
  std::map<std::string, host_state> mHosts;
  std::function<void(const std::string&)> mOnHostSuspected;
  std::function<void(const std::string&)> mOnHostRecordStale;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_HOP_CLIENT_H_
