#ifndef EELGRASSTRACK_PROXY_CRASH_CHECK_H_
#define EELGRASSTRACK_PROXY_CRASH_CHECK_H_

#include <functional>

#include "net/socket.h"

namespace eelgrasstrack {

/// Finds out whether an instance still accepts connections after some ended
/// unexpectedly. Keeps itself alive until it has the result.
class crash_check final
  : public connection::observer
  , public std::enable_shared_from_this<crash_check>
{
public:
  /// Called once. `aRefuses` is true if the instance refuses connections;
  /// false if it accepts one, or if that is unknown after 100 ms.
  using result_handler = std::function<void(bool aRefuses)>;

  static void Start(tcp_transport& aTransport,
                    const endpoint& aInstance,
                    result_handler aHandler);

  explicit crash_check(result_handler aHandler);

  void OnConnected() override;
  void OnReceived(std::string_view) override {}
  void OnEnded(close_reason aReason) override;

private:
  void Finish(bool aRefuses);

  std::shared_ptr<connection> mConnection;
  result_handler mHandler;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_CRASH_CHECK_H_
