#ifndef EELGRASSTRACK_HARNESS_PROCESS_H_
#define EELGRASSTRACK_HARNESS_PROCESS_H_

#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrasstrack::harness {

/// A child process. The destructor kills it.
class process
{
public:
  /// Starts a program and appends its output to a file.
  process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::string& aOutputFile);
  ~process();
  process(process&& aOther) noexcept;
  process& operator=(process&& aOther) noexcept;

  /// Sends a signal to the process if it is running.
  void Signal(int aSignal) const;

  /// Kills the process and waits until it has exited.
  void Kill();

  /// Waits until the process exits by itself. Returns its exit status, or -1 if
  /// a signal ended it or it did not exit within `aSeconds`.
  int WaitForExit(double aSeconds);

  bool Running();
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
  int mStatus = -1;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_PROCESS_H_
