// The phases of a router from start to stop.
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
  // Not ready, but new work is still taken, since the balancer may not have noticed.
  noticed,
  // New work is refused; requests in progress go on.
  refusing,
};

// Decides by the clock alone what a stopping router does.
//
// Thread safety: all members are thread safe.
class lifecycle {
 public:
  lifecycle(stop_settings settings, const clock& time) : settings_(settings), time_(time) {}

  // \returns whether this call began the stop.
  bool begin_stop();
  [[nodiscard]] phase now() const;
  [[nodiscard]] bool is_stopping() const { return now() != phase::serving; }
  // Whether the process may end: no request is in progress, or the longest drain has passed; and
  // no claim is unsettled, or the longest settling since the last request has passed.
  [[nodiscard]] bool may_end(std::size_t requests_in_progress, std::size_t unsettled_claims);

 private:
  [[nodiscard]] std::optional<time_point> stop_began() const;
  // When the last request was seen to have ended.
  time_point quiet_since();

  const stop_settings settings_;
  const clock& time_;
  mutable std::mutex mutex_;
  std::optional<time_point> stop_began_;
  std::optional<time_point> quiet_since_;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_LIFECYCLE_H_
