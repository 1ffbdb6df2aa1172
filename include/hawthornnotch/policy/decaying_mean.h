/// \file
/// Exponentially weighted mean over time.
#ifndef HAWTHORNNOTCH_POLICY_DECAYING_MEAN_H_
#define HAWTHORNNOTCH_POLICY_DECAYING_MEAN_H_

#include <cmath>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::policy {

/// Mean in which the weight of a sample halves every half-life.
///
/// Example: `decaying_mean speed{duration{500}, 20.0}; speed.add(18.5, 1.0, now);`
/// Ownership: a value.  Thread safety: none.
class decaying_mean {
 public:
  /// \param half_life age at which a sample's weight has halved.
  /// \param prior value before any sample.
  /// \param prior_weight weight of the prior, in samples.
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
      const double age_ms = static_cast<double>((now - last_).ms);
      const double decay_factor = std::exp2(-age_ms / static_cast<double>(half_life_.ms));
      constexpr double min_weight = 1e-9;
      const double mean = value();
      weight_ = std::fmax(weight_ * decay_factor, min_weight);
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
