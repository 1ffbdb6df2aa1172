#include "retention_lease.h"

namespace hawthornnotch::claim {

void retention_lease::refresh() {
  {
    const std::lock_guard lock(mutex_);
    const bool too_soon = asked_before_ && time_.now() - asked_at_ < retry_pause;
    if (asking_ || fresh() || too_soon) {
      return;
    }
    asking_ = true;
    asked_before_ = true;
    asked_at_ = time_.now();
  }
  const duration rotation = retention_ / rotations_per_retention;
  platform_.grant_lease(retention_ + rotation * 2, [held = weak_from_this()](const auto& seen) {
    const auto self = held.lock();
    if (!self) {
      return;
    }
    const std::lock_guard lock(self->mutex_);
    self->asking_ = false;
    if (seen) {
      self->lease_ = *seen;
      self->granted_at_ = self->asked_at_;
    }
  });
}

std::int64_t retention_lease::usable() const {
  const std::lock_guard lock(mutex_);
  return fresh() ? lease_ : 0;
}

void retention_lease::drop() {
  const std::lock_guard lock(mutex_);
  lease_ = 0;
}

bool retention_lease::fresh() const {
  return lease_ != 0 && time_.now() - granted_at_ <= retention_ / rotations_per_retention;
}

}  // namespace hawthornnotch::claim
