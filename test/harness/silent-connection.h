#ifndef EELGRASSTRACK_TEST_HARNESS_SILENT_CONNECTION_H_
#define EELGRASSTRACK_TEST_HARNESS_SILENT_CONNECTION_H_

#include "net/socket.h"

namespace eelgrasstrack::test {

/// The server side of a connection that receives and never answers.
class silent_connection final : public connection::observer
{
public:
  /// `aReceived` counts the parts that arrive; it outlives the connection.
  explicit silent_connection(unsigned& aReceived)
    : mReceived(aReceived)
  {
  }

  void OnReceived(std::string_view) override { ++mReceived; }
  void OnEnded(close_reason) override {}

private:
  unsigned& mReceived;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_SILENT_CONNECTION_H_
