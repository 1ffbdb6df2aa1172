/// \file
/// Concurrency window of a backend server.
#ifndef HAWTHORNNOTCH_POLICY_WINDOW_H_
#define HAWTHORNNOTCH_POLICY_WINDOW_H_

#include <cstdint>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Additive-increase, multiplicative-decrease window, driven by whether first tokens meet their
/// target.
///
/// After a decrease, further ones are ignored for `window_settings::decrease_cooldown`.
///
/// Example: `window.on_first_token(false, now); double allowed = window.size();`
/// Ownership: a value.  Thread safety: none; `server_state` protects it.
class window {
 public:
  /// \param slots requests that the server runs concurrently.
  window(const window_settings& settings, std::uint32_t slots);
  /// \param in_time whether the first token met its target, not counting the time queued in this
  /// router.
  void on_first_token(bool in_time, time_point now);
  /// The server answered that it is overloaded.
  void on_busy(time_point now);
  /// \returns allowed requests, summed over all routers.
  [[nodiscard]] double size() const { return size_; }

 private:
  void decrease(time_point now);

  window_settings settings_;
  double min_size_;
  double max_size_;
  double size_;
  time_point last_decrease_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_WINDOW_H_
