/// \file
/// How fast a waiting tier is served.
#ifndef HAWTHORNNOTCH_POLICY_DRAIN_METER_H_
#define HAWTHORNNOTCH_POLICY_DRAIN_METER_H_

#include <cmath>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::policy {

/// Dispatches a second, counted only while requests wait, so that low demand is not taken for a low
/// drain.
///
/// Example: `meter.observe(true, now); meter.on_dispatch(); double per_s = meter.rate();`
/// Ownership: a value.  Thread safety: none.
class drain_meter {
 public:
  /// \param waiting whether requests wait from now on.
  void observe(bool waiting, time_point now) {
    if (waiting_) {
      const double passed = static_cast<double>((now - last_).ms);
      const double left = std::exp2(-passed / half_life_ms);
      count_ *= left;
      time_ms_ = time_ms_ * left + passed;
    }
    if (!waiting_ && (now - last_).ms > forgotten_after_ms) {
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
  /// \returns dispatches a second; 0 if too little was seen.
  [[nodiscard]] double rate() const {
    constexpr double ms_per_s = 1000.0;
    return time_ms_ < least_ms ? 0.0 : count_ / time_ms_ * ms_per_s;
  }
  /// \returns whether enough was seen for `rate`.
  [[nodiscard]] bool known() const { return time_ms_ >= least_ms; }

 private:
  static constexpr double half_life_ms = 5'000;
  static constexpr std::int64_t forgotten_after_ms = 30'000;
  static constexpr double least_ms = 2'000;
  bool waiting_ = false;
  time_point last_;
  double count_ = 0;
  double time_ms_ = 0;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_DRAIN_METER_H_
