#ifndef EELGRASSTRACK_TEST_HARNESS_RAW_SERVER_H_
#define EELGRASSTRACK_TEST_HARNESS_RAW_SERVER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "http/message.h"

namespace eelgrasstrack::test {

/// How a server ends a connection after it has sent its bytes.
enum class server_end
{
  /// Waits for the next request.
  keep,
  /// Closes the connection in order. Unread bytes turn that into a reset.
  close,
  /// Ends its own direction and reads on until the client closes.
  half_close,
  /// Resets the connection.
  reset,
};

/// The server's side of one connection, on blocking sockets.
class raw_exchange
{
public:
  raw_exchange(int aDescriptor, std::string aRequestHead)
    : mDescriptor(aDescriptor)
    , mRequestHead(std::move(aRequestHead))
  {
  }

  const std::string& RequestHead() const { return mRequestHead; }
  /// Value of a header field of the request; empty if it has none.
  std::string Field(const std::string& aName) const;
  /// Sends bytes. Returns whether the client took them.
  bool Send(std::string_view aBytes) const;
  /// Reads and drops `aBytes` of the request's body. Returns whether that many
  /// arrived.
  bool Drop(std::size_t aBytes) const;

private:
  int mDescriptor;
  std::string mRequestHead;
};

/// A server on a loopback address that sends any bytes and ends its connections
/// in any way. Each connection has a thread of its own, so that the kernel sees
/// the same calls as from a separate process.
class raw_server
{
public:
  /// Called for each request after its head was read; the body is left unread.
  using request_handler = std::function<server_end(raw_exchange&)>;

  raw_server(const endpoint& aAddress, request_handler aHandler);
  ~raw_server();
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  /// Number of connections accepted so far.
  unsigned Connections() const { return mConnections; }

private:
  void Accept();
  void Serve(int aDescriptor);

  int mListener;
  request_handler mHandler;
  std::atomic<unsigned> mConnections = 0;
  std::atomic<bool> mStopping = false;
  std::mutex mLock;
  /// Open descriptors, to be shut down at the end.
  std::vector<int> mOpen;
  std::vector<std::thread> mThreads;
  std::thread mAcceptor;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_RAW_SERVER_H_
