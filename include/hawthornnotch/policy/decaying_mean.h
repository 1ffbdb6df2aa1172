/// \file
/// A mean in which old samples count less.
#ifndef HAWTHORNNOTCH_POLICY_DECAYING_MEAN_H_
#define HAWTHORNNOTCH_POLICY_DECAYING_MEAN_H_

#include <cmath>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::policy {

/// Exponentially weighted mean over time.
///
/// Example: `decaying_mean speed{duration{500}, 20.0}; speed.add(18.5, 1.0, now);`
/// Ownership: a value.  Thread safety: none.
class decaying_mean {
 public:
  /// \param half_life age at which a sample counts half.
  /// \param prior the mean before any sample; counts as `prior_weight` samples.
  decaying_mean(duration half_life, double prior, double prior_weight = 1.0)
      : half_life_(half_life), sum_(prior * prior_weight), weight_(prior_weight) {}

  void add(double value, double weight, time_point now) {
    decay(now);
    sum_ += value * weight;
    weight_ += weight;
  }
  [[nodiscard]] double value() const { return sum_ / weight_; }

 private:
  void decay(time_point now) {
    if (now > last_) {
      const double age = static_cast<double>((now - last_).ms);
      const double left = std::exp2(-age / static_cast<double>(half_life_.ms));
      constexpr double least_weight = 1e-9;
      const double mean = value();
      weight_ = std::fmax(weight_ * left, least_weight);
      sum_ = mean * weight_;
      last_ = now;
    }
  }

  duration half_life_;
  double sum_;
  double weight_;
  time_point last_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_DECAYING_MEAN_H_
