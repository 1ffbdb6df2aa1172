/// \file
/// Drain rate of one tier's queue.
#ifndef HAWTHORNNOTCH_POLICY_DRAIN_METER_H_
#define HAWTHORNNOTCH_POLICY_DRAIN_METER_H_

#include <cmath>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::policy {

/// Measures dispatches per second while requests wait.
///
/// Time without waiting requests is excluded, so that low demand does not read as a low drain rate.
///
/// Example: `meter.observe(true, now); meter.on_dispatch(); double per_s = meter.rate();`
/// Ownership: a value.  Thread safety: none.
class drain_meter {
 public:
  /// \param waiting whether requests are waiting as of `now`.
  void observe(bool waiting, time_point now) {
    if (waiting_) {
      const double elapsed_ms = static_cast<double>((now - last_).ms);
      const double decay_factor = std::exp2(-elapsed_ms / half_life_ms);
      count_ *= decay_factor;
      time_ms_ = time_ms_ * decay_factor + elapsed_ms;
    }
    if (!waiting_ && (now - last_).ms > reset_after_ms) {
      count_ = 0;
      time_ms_ = 0;
    }
    waiting_ = waiting;
    last_ = now;
  }
  void on_dispatch() {
    if (waiting_) {
      count_ += 1.0;
    }
  }
  /// \returns dispatches per second; 0 until `known`.
  [[nodiscard]] double rate() const {
    constexpr double ms_per_s = 1000.0;
    return time_ms_ < min_observed_ms ? 0.0 : count_ / time_ms_ * ms_per_s;
  }
  /// \returns whether requests have waited long enough for `rate` to be meaningful.
  [[nodiscard]] bool known() const { return time_ms_ >= min_observed_ms; }

 private:
  static constexpr double half_life_ms = 5'000;
  static constexpr std::int64_t reset_after_ms = 30'000;
  static constexpr double min_observed_ms = 2'000;
  bool waiting_ = false;
  time_point last_;
  double count_ = 0;
  double time_ms_ = 0;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_DRAIN_METER_H_
