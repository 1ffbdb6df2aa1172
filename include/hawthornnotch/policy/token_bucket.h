/// \file
/// Token bucket rate limiter.
#ifndef HAWTHORNNOTCH_POLICY_TOKEN_BUCKET_H_
#define HAWTHORNNOTCH_POLICY_TOKEN_BUCKET_H_

#include <algorithm>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::policy {

/// A bucket that fills at a rate up to a depth; the first `fill` fills it completely.
///
/// Example: `bucket.fill(12.5, 20.0, now); if (bucket.take()) { ... }`
/// Ownership: a value.  Thread safety: none.
class token_bucket {
 public:
  explicit token_bucket(double level) : level_(level) {}
  /// Adds the tokens earned since the last call.
  /// \param rate tokens per second.
  /// \param depth capacity of the bucket.
  void fill(double rate, double depth, time_point now) {
    constexpr double ms_per_s = 1000.0;
    if (started_) {
      level_ += rate * static_cast<double>((now - last_).ms) / ms_per_s;
    } else {
      level_ = depth;
    }
    started_ = true;
    level_ = std::min(level_, depth);
    last_ = now;
  }
  /// Adds tokens independent of time.
  void add(double tokens, double depth) { level_ = std::min(level_ + tokens, depth); }
  /// Takes one token.  \returns false if there is less than one.
  bool take() {
    if (level_ < 1.0) {
      return false;
    }
    level_ -= 1.0;
    return true;
  }
  [[nodiscard]] double level() const { return level_; }

 private:
  double level_;
  time_point last_;
  bool started_ = false;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_TOKEN_BUCKET_H_
