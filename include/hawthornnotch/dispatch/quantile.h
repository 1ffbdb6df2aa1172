/// \file
/// An online quantile estimator that adapts to changes.
#ifndef HAWTHORNNOTCH_DISPATCH_QUANTILE_H_
#define HAWTHORNNOTCH_DISPATCH_QUANTILE_H_

#include <algorithm>
#include <cstdint>

namespace hawthornnotch::dispatch {

/// Estimates a quantile of a stream of positive values by stochastic approximation, so that a
/// server that becomes slow is noticed after a few dozen samples.  (Boost.Accumulators' estimators
/// weight all samples since the start equally.)
///
/// Example: `running_quantile gaps(0.95); gaps.add(14.0); double ms = gaps.value();`
/// Ownership: a value.  Thread safety: none.
class running_quantile {
 public:
  /// \param quantile in (0, 1), e.g. 0.95.
  explicit running_quantile(double quantile) : quantile_(quantile) {}
  void add(double value) {
    if (count_ == 0) {
      value_ = value;
    }
    ++count_;
    const double scale = std::max(value_, min_scale) * step_fraction;
    value_ += value > value_ ? scale * quantile_ : -scale * (1.0 - quantile_);
    value_ = std::max(value_, 0.0);
  }
  /// \returns the estimate; 0 before the first sample.
  [[nodiscard]] double value() const { return value_; }
  /// \returns the number of samples.
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  /// Maximum change by one sample, as a fraction of the current value.
  static constexpr double step_fraction = 0.1;
  /// Keeps the step above zero for estimates near zero.
  static constexpr double min_scale = 1.0;
  double quantile_;
  double value_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_QUANTILE_H_
