#ifndef EELGRASSTRACK_NET_LINK_PACER_H_
#define EELGRASSTRACK_NET_LINK_PACER_H_

#include <memory>
#include <unordered_map>

#include "net/bandwidth-scheduler.h"
#include "net/socket.h"

namespace eelgrasstrack {

/// Sends the bytes of many connections over the link of this host, small
/// messages before large ones. See `bandwidth_scheduler`.
class link_pacer
{
public:
  explicit link_pacer(loop& aLoop);

  /// Sets the bandwidth of the link in bits per second; 0 means unlimited.
  void SetLinkRate(double aBitsPerSecond);

  void Send(const std::shared_ptr<connection>& aConnection,
            std::string_view aBytes);
  /// Number of bytes of a connection that wait for the link.
  std::size_t Pending(const connection& aConnection) const;
  /// Gives all waiting bytes to the connection, because it closes after them.
  void SendAll(connection& aConnection);
  /// Drops the waiting bytes of a connection that was closed.
  void Drop(const connection& aConnection);

  const bandwidth_scheduler& Scheduler() const { return mScheduler; }

private:
  struct paced_stream
  {
    std::shared_ptr<connection> target;
    std::string bytes;
    std::size_t sent = 0;
  };

  static stream_id IdOf(const connection& aConnection);
  void SendDue();
  void ScheduleSend();

  loop& mLoop;
  bandwidth_scheduler mScheduler;
  std::unordered_map<stream_id, paced_stream> mStreams;
  bool mScheduled = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_NET_LINK_PACER_H_
