#include "retention_lease.h"

namespace hawthornnotch::claim {

void retention_lease::refresh() {
  {
    const std::lock_guard lock(mutex_);
    const bool too_soon = requested_before_ && time_.now() - requested_at_ < retry_pause;
    if (request_pending_ || is_fresh() || too_soon) {
      return;
    }
    request_pending_ = true;
    requested_before_ = true;
    requested_at_ = time_.now();
  }
  const duration rotation = retention_ / rotations_per_retention;
  platform_.grant_lease(retention_ + rotation * 2, [weak = weak_from_this()](const auto& granted) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    const std::lock_guard lock(self->mutex_);
    self->request_pending_ = false;
    if (granted) {
      self->lease_ = *granted;
      self->granted_at_ = self->requested_at_;
    }
  });
}

std::int64_t retention_lease::usable_lease() const {
  const std::lock_guard lock(mutex_);
  return is_fresh() ? lease_ : 0;
}

void retention_lease::discard() {
  const std::lock_guard lock(mutex_);
  lease_ = 0;
}

bool retention_lease::is_fresh() const {
  return lease_ != 0 && time_.now() - granted_at_ <= retention_ / rotations_per_retention;
}

}  // namespace hawthornnotch::claim
