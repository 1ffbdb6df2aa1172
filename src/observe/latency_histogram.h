/// \file
/// Latency histogram with exponentially growing buckets.
#ifndef HAWTHORNNOTCH_SRC_OBSERVE_LATENCY_HISTOGRAM_H_
#define HAWTHORNNOTCH_SRC_OBSERVE_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>

namespace hawthornnotch::observe {

/// Latencies of one series, in milliseconds.
///
/// Example: `latency_histogram times; times.add(12.5);`
/// Ownership: a value.  Thread safety: none.
class latency_histogram {
 public:
  latency_histogram();
  void add(double ms);
  /// Calls `visit` with the upper bound of each bucket, the last one infinite, and the cumulative
  /// count of values in this and all lower buckets.
  void for_each_bucket(
      const std::function<void(double upper_ms, std::uint64_t count)>& visit) const;
  [[nodiscard]] double sum() const { return sum_; }
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  using axis = boost::histogram::axis::variable<double>;
  using counts = boost::histogram::histogram<std::tuple<axis>>;
  counts counts_;
  double sum_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_SRC_OBSERVE_LATENCY_HISTOGRAM_H_
