#include "metrics/latency-histogram.h"

#include <boost/histogram.hpp>
#include <cstdio>

namespace eelgrasstrack {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kBuckets = 48;
constexpr double kLowestSeconds = 0.0001;
constexpr double kHighestSeconds = 60;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto
MakeHistogram()
{
  return bh::make_histogram(
    log_axis(kBuckets, kLowestSeconds, kHighestSeconds, "seconds"));
}

} // namespace

struct latency_histogram::storage
{
  decltype(MakeHistogram()) counts = MakeHistogram();
  std::uint64_t total = 0;
  double sum_seconds = 0;
};

latency_histogram::latency_histogram()
  : mStorage(std::make_unique<storage>())
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram&
latency_histogram::operator=(latency_histogram&&) noexcept = default;

void
latency_histogram::Add(duration aTime)
{
  double seconds = std::chrono::duration<double>(aTime).count();
  mStorage->counts(seconds);
  ++mStorage->total;
  mStorage->sum_seconds += seconds;
}

std::uint64_t
latency_histogram::Count() const
{
  return mStorage->total;
}

duration
latency_histogram::Quantile(double aQuantile) const
{
  double wanted = aQuantile * static_cast<double>(mStorage->total);
  double below = 0;
  for (auto&& bucket : bh::indexed(mStorage->counts, bh::coverage::all)) {
    below += *bucket;
    if (below >= wanted) {
      double edge = std::min(bucket.bin().upper(), kHighestSeconds);
      return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(edge));
    }
  }
  return duration(0);
}

void
latency_histogram::Expose(std::string& aText,
                          const std::string& aName,
                          const std::string& aLabels) const
{
  char line[512];
  std::uint64_t below = 0;
  for (auto&& bucket : bh::indexed(mStorage->counts, bh::coverage::all)) {
    below += static_cast<std::uint64_t>(*bucket);
    bool last = bucket.index() == static_cast<int>(kBuckets);
    char edge[32] = "+Inf";
    if (!last) {
      std::snprintf(edge, sizeof(edge), "%.6g", bucket.bin().upper());
    }
    std::snprintf(line,
                  sizeof(line),
                  "%s_bucket{%s,le=\"%s\"} %llu\n",
                  aName.c_str(),
                  aLabels.c_str(),
                  edge,
                  static_cast<unsigned long long>(below));
    aText += line;
  }
  std::snprintf(line,
                sizeof(line),
                "%s_sum{%s} %.6f\n%s_count{%s} %llu\n",
                aName.c_str(),
                aLabels.c_str(),
                mStorage->sum_seconds,
                aName.c_str(),
                aLabels.c_str(),
                static_cast<unsigned long long>(mStorage->total));
  aText += line;
}

} // namespace eelgrasstrack
