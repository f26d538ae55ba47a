#ifndef EELGRASSTRACK_REVIEW_RECORD_H_
#define EELGRASSTRACK_REVIEW_RECORD_H_

#include <cstdio>
#include <mutex>
#include <string>

#include "net.h"

namespace review {

/// What was sent, answered and run, with the seconds since the start.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
    , mStarted(clock::now())
  {
  }
  ~record()
  {
    if (mFile != nullptr) {
      std::fclose(mFile);
    }
  }
  record(const record&) = delete;
  record& operator=(const record&) = delete;

  void Add(const std::string& aLine)
  {
    std::lock_guard lock(mMutex);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%8.3f  %s\n", Seconds(), aLine.c_str());
      std::fflush(mFile);
    }
  }

  /// Adds a line and prints it.
  void Say(const std::string& aLine)
  {
    Add(aLine);
    std::printf("%8.3f  %s\n", Seconds(), aLine.c_str());
    std::fflush(stdout);
  }

  double Seconds() const
  {
    return std::chrono::duration<double>(clock::now() - mStarted).count();
  }

private:
  std::FILE* mFile;
  clock::time_point mStarted;
  std::mutex mMutex;
};

} // namespace review

#endif // EELGRASSTRACK_REVIEW_RECORD_H_
