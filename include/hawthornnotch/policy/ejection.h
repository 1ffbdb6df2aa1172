/// \file
/// Outlier ejection of slow and failing backend servers.
#ifndef HAWTHORNNOTCH_POLICY_EJECTION_H_
#define HAWTHORNNOTCH_POLICY_EJECTION_H_

#include <cstdint>
#include <limits>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Why a server's concurrency is capped.
enum class cap_kind : std::uint8_t { none, slow, failing };
inline constexpr std::size_t cap_kinds = 3;

/// Caps a server's concurrency after failures or a slowdown.
///
/// After consecutive failures the cap is 0 for a time that doubles with each further ejection, then
/// 1 until a request succeeds: one probe at a time.  Each success of a server that is not ejected
/// halves its next ejection time.  A slow server keeps a quarter of its slots.
/// Example: `ejection.on_failure(now); if (ejection.cap(8, now) == 0) { ... }`
/// Ownership: a value.  Thread safety: none; `server_state` protects it.
class ejection {
 public:
  static constexpr std::uint32_t no_cap = std::numeric_limits<std::uint32_t>::max();

  explicit ejection(const ejection_settings& settings) : settings_(settings) {}
  void on_failure(time_point now);
  void on_success();
  /// \param slowdown current time per token divided by the server's norm.
  void on_speed(double slowdown);
  /// \param slots requests that the server runs concurrently.
  /// \returns allowed concurrent requests; `no_cap` for a healthy server.
  [[nodiscard]] std::uint32_t cap(std::uint32_t slots, time_point now) const;
  [[nodiscard]] cap_kind kind() const;

 private:
  ejection_settings settings_;
  std::uint32_t consecutive_failures_ = 0;
  duration ejection_duration_{0};
  time_point ejected_until_;
  bool ejected_ = false;
  bool slow_ = false;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_EJECTION_H_
