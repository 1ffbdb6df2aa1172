/// \file
/// How fast one backend server answers, learned from its streams.
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

/// Follows the present speed and the norm it is compared with.
///
/// Example: `speed.on_first_token(duration{240}, now); speed.on_tokens(4, duration{90}, now);`
/// Ownership: a value.  Thread safety: none; `server_state` protects it.
class speed_estimator {
 public:
  /// \param prior expected speed, from servers of the same kind.
  explicit speed_estimator(server_speed prior);
  /// \param waited from dispatch to first token.
  void on_first_token(duration waited, time_point now);
  /// \param count tokens that came in `span`, the time since the stream's last ones.
  void on_tokens(std::uint32_t count, duration span, time_point now);
  /// \returns the present speed.
  [[nodiscard]] server_speed present() const;
  /// \returns present time for each token over the server's own norm; 1 is as usual.
  [[nodiscard]] double slowdown() const;

 private:
  decaying_mean first_token_;
  decaying_mean per_token_;
  decaying_mean per_token_norm_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SPEED_ESTIMATOR_H_
