#include "harness/process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace eelgrasstrack::harness {

process::process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 const std::string& aOutputFile)
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments{ const_cast<char*>(aProgram.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  int failed = posix_spawn(
    &mId, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start program " + aProgram);
  }
}

process::~process()
{
  Kill();
}

process::process(process&& aOther) noexcept
  : mId(aOther.mId)
  , mStatus(aOther.mStatus)
{
  aOther.mId = -1;
}

process&
process::operator=(process&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    mId = aOther.mId;
    mStatus = aOther.mStatus;
    aOther.mId = -1;
  }
  return *this;
}

void
process::Signal(int aSignal) const
{
  if (mId > 0) {
    kill(mId, aSignal);
  }
}

void
process::Kill()
{
  if (mId <= 0) {
    return;
  }
  kill(mId, SIGKILL);
  waitpid(mId, &mStatus, 0);
  mId = -1;
}

bool
process::Running()
{
  if (mId <= 0) {
    return false;
  }
  if (waitpid(mId, &mStatus, WNOHANG) != mId) {
    return true;
  }
  mId = -1;
  return false;
}

int
process::WaitForExit(double aSeconds)
{
  auto end =
    std::chrono::steady_clock::now() + std::chrono::duration<double>(aSeconds);
  while (Running()) {
    if (std::chrono::steady_clock::now() > end) {
      return -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return WIFEXITED(mStatus) ? WEXITSTATUS(mStatus) : -1;
}

} // namespace eelgrasstrack::harness
