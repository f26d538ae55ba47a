#ifndef EELGRASSTRACK_TEST_HARNESS_SILENCE_H_
#define EELGRASSTRACK_TEST_HARNESS_SILENCE_H_

#include <cstdint>
#include <set>
#include <vector>

namespace eelgrasstrack::test {

/// How the open TCP connections of this process fall silent.
enum class silence_kind
{
  /// As behind a proxy that stalls: written bytes are accepted and go nowhere,
  /// nothing arrives, and the kernel's keep-alive notices nothing.
  stalled,
  /// All packets are lost in both directions. The kernel's keep-alive ends the
  /// connection after a while.
  packets_lost,
};

/// Makes open connections of this process fall silent for good, without a
/// reset. Connections that are opened later work. Both ends have to be in this
/// process.
class connection_silencer
{
public:
  connection_silencer() = default;
  ~connection_silencer();
  connection_silencer(const connection_silencer&) = delete;
  connection_silencer& operator=(const connection_silencer&) = delete;

  /// Silences the open connections to listeners on these ports. Returns the
  /// number of ends.
  std::size_t Silence(const std::set<std::uint16_t>& aPorts,
                      silence_kind aKind);

  /// Drops or passes all packets to a listener and to the connections that are
  /// open to it, and so all new connections as well.
  static void SetCutOff(std::uint16_t aPort, bool aCutOff);

private:
  /// Replaces the socket of a descriptor by one whose peer never reads.
  void Stall(int aDescriptor);

  /// Peers of the sockets that have replaced others.
  std::vector<int> mSinks;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_SILENCE_H_
