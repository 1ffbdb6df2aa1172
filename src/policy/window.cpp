#include "hawthornnotch/policy/window.h"

#include <algorithm>

namespace hawthornnotch::policy {

window::window(const window_settings& settings, std::uint32_t slots)
    : settings_(settings),
      least_(std::max(1.0, settings.min_fraction * slots)),
      most_(std::max(least_, settings.max_fraction * slots)),
      size_(most_) {}

void window::on_first_token(bool in_time, time_point now) {
  if (in_time) {
    size_ = std::min(most_, size_ + settings_.increase);
    return;
  }
  decrease(now);
}

void window::on_busy(time_point now) { decrease(now); }

void window::decrease(time_point now) {
  if (now - decreased_ < settings_.decrease_pause) {
    return;
  }
  decreased_ = now;
  size_ = std::max(least_, size_ * settings_.decrease);
}

}  // namespace hawthornnotch::policy
