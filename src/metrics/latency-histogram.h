#ifndef EELGRASSTRACK_METRICS_LATENCY_HISTOGRAM_H_
#define EELGRASSTRACK_METRICS_LATENCY_HISTOGRAM_H_

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"

namespace eelgrasstrack {

/// Counts of durations in buckets of a constant ratio, from 0.1 ms to 60 s.
class latency_histogram
{
public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(latency_histogram&&) noexcept;
  latency_histogram& operator=(latency_histogram&&) noexcept;

  void Add(duration aTime);

  std::uint64_t Count() const;

  /// Upper edge of the bucket that holds the quantile (0 to 1).
  duration Quantile(double aQuantile) const;

  /// Appends the histogram in the text exposition format.
  void Expose(std::string& aText,
              const std::string& aName,
              const std::string& aLabels) const;

private:
  struct storage;
  std::unique_ptr<storage> mStorage;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_METRICS_LATENCY_HISTOGRAM_H_
