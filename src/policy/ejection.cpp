#include "hawthornnotch/policy/ejection.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {
constexpr std::uint32_t slow_slots_divisor = 4;
constexpr double recovery_factor = 0.6;
}  // namespace

void ejection::on_failure(time_point now) {
  ++consecutive_failures_;
  const bool probe_failed = ejected_ && now >= ejected_until_;
  const bool too_many = !ejected_ && consecutive_failures_ >= settings_.consecutive_failures;
  if (!probe_failed && !too_many) {
    return;
  }
  ejected_ = true;
  ejection_duration_ =
      std::clamp(ejection_duration_ * 2, settings_.base_duration, settings_.max_duration);
  ejected_until_ = now + ejection_duration_;
}

void ejection::on_success() {
  consecutive_failures_ = 0;
  if (ejected_) {
    ejected_ = false;
    return;
  }
  ejection_duration_ = ejection_duration_ / 2;
}

void ejection::on_speed(double slowdown) {
  const double limit = slow_ ? settings_.slow_factor * recovery_factor : settings_.slow_factor;
  slow_ = slowdown > limit;
}

cap_kind ejection::kind() const {
  if (ejected_) {
    return cap_kind::failing;
  }
  return slow_ ? cap_kind::slow : cap_kind::none;
}

std::uint32_t ejection::cap(std::uint32_t slots, time_point now) const {
  if (ejected_) {
    return now < ejected_until_ ? 0 : 1;
  }
  return slow_ ? std::max(1U, slots / slow_slots_divisor) : no_cap;
}

}  // namespace hawthornnotch::policy
