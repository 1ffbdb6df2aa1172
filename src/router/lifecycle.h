// The phases of a router from start to graceful stop.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_LIFECYCLE_H_
#define HAWTHORNNOTCH_SRC_ROUTER_LIFECYCLE_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/router/settings.h"

namespace hawthornnotch::router::internal {

enum class phase : std::uint8_t {
  serving,
  // Readiness fails, but new requests are accepted until the load balancer stops sending them.
  lame_duck,
  // New requests are rejected; requests in progress continue.
  rejecting,
};

// Tracks the phase of a router and decides when a stopping router may exit.  Depends on nothing but
// the clock.
//
// Failures: none.  If requests or claims don't end, the timeouts of `stop_settings` apply.
// Thread safety: all members are thread safe.
class lifecycle {
 public:
  lifecycle(stop_settings settings, const clock& time) : settings_(settings), time_(time) {}

  // \returns false if the stop had begun before.
  bool begin_stop();
  [[nodiscard]] phase now() const;
  [[nodiscard]] bool is_stopping() const { return now() != phase::serving; }
  // \returns whether the process may exit.  Requests in progress delay the exit for up to
  // `drain_timeout`; then, with no request in progress, unsettled claims delay it for up to
  // `settle_timeout`.
  [[nodiscard]] bool may_exit(std::size_t requests_in_progress, std::size_t unsettled_claims);

 private:
  [[nodiscard]] std::optional<time_point> stop_began() const;
  // \returns when `may_exit` was first called with no request in progress.
  time_point idle_since();

  const stop_settings settings_;
  const clock& time_;
  mutable std::mutex mutex_;
  std::optional<time_point> stop_began_;
  std::optional<time_point> idle_since_;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_LIFECYCLE_H_
