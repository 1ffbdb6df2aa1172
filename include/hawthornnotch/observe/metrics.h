/// \file
/// Metrics of one process in the Prometheus text format.
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

/// Label names and values of one series, in output order.
using label_list = std::initializer_list<std::pair<std::string_view, std::string_view>>;

/// Registry of all metrics of a process.  A series is created on first use.  An update is dropped
/// and counted in `hawthornnotch_series_rejected_total` if it would exceed the maximum number of
/// series or if its name is in use by another type of metric.
///
/// Example:
///     auto registry = metrics::create(2'000);
///     registry->count("hawthornnotch_requests_total", {{"class", "bulletin"}});
///     registry->observe("hawthornnotch_queue_wait_ms", {{"tier", "0"}}, 12.5);
/// Ownership: owns its series.  Thread safety: all members are thread safe; names are spread over
/// shards, each with its own lock.
class metrics {
 public:
  /// \param max_series maximum number of series.
  [[nodiscard]] static std::unique_ptr<metrics> create(std::size_t max_series);
  virtual ~metrics() = default;
  /// Adds to a counter.
  virtual void count(std::string_view name, label_list labels, std::uint64_t n = 1) = 0;
  /// Sets a gauge.
  virtual void gauge(std::string_view name, label_list labels, double value) = 0;
  /// Adds one value to a summary, by convention in milliseconds.
  virtual void observe(std::string_view name, label_list labels, double value) = 0;
  /// Adds one duration in milliseconds to a histogram.
  virtual void time(std::string_view name, label_list labels, double ms) = 0;
  /// \returns all series in text exposition format 0.0.4.  A summary has its sum, its count and the
  /// quantiles 0.5, 0.95 and 0.99, all since the process started.
  [[nodiscard]] virtual std::string exposition() const = 0;
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_METRICS_H_
