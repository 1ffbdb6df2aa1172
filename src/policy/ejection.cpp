#include "hawthornnotch/policy/ejection.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {
constexpr std::uint32_t slow_part = 4;
constexpr double recovered_part = 0.6;
}  // namespace

void ejection::on_failure(time_point now) {
  ++failures_in_row_;
  const bool was_probed = out_ && now >= until_;
  const bool too_many = !out_ && failures_in_row_ >= settings_.failures;
  if (!was_probed && !too_many) {
    return;
  }
  out_ = true;
  next_time_ = std::clamp(next_time_ * 2, settings_.first_time, settings_.longest_time);
  until_ = now + next_time_;
}

void ejection::on_success() {
  failures_in_row_ = 0;
  if (out_) {
    out_ = false;
    return;
  }
  next_time_ = next_time_ / 2;
}

void ejection::on_speed(double slowdown) {
  const double limit = slow_ ? settings_.slow_factor * recovered_part : settings_.slow_factor;
  slow_ = slowdown > limit;
}

cap_kind ejection::kind() const {
  if (out_) {
    return cap_kind::failing;
  }
  return slow_ ? cap_kind::slow : cap_kind::none;
}

std::uint32_t ejection::cap(std::uint32_t slots, time_point now) const {
  if (out_) {
    return now < until_ ? 0 : 1;
  }
  return slow_ ? std::max(1U, slots / slow_part) : no_cap;
}

}  // namespace hawthornnotch::policy
