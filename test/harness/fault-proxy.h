#ifndef EELGRASSTRACK_HARNESS_FAULT_PROXY_H_
#define EELGRASSTRACK_HARNESS_FAULT_PROXY_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <thread>

#include "http/message.h"

namespace eelgrasstrack::harness {

/// The faults that the proxy injects. They may be changed while it runs.
struct proxy_faults
{
  /// Delay before received bytes are forwarded.
  std::atomic<int> delay_ms{ 0 };
  /// Received bytes are discarded; new connections are accepted and hang.
  std::atomic<bool> drop_all{ false };
  /// New connections are closed immediately.
  std::atomic<bool> refuse{ false };
  /// Closes a connection after this many bytes of requests; -1: never.
  std::atomic<long> disconnect_after_request_bytes{ -1 };
  /// Closes a connection after this many bytes of answers; -1: never.
  std::atomic<long> disconnect_after_answer_bytes{ -1 };
  /// Answers are discarded while requests are forwarded.
  std::atomic<bool> drop_answers{ false };
};

/// A TCP proxy that injects faults. It runs on its own thread.
class fault_proxy
{
public:
  fault_proxy(endpoint aListen, endpoint aTarget);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Closes all connections that are open.
  void DisconnectAll() { mDisconnectAll = true; }

  /// All connections that are open fall silent: nothing is passed on in either
  /// direction, and they stay open. New connections work.
  void SilenceOpenConnections() { mSilenceOpen = true; }

  const endpoint& ListenAddress() const { return mListen; }
  std::uint64_t Accepted() const { return mAccepted; }

  proxy_faults faults;

private:
  /// Bytes to forward at `due_ms`.
  struct chunk
  {
    std::int64_t due_ms;
    std::string bytes;
  };

  /// One direction of a connection.
  struct direction
  {
    int source_fd = -1;
    int destination_fd = -1;
    std::list<chunk> pending_chunks;
    long forwarded_bytes = 0;
    bool source_closed = false;
  };

  struct connection
  {
    direction requests;
    direction answers;
    bool broken = false;
    /// Received bytes are discarded, and neither end is closed.
    bool silent = false;
  };

  void Run();
  void SilenceConnections();
  void Accept();
  void Read(connection& aConnection, direction& aDirection, bool aAnswers);
  void Flush(connection& aConnection, direction& aDirection, bool aAnswers);
  void Close(connection& aConnection);

  endpoint mListen;
  endpoint mTarget;
  int mListener = -1;
  std::list<connection> mConnections;
  std::atomic<bool> mStop{ false };
  std::atomic<bool> mDisconnectAll{ false };
  std::atomic<bool> mSilenceOpen{ false };
  std::atomic<std::uint64_t> mAccepted{ 0 };
  std::thread mThread;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_FAULT_PROXY_H_
