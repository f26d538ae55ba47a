#ifndef EELGRASSTRACK_PROXY_PROXY_COUNTERS_H_
#define EELGRASSTRACK_PROXY_PROXY_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "metrics/latency-histogram.h"

namespace eelgrasstrack {

/// Events of requests and of the node itself that are counted.
enum class proxy_event
{
  request_received,
  answered,
  answered_late,
  failed_by_instance,
  no_configuration,
  node_stopping,
  no_route,
  no_instance,
  refused_queue_full,
  refused_by_instance,
  answer_broken,
  timed_out,
  client_disconnected,
  retried,
  retry_denied,
  hop_refused,
  hop_failed,
  store_call,
  store_failed,
  peer_message,
  peer_failed,
  refused_quarantined,
  unknown_key,
  refused_quota,
  refused_memory,
  upload_stalled,
  config_read,
  count,
};

std::string_view
NameOf(proxy_event aEvent);

/// Event counters and the request latency histogram of one node.
class proxy_counters
{
public:
  void Add(proxy_event aEvent) { ++mCounts[static_cast<std::size_t>(aEvent)]; }
  std::uint64_t Count(proxy_event aEvent) const
  {
    return mCounts[static_cast<std::size_t>(aEvent)];
  }
  latency_histogram& Latency() { return mLatency; }

  /// Appends all metrics in the Prometheus text exposition format.
  void AppendMetrics(std::string& aText) const;

private:
  std::array<std::uint64_t, static_cast<std::size_t>(proxy_event::count)>
    mCounts{};
  latency_histogram mLatency;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_PROXY_COUNTERS_H_
