#include "instance.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

bool
instance::Start()
{
  mBorn = std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
  int listener = Listen(mOptions.listen);
  if (listener < 0) {
    return false;
  }
  std::thread([this, listener] {
    while (true) {
      int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (mStopped) {
        close(accepted);
        close(listener);
        return;
      }
      if (accepted >= 0) {
        std::thread([this, accepted] { Serve(accepted); }).detach();
      }
    }
  }).detach();
  std::thread([this] { Beat(); }).detach();
  return true;
}

void
instance::Behave(behaviour aBehaviour, bool aBeforeBody)
{
  std::lock_guard lock(mMutex);
  mBehaviour = std::move(aBehaviour);
  mBeforeBody = aBeforeBody;
}

void
instance::Serve(int aSocket)
{
  message_reader reader(aSocket);
  message request;
  auto never = clock::now() + std::chrono::hours(1);
  bool open = true;
  while (open && reader.ReadHead(request, never) && !mStopped) {
    behaviour behave;
    bool beforeBody = false;
    {
      std::lock_guard lock(mMutex);
      behave = mBehaviour;
      beforeBody = mBeforeBody;
    }
    std::optional<bool> handled;
    if (behave && beforeBody) {
      handled = behave(*this, aSocket, request);
    }
    if (!handled) {
      reader.ReadBody(request, false, never);
    }
    if (behave && !beforeBody) {
      handled = behave(*this, aSocket, request);
    }
    open = handled ? *handled : Answer(aSocket, request);
  }
  close(aSocket);
}

bool
instance::Answer(int aSocket, const message& aRequest)
{
  if (aRequest.Field("x-eelgrasstrack-target-instance") != mOptions.id) {
    return SendAll(aSocket,
                   "HTTP/1.1 421 Misdirected Request\r\nContent-Length: "
                   "0\r\nX-Eelgrasstrack-Instance-Id: " +
                     mOptions.id + "\r\n\r\n");
  }
  RecordRun(aRequest);
  SleepFor(mOptions.work);
  std::string body = BodyFor(aRequest, mOptions.answer_bytes);
  return SendAll(aSocket,
                 AnswerHead(aRequest) + "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string
instance::AnswerHead(const message& aRequest) const
{
  return "HTTP/1.1 200 OK\r\nX-Eelgrasstrack-Request-Id: " +
         aRequest.Field("x-eelgrasstrack-request-id") +
         "\r\nX-Eelgrasstrack-Server-Stamp: stamp." + mOptions.id + "\r\n";
}

std::string
instance::BodyFor(const message& aRequest, std::size_t aBytes) const
{
  std::string line =
    aRequest.Field("x-eelgrasstrack-request-id") + " at " + mOptions.id + "\n";
  std::string body;
  while (body.size() < aBytes) {
    body += line;
  }
  body.resize(aBytes);
  return body;
}

void
instance::RecordRun(const message& aRequest)
{
  std::string id = aRequest.Field("x-eelgrasstrack-request-id");
  mRecord.Add("run       " + id + " at " + mOptions.id + " (" +
              mOptions.service + ")");
  std::lock_guard lock(mMutex);
  mRuns.push_back({ id, mOptions.id, clock::now() });
}

std::vector<instance_run>
instance::Runs()
{
  std::lock_guard lock(mMutex);
  return mRuns;
}

bool
instance::Report(const std::string& aMethod, const std::string& aBody)
{
  constexpr milliseconds kConfirmTime{ 1000 };
  int opened = Connect(mOptions.control, kConfirmTime);
  if (opened < 0) {
    return false;
  }
  std::string text = aMethod + " /instances/" + mOptions.id +
                     " HTTP/1.1\r\nHost: " + mOptions.control.Text() +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  message answer;
  bool confirmed = false;
  if (SendAll(opened, text)) {
    auto deadline = clock::now() + kConfirmTime;
    message_reader reader(opened);
    if (reader.ReadHead(answer, deadline)) {
      reader.ReadBody(answer, true, deadline);
      confirmed = answer.Status() / 100 == 2;
    }
  }
  close(opened);
  return confirmed;
}

void
instance::Beat()
{
  while (true) {
    if (mBeats && !mStopped) {
      std::string state;
      {
        std::lock_guard lock(mMutex);
        state = mState;
      }
      nlohmann::json beat = { { "svc", mOptions.service },
                              { "addr", mOptions.listen.Text() },
                              { "zone", mOptions.zone },
                              { "version", mOptions.version },
                              { "slots", mOptions.slots },
                              { "state", state },
                              { "cold_left_s", 0 },
                              { "seq", ++mSequence },
                              { "born", mBorn } };
      Report("PUT", beat.dump());
    }
    SleepFor(mOptions.beat_interval);
  }
}

bool
instance::ReportDraining()
{
  nlohmann::json beat = { { "svc", mOptions.service },
                          { "addr", mOptions.listen.Text() },
                          { "zone", mOptions.zone },
                          { "version", mOptions.version },
                          { "slots", mOptions.slots },
                          { "state", "draining" },
                          { "cold_left_s", 0 },
                          { "seq", ++mSequence },
                          { "born", mBorn } };
  {
    std::lock_guard lock(mMutex);
    mState = "draining";
  }
  return Report("PUT", beat.dump());
}

bool
instance::ReportExit()
{
  mBeats = false;
  return Report("DELETE", "");
}

} // namespace review
