#ifndef EELGRASSTRACK_METRICS_LATENCY_HISTOGRAM_H_
#define EELGRASSTRACK_METRICS_LATENCY_HISTOGRAM_H_

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"

namespace eelgrasstrack {

/// Histogram of durations, with logarithmic buckets from 0.1 ms to 60 s.
class latency_histogram
{
public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(latency_histogram&&) noexcept;
  latency_histogram& operator=(latency_histogram&&) noexcept;

  /// Records one duration.
  void Add(duration aTime);

  /// Number of recorded durations.
  std::uint64_t Count() const;

  /// Returns the upper bound of the bucket that contains the quantile (0 to 1);
  /// at most 60 s.
  duration Quantile(double aQuantile) const;

  /// Appends the histogram in the Prometheus text exposition format.
  void Expose(std::string& aText,
              const std::string& aName,
              const std::string& aLabels) const;

private:
  struct storage;
  std::unique_ptr<storage> mStorage;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_METRICS_LATENCY_HISTOGRAM_H_
