#ifndef EELGRASSTRACK_HARNESS_FAULT_PROXY_H_
#define EELGRASSTRACK_HARNESS_FAULT_PROXY_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <thread>

#include "http/message.h"

namespace eelgrasstrack::harness {

/// What the proxy does to connections.
struct proxy_faults
{
  /// Bytes wait this long before they go on.
  std::atomic<int> delay_ms{ 0 };
  /// Bytes are taken and never go on; new connections hang.
  std::atomic<bool> drop_all{ false };
  /// New connections are closed at once.
  std::atomic<bool> refuse{ false };
  /// Cuts a connection after this many bytes towards the target; -1 never.
  std::atomic<long> disconnect_after_request_bytes{ -1 };
  /// Cuts a connection after this many bytes of answers; -1 never.
  std::atomic<long> disconnect_after_answer_bytes{ -1 };
  /// Answers are swallowed while requests go through.
  std::atomic<bool> drop_answers{ false };
};

/// A TCP proxy on a thread of its own that injects faults.
class fault_proxy
{
public:
  fault_proxy(endpoint aListen, endpoint aTarget);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Closes every connection that is open now.
  void DisconnectAll() { mDisconnectAll = true; }

  const endpoint& ListenAddress() const { return mListen; }
  std::uint64_t Accepted() const { return mAccepted; }

  proxy_faults faults;

private:
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
  };

  void Run();
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
  std::atomic<std::uint64_t> mAccepted{ 0 };
  std::thread mThread;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_FAULT_PROXY_H_
