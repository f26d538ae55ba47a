#ifndef EELGRASSTRACK_REVIEW_NET_H_
#define EELGRASSTRACK_REVIEW_NET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// An IPv4 loopback address and a port.
struct address
{
  std::string ip;
  std::uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// Sleeps until a moment or for a time.
void
SleepUntil(clock::time_point aTime);
void
SleepFor(milliseconds aTime);

/// Returns a port that is free on every one of the addresses
/// `aPrefix` + 1 to `aPrefix` + `aCount`.
std::uint16_t
FreePort(const std::string& aPrefix, unsigned aCount);

/// Blocking sockets. All return -1 or false on failure.
int
Listen(const address& aAddress);
int
Connect(const address& aAddress, milliseconds aTimeout, int aReceiveBuffer = 0);
bool
SendAll(int aSocket, std::string_view aBytes);

/// Field names are in lower case.
using field_map = std::map<std::string, std::string>;

/// An HTTP message as it was received.
struct message
{
  std::string start_line;
  field_map fields;
  std::string body;
  /// The end of the message was received, by its own framing.
  bool complete = false;
  /// The body has neither a length nor chunks.
  bool unframed = false;

  std::string Field(const std::string& aName) const;
  /// Status code of a response; 0 without one.
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

/// Reads messages from a connection, one after the other.
class message_reader
{
public:
  explicit message_reader(int aSocket)
    : mSocket(aSocket)
  {
  }

  /// Reads the head of the next message. Returns false if the connection ended
  /// or the time is up.
  bool ReadHead(message& aMessage, clock::time_point aDeadline);
  /// Reads the body. `aResponse`: a body without framing ends with the
  /// connection.
  void ReadBody(message& aMessage, bool aResponse, clock::time_point aDeadline);

  /// Called before each read, to slow the reader down.
  void BeforeRead(std::function<void(std::size_t)> aHook)
  {
    mBeforeRead = std::move(aHook);
  }
  /// How the connection ended: "", "closed", "reset" or "timeout".
  const std::string& End() const { return mEnd; }

private:
  bool Fill(clock::time_point aDeadline);
  bool ReadExactly(std::string& aBody,
                   std::size_t aCount,
                   clock::time_point aDeadline);
  bool ReadLine(std::string& aLine, clock::time_point aDeadline);

  int mSocket;
  std::string mBuffer;
  std::string mEnd;
  std::function<void(std::size_t)> mBeforeRead;
};

} // namespace review

#endif // EELGRASSTRACK_REVIEW_NET_H_
