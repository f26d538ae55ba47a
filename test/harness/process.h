#ifndef EELGRASSTRACK_HARNESS_PROCESS_H_
#define EELGRASSTRACK_HARNESS_PROCESS_H_

#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrasstrack::harness {

/// A child process; killed when it goes out of scope.
class process
{
public:
  /// Starts a program with its output in a file.
  process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::string& aOutputFile);
  ~process();
  process(process&& aOther) noexcept;
  process& operator=(process&& aOther) noexcept;

  void Signal(int aSignal) const;

  /// Kills it and waits for its end.
  void Kill();

  /// Waits for its end by itself; returns its exit status, or -1 if it was
  /// ended by a signal or did not end within `aSeconds`.
  int WaitForExit(double aSeconds);

  bool Running();
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
  int mStatus = -1;
};

} // namespace eelgrasstrack::harness

#endif // EELGRASSTRACK_HARNESS_PROCESS_H_
