#ifndef EELGRASSTRACK_PROXY_HOP_SERVER_H_
#define EELGRASSTRACK_PROXY_HOP_SERVER_H_

#include "proxy/instance-dispatcher.h"
#include "proxy/server-session.h"

namespace eelgrasstrack {

/// Serves requests that other nodes send to the instance on this host.
class hop_server final : public request_server
{
public:
  hop_server(tcp_transport& aTransport,
             const header_names& aNames,
             instance_dispatcher& aDispatcher,
             link_pacer& aPacer);

  result<void> Listen(const endpoint& aAddress);

  /// While true, connections are closed after the current answer.
  void SetClosing(bool aClosing) { mClosing = aClosing; }
  void Sweep(time_point aNow) { mSessions.Sweep(aNow); }
  /// Sets the account of request bodies and the limits on connections.
  /// `aBudget` outlives the server.
  void SetClientLimits(const body_budget& aBudget,
                       const session_limits& aLimits)
  {
    mSessions.SetBudget(aBudget);
    mSessions.SetLimits(aLimits);
  }
  const session_counts& SessionCounts() const { return mSessions.Counts(); }

  traffic_limits Limits() const override;
  std::shared_ptr<request_handler> Begin(
    received_request aRequest,
    const std::shared_ptr<server_exchange>& aExchange) override;
  bool IsClosing() const override { return mClosing; }
  /// Tells the first hop that the request has not run, so that it may be sent
  /// elsewhere.
  header_fields RefusalFields(int aStatus) const override;

private:
  tcp_transport& mTransport;
  const header_names& mNames;
  instance_dispatcher& mDispatcher;
  link_pacer& mPacer;
  session_list mSessions;
  bool mClosing = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_HOP_SERVER_H_
