#include "net/link-pacer.h"

namespace eelgrasstrack {

namespace {

/// How often waiting bytes are sent.
constexpr duration kSendPeriod = std::chrono::milliseconds(5);
/// Part of the link's rate that is used, so that what else the host sends, such
/// as retransmissions, does not fill the link.
constexpr double kUsedLinkShare = 0.9;
constexpr double kBitsPerByte = 8;

} // namespace

link_pacer::link_pacer(loop& aLoop)
  : mLoop(aLoop)
{
}

void
link_pacer::SetLinkRate(double aBitsPerSecond)
{
  mScheduler.SetBandwidth(kUsedLinkShare * aBitsPerSecond / kBitsPerByte);
}

stream_id
link_pacer::IdOf(const connection& aConnection)
{
  return reinterpret_cast<stream_id>(&aConnection);
}

void
link_pacer::Send(const std::shared_ptr<connection>& aConnection,
                 std::string_view aBytes)
{
  stream_id id = IdOf(*aConnection);
  auto waiting = mStreams.find(id);
  if (waiting == mStreams.end() &&
      mScheduler.TrySendNow(aBytes.size(), mLoop.Now())) {
    aConnection->Send(aBytes);
    return;
  }
  paced_stream& stream = mStreams[id];
  stream.target = aConnection;
  stream.bytes.append(aBytes);
  mScheduler.Queue(id, aBytes.size());
  ScheduleSend();
}

std::size_t
link_pacer::Pending(const connection& aConnection) const
{
  auto waiting = mStreams.find(IdOf(aConnection));
  return waiting == mStreams.end()
           ? 0
           : waiting->second.bytes.size() - waiting->second.sent;
}

void
link_pacer::SendAll(connection& aConnection)
{
  auto waiting = mStreams.find(IdOf(aConnection));
  if (waiting == mStreams.end()) {
    return;
  }
  paced_stream stream = std::move(waiting->second);
  mStreams.erase(waiting);
  mScheduler.SendAll(IdOf(aConnection));
  aConnection.Send(std::string_view(stream.bytes).substr(stream.sent));
}

void
link_pacer::Drop(const connection& aConnection)
{
  mScheduler.Remove(IdOf(aConnection));
  mStreams.erase(IdOf(aConnection));
}

void
link_pacer::ScheduleSend()
{
  if (mScheduled) {
    return;
  }
  mScheduled = true;
  mLoop.RunAfter(kSendPeriod, [this] {
    mScheduled = false;
    SendDue();
    if (mScheduler.HasQueued()) {
      ScheduleSend();
    }
  });
}

void
link_pacer::SendDue()
{
  auto isBlocked = [this](stream_id aStream) {
    return mStreams.at(aStream).target->Unsent() > 0;
  };
  time_point now = mLoop.Now();
  while (std::optional<bandwidth_scheduler::grant> next =
           mScheduler.Next(now, isBlocked)) {
    paced_stream& stream = mStreams.at(next->stream);
    std::shared_ptr<connection> target = stream.target;
    std::string part = stream.bytes.substr(stream.sent, next->bytes);
    stream.sent += next->bytes;
    if (stream.sent == stream.bytes.size()) {
      mStreams.erase(next->stream);
    }
    // Last, as the receiver of the event may queue more bytes.
    target->Send(part);
  }
}

} // namespace eelgrasstrack
