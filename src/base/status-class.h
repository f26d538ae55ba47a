#ifndef EELGRASSTRACK_BASE_STATUS_CLASS_H_
#define EELGRASSTRACK_BASE_STATUS_CLASS_H_

#include <cstdint>

/// Classes of received statuses. A status that is neither interim nor final
/// makes the response invalid.
namespace eelgrasstrack::status {

/// Sent only to a client that requests a change of protocol, which none of this
/// program does.
constexpr int kSwitchingProtocols = 101;

/// Whether another response to the same request follows.
constexpr bool
IsInterim(std::int64_t aStatus)
{
  return aStatus >= 100 && aStatus < 200 && aStatus != kSwitchingProtocols;
}

/// Whether the status ends a request (RFC 9110, section 15).
constexpr bool
IsFinal(std::int64_t aStatus)
{
  return aStatus >= 200 && aStatus < 600;
}

} // namespace eelgrasstrack::status

#endif // EELGRASSTRACK_BASE_STATUS_CLASS_H_
