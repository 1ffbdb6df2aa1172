/// \file
/// Counters, gauges and quantiles of one process in Prometheus' text form.
#ifndef HAWTHORNNOTCH_OBSERVE_METRICS_H_
#define HAWTHORNNOTCH_OBSERVE_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornnotch::observe {

/// Names and values of the labels of one series, in the order they are shown.
using label_list = std::initializer_list<std::pair<std::string_view, std::string_view>>;

/// All metrics of a process.  Series are made on first use, up to a bound; what comes beyond it
/// is counted in `hawthornnotch_series_rejected_total` and otherwise ignored.
///
/// Example:
///     auto all = metrics::create(2'000);
///     all->count("hawthornnotch_requests_total", {{"class", "bulletin"}});
///     all->observe("hawthornnotch_queue_wait_ms", {{"tier", "0"}}, 12.5);
/// Ownership: owns its series.  Thread safety: all members are thread safe; names are spread over
/// shards, each under its own lock.
class metrics {
 public:
  /// \param max_series upper bound of the number of series.
  [[nodiscard]] static std::unique_ptr<metrics> create(std::size_t max_series);
  virtual ~metrics() = default;
  /// Adds to a counter.
  virtual void count(std::string_view name, label_list labels, std::uint64_t n = 1) = 0;
  /// Sets a gauge.
  virtual void gauge(std::string_view name, label_list labels, double value) = 0;
  /// Adds one value to a summary, in milliseconds by custom.
  virtual void observe(std::string_view name, label_list labels, double value) = 0;
  /// Adds one time in milliseconds to a histogram.
  virtual void time(std::string_view name, label_list labels, double ms) = 0;
  /// \returns all series in text exposition format 0.0.4.  Summaries have the quantiles 0.5, 0.95
  /// and 0.99 since the process's start, sum and count.
  [[nodiscard]] virtual std::string exposition() const = 0;
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_METRICS_H_
