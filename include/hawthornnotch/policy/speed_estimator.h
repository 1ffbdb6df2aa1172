/// \file
/// Learned speed of one backend server.
#ifndef HAWTHORNNOTCH_POLICY_SPEED_ESTIMATOR_H_
#define HAWTHORNNOTCH_POLICY_SPEED_ESTIMATOR_H_

#include <cstdint>

#include "hawthornnotch/policy/decaying_mean.h"

namespace hawthornnotch::policy {

/// Speed of a backend server.
struct server_speed {
  double first_token_ms = 300.0;
  double per_token_ms = 30.0;
};

/// Tracks the current speed of a server and its long-term norm.
///
/// Example: `speed.on_first_token(duration{240}, now); speed.on_tokens(4, duration{90}, now);`
/// Ownership: a value.  Thread safety: none; `server_state` protects it.
class speed_estimator {
 public:
  /// \param prior expected speed, from servers of the same kind.
  explicit speed_estimator(server_speed prior);
  /// \param waited time from dispatch to first token.
  void on_first_token(duration waited, time_point now);
  /// \param count tokens received in `span`; 0 is ignored.
  /// \param span time since the previous tokens of the stream.
  void on_tokens(std::uint32_t count, duration span, time_point now);
  /// \returns the current speed.
  [[nodiscard]] server_speed present() const;
  /// \returns current time per token divided by the server's norm; 1 is normal.
  [[nodiscard]] double slowdown() const;

 private:
  decaying_mean first_token_;
  decaying_mean per_token_;
  decaying_mean per_token_norm_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SPEED_ESTIMATOR_H_
