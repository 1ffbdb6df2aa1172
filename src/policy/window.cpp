#include "hawthornnotch/policy/window.h"

#include <algorithm>

namespace hawthornnotch::policy {

window::window(const window_settings& settings, std::uint32_t slots)
    : settings_(settings),
      min_size_(std::max(1.0, settings.min_fraction * slots)),
      max_size_(std::max(min_size_, settings.max_fraction * slots)),
      size_(max_size_) {}

void window::on_first_token(bool in_time, time_point now) {
  if (in_time) {
    size_ = std::min(max_size_, size_ + settings_.increase);
    return;
  }
  decrease(now);
}

void window::on_busy(time_point now) { decrease(now); }

void window::decrease(time_point now) {
  if (now - last_decrease_ < settings_.decrease_cooldown) {
    return;
  }
  last_decrease_ = now;
  size_ = std::max(min_size_, size_ * settings_.decrease);
}

}  // namespace hawthornnotch::policy
