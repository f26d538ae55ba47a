#include "proxy/crash-check.h"

#include <utility>

namespace eelgrasstrack {

namespace {

/// The instance is on the same host, so it answers within a fraction of this.
constexpr duration kCheckTimeout = std::chrono::milliseconds(100);

} // namespace

crash_check::crash_check(result_handler aHandler)
  : mHandler(std::move(aHandler))
{
}

void
crash_check::Start(tcp_transport& aTransport,
                   const endpoint& aInstance,
                   result_handler aHandler)
{
  auto check = std::make_shared<crash_check>(std::move(aHandler));
  connect_options options;
  options.unacknowledged_timeout = kCheckTimeout;
  check->mConnection = aTransport.Connect(aInstance, options);
  if (check->mConnection) {
    check->mConnection->SetObserver(check);
  }
  // Also keeps the check alive. Without a descriptor the result is unknown.
  duration limit = check->mConnection ? kCheckTimeout : duration(0);
  aTransport.Loop().RunAfter(limit, [check] { check->Finish(false); });
}

void
crash_check::OnConnected()
{
  Finish(false);
}

void
crash_check::OnEnded(close_reason aReason)
{
  Finish(aReason == close_reason::connect_failed);
}

void
crash_check::Finish(bool aRefuses)
{
  std::shared_ptr<crash_check> self = shared_from_this();
  if (mConnection) {
    mConnection->Close();
    mConnection.reset();
  }
  if (result_handler handler = std::exchange(mHandler, nullptr)) {
    handler(aRefuses);
  }
}

} // namespace eelgrasstrack
