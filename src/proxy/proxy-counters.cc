#include "proxy/proxy-counters.h"

namespace eelgrasstrack {

namespace {

/// These names appear in metrics and logs and must not change.
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(proxy_event::count)>
  kNames{
    "request_received", "answered",
    "answered_late",    "failed_by_instance",
    "no_configuration", "node_stopping",
    "no_route",         "no_instance",
    "refused_full",     "refused_by_instance",
    "answer_broken",    "timed_out",
    "sender_left",      "sent_again",
    "retry_denied",     "hop_refused",
    "hop_failed",       "store_call",
    "store_failed",     "peer_message",
    "peer_failed",      "refused_quarantined",
    "unknown_key",      "refused_quota",
    "refused_memory",   "upload_stalled",
    "config_read",
  };

} // namespace

std::string_view
NameOf(proxy_event aEvent)
{
  return kNames[static_cast<std::size_t>(aEvent)];
}

void
proxy_counters::AppendMetrics(std::string& aText) const
{
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    aText += "eelgrasstrack_";
    aText += kNames[i];
    aText += "_total ";
    aText += std::to_string(mCounts[i]);
    aText += '\n';
  }
  mLatency.Expose(aText, "eelgrasstrack_request_seconds", "");
}

} // namespace eelgrasstrack
