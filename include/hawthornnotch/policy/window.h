/// \file
/// How many requests a backend server should have at once.
#ifndef HAWTHORNNOTCH_POLICY_WINDOW_H_
#define HAWTHORNNOTCH_POLICY_WINDOW_H_

#include <cstdint>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Additive increase, multiplicative decrease on first tokens in time or late.
///
/// Example: `window.on_first_token(false, now); double allowed = window.size();`
/// Ownership: a value.  Thread safety: none; `server_state` protects it.
class window {
 public:
  /// \param slots requests that the server runs side by side.
  window(const window_settings& settings, std::uint32_t slots);
  /// \param in_time whether the first token met its target, queueing in this router left out.
  void on_first_token(bool in_time, time_point now);
  /// The server said that it is overloaded.
  void on_busy(time_point now);
  /// \returns requests over all routers.
  [[nodiscard]] double size() const { return size_; }

 private:
  void decrease(time_point now);

  window_settings settings_;
  double least_;
  double most_;
  double size_;
  time_point decreased_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_WINDOW_H_
