/// \file
/// Sum, count and quantiles of one series.
#ifndef HAWTHORNNOTCH_SRC_OBSERVE_SUMMARY_H_
#define HAWTHORNNOTCH_SRC_OBSERVE_SUMMARY_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>

namespace hawthornnotch::observe {

/// The quantiles that a summary estimates.
inline constexpr std::array<double, 3> summary_probabilities = {0.5, 0.95, 0.99};

/// Streaming statistics of a series in constant memory.  Quantiles are exact up to 64 values and
/// estimated by the P-square algorithm beyond that.
///
/// Example: `summary waits; waits.add(12.5); double p95 = waits.quantile(1);`
/// Ownership: a value.  Thread safety: none.
class summary {
 public:
  summary();
  void add(double value);
  [[nodiscard]] std::uint64_t count() const;
  [[nodiscard]] double sum() const;
  /// \param index index into `summary_probabilities`.
  /// \returns the quantile, or 0 if there are no values.
  [[nodiscard]] double quantile(std::size_t index) const;

 private:
  using totals = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>;
  using estimator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  static constexpr std::size_t max_exact_values = 64;

  totals totals_;
  std::array<estimator, summary_probabilities.size()> estimators_;
  std::array<double, max_exact_values> first_values_{};
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_SRC_OBSERVE_SUMMARY_H_
