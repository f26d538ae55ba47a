#ifndef EELGRASSTRACK_PROXY_HOP_CLIENT_H_
#define EELGRASSTRACK_PROXY_HOP_CLIENT_H_

#include <functional>
#include <map>
#include <set>

#include "proxy/forwarded-request.h"
#include "wire/channel-pool.h"

namespace eelgrasstrack {

/// Sends requests to the nodes beside the chosen instances and keeps the
/// connections to them.
class hop_client
{
public:
  hop_client(socket_host& aHost, const header_names& aNames);

  /// Called with the name of a host that may be lost: a connection failed, or
  /// an answer is overdue and nothing was heard from it for a while.
  void OnHostSuspected(std::function<void(const std::string&)> aHandler);

  /// Called with the name of a host that is not as this node believes: it does
  /// not run the instance that was asked for, or is leaving.
  void OnHostRecordStale(std::function<void(const std::string&)> aHandler);

  run_start Run(const std::string& aHostName,
                const endpoint& aAddress,
                forwarded_request aRequest,
                std::shared_ptr<answer_sink> aSink);

  /// The host does not answer probes: ends the requests that may be sent
  /// elsewhere. Others go on waiting, as their answer may still come.
  void HandleHostLost(const std::string& aHostName);

  /// Looks for overdue answers and closes idle connections.
  void Sweep(time_point aNow);

private:
  friend class hop_run;

  /// Idle connections kept to one host.
  static constexpr std::size_t kMaxIdle = 32;

  struct host_state
  {
    channel_pool idle{ kMaxIdle };
    std::set<class hop_run*> runs;
    time_point last_received{};
    /// The host's address, as the idle connections go to it.
    endpoint address;
  };

  std::shared_ptr<client_channel> AcquireChannel(host_state& aState);
  void ReportSuspected(const std::string& aHostName);
  void ReportIfStale(const std::string& aHostName, const run_failure& aFailure);

  socket_host& mHost;
  const header_names& mNames;
  std::map<std::string, host_state> mHosts;
  std::function<void(const std::string&)> mOnHostSuspected;
  std::function<void(const std::string&)> mOnHostRecordStale;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_HOP_CLIENT_H_
