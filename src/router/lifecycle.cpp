#include "lifecycle.h"

namespace hawthornnotch::router::internal {

bool lifecycle::begin_stop() {
  const std::lock_guard lock(mutex_);
  if (stop_began_) {
    return false;
  }
  stop_began_ = time_.now();
  return true;
}

std::optional<time_point> lifecycle::stop_began() const {
  const std::lock_guard lock(mutex_);
  return stop_began_;
}

phase lifecycle::now() const {
  const auto began = stop_began();
  if (!began) {
    return phase::serving;
  }
  const bool notice_passed = time_.now() - *began >= settings_.balancer_notice;
  return notice_passed ? phase::rejecting : phase::lame_duck;
}

time_point lifecycle::idle_since() {
  const std::lock_guard lock(mutex_);
  if (!idle_since_) {
    idle_since_ = time_.now();
  }
  return *idle_since_;
}

bool lifecycle::may_exit(std::size_t requests_in_progress, std::size_t unsettled_claims) {
  if (now() != phase::rejecting) {
    return false;
  }
  if (requests_in_progress > 0) {
    const duration limit = settings_.balancer_notice + settings_.drain_timeout;
    return time_.now() - *stop_began() >= limit;
  }
  const bool settle_timed_out = time_.now() - idle_since() >= settings_.settle_timeout;
  return unsettled_claims == 0 || settle_timed_out;
}

}  // namespace hawthornnotch::router::internal
