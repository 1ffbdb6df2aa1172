#include "hawthornnotch/policy/load_estimator.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {
constexpr std::size_t most_changes = 128;
constexpr std::int64_t mean_half_lives = 5;
}  // namespace

load_estimator::load_estimator(duration half_life)
    : half_life_(half_life), mean_(half_life * mean_half_lives, 0.0) {}

void load_estimator::on_own(std::uint32_t in_flight, time_point now) {
  own_.push_back({now, in_flight});
  if (own_.size() > most_changes) {
    own_.pop_front();
  }
}

void load_estimator::on_report(std::uint32_t total, time_point measured) {
  if (measured <= measured_) {
    return;
  }
  measured_ = measured;
  const std::uint32_t own = own_at(measured);
  newest_ = total > own ? total - own : 0.0;
  mean_.add(newest_, 1.0, measured);
}

double load_estimator::peer_in_flight(time_point now) const {
  const double age = std::max<double>(0.0, static_cast<double>((now - measured_).ms));
  const double trust = std::exp2(-age / static_cast<double>(half_life_.ms));
  return trust * newest_ + (1.0 - trust) * mean_.value();
}

std::uint32_t load_estimator::own_at(time_point when) const {
  const auto after =
      std::upper_bound(own_.begin(), own_.end(), when,
                       [](time_point at, const own_change& change) { return at < change.at; });
  if (after != own_.begin()) {
    return std::prev(after)->in_flight;
  }
  return own_.empty() ? 0 : own_.front().in_flight;
}

}  // namespace hawthornnotch::policy
