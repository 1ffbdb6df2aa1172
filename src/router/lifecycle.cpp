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
  const bool balancer_has_noticed = time_.now() - *began >= settings_.balancer_notice;
  return balancer_has_noticed ? phase::refusing : phase::noticed;
}

time_point lifecycle::quiet_since() {
  const std::lock_guard lock(mutex_);
  if (!quiet_since_) {
    quiet_since_ = time_.now();
  }
  return *quiet_since_;
}

bool lifecycle::may_end(std::size_t requests_in_progress, std::size_t unsettled_claims) {
  if (now() != phase::refusing) {
    return false;
  }
  if (requests_in_progress > 0) {
    const duration longest = settings_.balancer_notice + settings_.longest_drain;
    return time_.now() - *stop_began() >= longest;
  }
  const bool waited_for_claims = time_.now() - quiet_since() >= settings_.longest_settling;
  return unsettled_claims == 0 || waited_for_claims;
}

}  // namespace hawthornnotch::router::internal
