/// \file
/// A running quantile that follows changes.
#ifndef HAWTHORNNOTCH_DISPATCH_QUANTILE_H_
#define HAWTHORNNOTCH_DISPATCH_QUANTILE_H_

#include <algorithm>
#include <cstdint>

namespace hawthornnotch::dispatch {

/// Estimates a quantile of a stream of positive values by small steps, so that a server that turns
/// slow is noticed after some dozen values.  (Boost.Accumulators' estimators weigh all values
/// since the start alike.)
///
/// Example: `running_quantile stalls(0.95); stalls.add(14.0); double ms = stalls.value();`
/// Ownership: a value.  Thread safety: none.
class running_quantile {
 public:
  explicit running_quantile(double part) : part_(part) {}
  void add(double value) {
    if (count_ == 0) {
      value_ = value;
    }
    ++count_;
    const double scale = std::max(value_, least_scale) * step_part;
    value_ += value > value_ ? scale * part_ : -scale * (1.0 - part_);
    value_ = std::max(value_, 0.0);
  }
  [[nodiscard]] double value() const { return value_; }
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  /// Part of the present value by which one sample can move it.
  static constexpr double step_part = 0.1;
  /// Keeps steps above zero for values near zero.
  static constexpr double least_scale = 1.0;
  double part_;
  double value_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_QUANTILE_H_
