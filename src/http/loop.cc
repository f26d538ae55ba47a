#include "http/loop.h"

#include <csignal>
#include <libwebsockets.h>
#include <stdexcept>

namespace eelgrasstrack {

namespace {

volatile std::sig_atomic_t sTerminateRequested = 0;
lws_context* sSignalContext = nullptr;

void
HandleTerminate(int)
{
  sTerminateRequested = 1;
  if (sSignalContext != nullptr) {
    lws_cancel_service(sSignalContext);
  }
}

} // namespace

struct loop::timer_slot
{
  // Must be the first member: the callback casts its address to the slot.
  lws_sorted_usec_list_t list{};
  loop* owner = nullptr;
};

loop::loop(unsigned aMaxConnections)
  : mTimerSlot(std::make_unique<timer_slot>())
{
  std::signal(SIGPIPE, SIG_IGN);
  lws_set_log_level(0, nullptr);
  lws_context_creation_info info{};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
                 LWS_SERVER_OPTION_SKIP_SERVER_CANONICAL_NAME;
  info.fd_limit_per_thread = aMaxConnections;
  info.max_http_header_pool = static_cast<unsigned short>(
    aMaxConnections > 2048U ? 2048U : aMaxConnections);
  info.max_http_header_data = 8192;
  info.pt_serv_buf_size = 65536;
  mContext = lws_create_context(&info);
  if (mContext == nullptr) {
    throw std::runtime_error(
      "cannot create the event loop: lws_create_context failed");
  }
  mTimerSlot->owner = this;
}

loop::~loop()
{
  if (sSignalContext == mContext) {
    sSignalContext = nullptr;
  }
  lws_sul_schedule(
    mContext, 0, &mTimerSlot->list, nullptr, LWS_SET_TIMER_USEC_CANCEL);
  lws_context_destroy(mContext);
}

time_point
loop::Now() const
{
  return std::chrono::time_point_cast<duration>(
    std::chrono::steady_clock::now());
}

std::int64_t
loop::UnixMilliseconds() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

timer_id
loop::RunAfter(duration aDelay, std::function<void()> aTask)
{
  timer_id id = mNextTimer++;
  time_point due = Now() + aDelay;
  mTimers.emplace(std::make_pair(due, id), std::move(aTask));
  mDueTimes.emplace(id, due);
  ArmTimer();
  return id;
}

void
loop::RunEvery(duration aPeriod, std::function<void()> aTask)
{
  RunAfter(aPeriod, [this, aPeriod, aTask] {
    aTask();
    RunEvery(aPeriod, aTask);
  });
}

void
loop::Cancel(timer_id aTimer)
{
  auto due = mDueTimes.find(aTimer);
  if (due == mDueTimes.end()) {
    return;
  }
  mTimers.erase(std::make_pair(due->second, aTimer));
  mDueTimes.erase(due);
}

void
loop::Run()
{
  mStopped = false;
  while (!mStopped) {
    if (lws_service(mContext, 0) < 0) {
      return;
    }
    if (sTerminateRequested != 0 && mOnTerminate) {
      sTerminateRequested = 0;
      mOnTerminate();
    }
  }
}

void
loop::Stop()
{
  mStopped = true;
  lws_cancel_service(mContext);
}

void
loop::OnTerminate(std::function<void()> aTask)
{
  mOnTerminate = std::move(aTask);
  sSignalContext = mContext;
  std::signal(SIGTERM, HandleTerminate);
  std::signal(SIGINT, HandleTerminate);
}

void
loop::RunDueTimers()
{
  time_point now = Now();
  while (!mTimers.empty() && mTimers.begin()->first.first <= now) {
    auto first = mTimers.begin();
    mLag = now - first->first.first;
    std::function<void()> task = std::move(first->second);
    mDueTimes.erase(first->first.second);
    mTimers.erase(first);
    task();
  }
  ArmTimer();
}

void
loop::ArmTimer()
{
  if (mTimers.empty()) {
    return;
  }
  duration wait = mTimers.begin()->first.first - Now();
  lws_usec_t microseconds = wait.count() > 1 ? wait.count() : 1;
  lws_sul_schedule(
    mContext,
    0,
    &mTimerSlot->list,
    [](lws_sorted_usec_list_t* aList) {
      reinterpret_cast<timer_slot*>(aList)->owner->RunDueTimers();
    },
    microseconds);
}

} // namespace eelgrasstrack
